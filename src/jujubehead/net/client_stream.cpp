#include "client_stream.hpp"

#include <functional> // for function
#include <utility>    // for move

#include <boost/asio/as_tuple.hpp>      // for as_tuple
#include <boost/asio/use_awaitable.hpp> // for use_awaitable

#include "jujubehead/net/http1/connection_end.hpp" // for HasEndedInOrder
#include "jujubehead/net/http1/message_parser.hpp" // for FaultOfReplyHead

#include "http_fields.hpp" // for FromFields

namespace jujubehead::net {
namespace {

namespace asio = boost::asio;
namespace http = boost::beast::http;

constexpr std::uint32_t kHeaderLimit = 64 * 1024;
constexpr unsigned kFirstFinalStatus = 200;

} // namespace

ClientStream::ClientStream(std::shared_ptr<ClientPool> aPool,
                           std::shared_ptr<ClientConnection> aConnection,
                           HttpCall aCall)
  : m_pool(std::move(aPool))
  , m_connection(std::move(aConnection))
  , m_call(std::move(aCall))
{
  m_call.body = std::string();
  m_call.headers = {};
  ResetParser();
}

ClientStream::~ClientStream()
{
  if (m_connection) {
    Cancel();
  }
}

void
ClientStream::ResetParser()
{
  m_parser.emplace();
  m_parser->header_limit(kHeaderLimit);
  m_parser->body_limit(boost::none);
  m_parser->eager(true);
  m_parser->skip(m_call.method == "HEAD");
  m_parser->get().body().data = m_body.data();
  m_parser->get().body().size = m_body.size();
  m_parser->get().body().more = true;
}

asio::awaitable<void>
ClientStream::ReadHead()
{
  int interim_replies = 0;
  do {
    if (m_status != 0) { // After an interim reply, such as 100.
      if (++interim_replies > kMaxInterimReplies) {
        Fail("too many interim replies");
      }
      ResetParser();
    }
    while (!m_parser->is_header_done()) {
      if (m_connection->buffer.size() != 0) {
        Parse();
      }
      if (!m_parser->is_header_done()) {
        co_await Fill();
        Parse();
      }
    }
    m_status = m_parser->get().result_int();
    m_headers = FromFields(m_parser->get());
    const auto fault = FaultOfReplyHead(m_status, m_headers);
    if (!fault.empty()) {
      Fail(std::string(fault));
    }
  } while (m_status < kFirstFinalStatus);
}

unsigned
ClientStream::Status() const
{
  return m_status;
}

const HttpHeaders&
ClientStream::Headers() const
{
  return m_headers;
}

asio::awaitable<std::string_view>
ClientStream::ReadSome()
{
  while (m_connection) {
    auto& body = m_parser->get().body();
    const std::size_t bytes = m_body.size() - body.size;
    if (bytes != 0) {
      body.data = m_body.data();
      body.size = m_body.size();
      co_return std::string_view(m_body.data(), bytes);
    }
    if (m_parser->is_done()) {
      Release();
      break;
    }
    // Bytes that are left in the buffer may end within a chunk's header, and
    // then cannot be parsed further before more have come.
    const std::size_t before = m_connection->buffer.size();
    if (before != 0) {
      Parse();
    }
    if (m_connection->buffer.size() == before && !m_parser->is_done()) {
      co_await Fill();
      Parse();
    }
  }
  co_return std::string_view();
}

asio::awaitable<void>
ClientStream::Fill()
{
  const auto connection = m_connection;
  if (m_parser->is_header_done() && connection->buffer.size() > kHeaderLimit) {
    Fail("the chunk line or the trailer is too long");
  }
  if (!connection->stream.Socket().is_open()) {
    Fail("was cancelled");
  }
  connection->deadline.Set(m_call.idle_timeout);
  const auto space = connection->buffer.prepare(kBufferBytes);
  auto [error, bytes] = co_await connection->stream.async_read_some(
    space, asio::as_tuple(asio::use_awaitable));
  connection->deadline.Clear();
  connection->buffer.commit(bytes);
  if (error == asio::error::eof && m_parser->need_eof()) {
    const bool is_orderly = co_await EndsInOrder(*connection);
    if (is_orderly) {
      m_parser->put_eof(error);
      co_return; // A body without a length ends with the connection.
    }
    error = asio::error::connection_reset;
  }
  if (error) {
    Fail(connection->timed_out ? "sent nothing for too long" : error.message());
  }
}

asio::awaitable<bool>
ClientStream::EndsInOrder(ClientConnection& aConnection)
{
  if (aConnection.stream.Tls() != nullptr) {
    co_return true; // TLS has an end of its own, which a reset lacks.
  }
  aConnection.deadline.Set(m_call.idle_timeout);
  const std::function<bool()> is_sent = [] { return true; };
  const bool is_orderly =
    co_await HasEndedInOrder(aConnection.stream.Socket(), is_sent);
  aConnection.deadline.Clear();
  co_return is_orderly;
}

void
ClientStream::Parse()
{
  boost::system::error_code error;
  auto& buffer = m_connection->buffer;
  if (!m_parser->is_done()) {
    buffer.consume(m_parser->put(buffer.data(), error));
  }
  if (error && error != http::error::need_more &&
      error != http::error::need_buffer) {
    Fail(error.message());
  }
}

void
ClientStream::Release()
{
  auto connection = std::exchange(m_connection, nullptr);
  if (m_call.cancel) {
    m_call.cancel->OnCancel(nullptr);
  }
  const bool plain = connection->stream.Tls() == nullptr;
  if (plain && m_parser->keep_alive() && connection->buffer.size() == 0) {
    m_pool->Put(m_call.authority, std::move(connection));
  }
}

void
ClientStream::Fail(const std::string& aWhy)
{
  Cancel();
  throw HttpCallError(m_call.authority + ": the reply failed: " + aWhy, true);
}

void
ClientStream::Cancel()
{
  if (m_connection) {
    m_connection->deadline.Clear();
    m_connection->Close();
  }
}

} // namespace jujubehead::net
