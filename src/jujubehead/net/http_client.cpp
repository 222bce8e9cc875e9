#include "jujubehead/net/http_client.hpp"

#include <array>    // for array
#include <charconv> // for from_chars
#include <optional> // for optional
#include <utility>  // for exchange, move

#include <boost/asio/as_tuple.hpp>      // for as_tuple
#include <boost/asio/use_awaitable.hpp> // for use_awaitable
#include <boost/asio/write.hpp>         // for async_write

#include "client_stream.hpp" // for ClientStream
#include "http_fields.hpp"   // for AppendLines

namespace jujubehead::net {
namespace {

namespace asio = boost::asio;
using asio::ip::tcp;

constexpr auto kTuple = asio::as_tuple(asio::use_awaitable);

[[noreturn]] void
FailBefore(const HttpCall& aCall, const std::string& aWhy)
{
  throw HttpCallError(aCall.authority + ": " + aWhy, false);
}

/// Reads `address:port`, or `[address]:port` of IPv6.
tcp::endpoint
EndpointOf(const HttpCall& aCall)
{
  const std::string_view text = aCall.authority;
  const std::size_t colon = text.rfind(':');
  if (colon == std::string_view::npos) {
    FailBefore(aCall, "an address with a port is needed");
  }
  std::string_view host = text.substr(0, colon);
  if (host.starts_with('[') && host.ends_with(']')) {
    host = host.substr(1, host.size() - 2);
  }
  std::uint16_t port = 0;
  const char* const end = text.data() + text.size();
  const auto parsed = std::from_chars(text.data() + colon + 1, end, port);
  boost::system::error_code error;
  const auto address = asio::ip::make_address(host, error);
  if (error || parsed.ptr != end || parsed.ec != std::errc()) {
    FailBefore(aCall, "not an IP number and port");
  }
  return { address, port };
}

std::string
HeaderOf(const HttpCall& aCall)
{
  if ((aCall.method + aCall.target).find_first_of(" \r\n") !=
      std::string::npos) {
    FailBefore(aCall, "the method or the target would end its line early");
  }
  std::string text;
  text.append(aCall.method)
    .append(" ")
    .append(aCall.target)
    .append(" HTTP/1.1\r\n");
  if (!aCall.headers.Find("Host")) {
    AppendLine(text, "Host", aCall.authority);
  }
  AppendLines(text, aCall.headers);
  if (!aCall.body.empty() || aCall.method != "GET") {
    AppendLine(text, "Content-Length", std::to_string(aCall.body.size()));
  }
  return text.append("\r\n");
}

void
CheckNotCancelled(const HttpCall& aCall)
{
  if (aCall.cancel && aCall.cancel->IsCancelled()) {
    FailBefore(aCall, "was cancelled");
  }
}

void
LetCancelClose(const HttpCall& aCall,
               const std::shared_ptr<ClientConnection>& aConnection)
{
  if (aCall.cancel) {
    aCall.cancel->OnCancel(
      [weak = std::weak_ptr<ClientConnection>(aConnection)] {
        if (const auto connection = weak.lock()) {
          connection->Close();
        }
      });
  }
}

class Client final : public HttpClient
{
public:
  explicit Client(asio::io_context& aContext)
    : m_executor(aContext.get_executor())
  {
  }

  asio::awaitable<HttpResponse> Fetch(HttpCall aCall) override
  {
    const std::size_t limit = aCall.reply_limit;
    const auto memory = aCall.memory;
    const auto stream = co_await Open(std::move(aCall));
    HttpResponse response;
    response.status = stream->Status();
    response.headers = stream->Headers();
    response.body = co_await ReadBody(*stream, limit, memory);
    co_return response;
  }

  asio::awaitable<std::unique_ptr<HttpStream>> Open(HttpCall aCall) override
  {
    std::string header = HeaderOf(aCall);
    std::string body = std::exchange(aCall.body, std::string());
    const Message message = { asio::buffer(header), asio::buffer(body) };
    auto connection = aCall.tls ? nullptr : m_pool->Take(aCall.authority);
    bool sent = connection && co_await SendOnPooled(aCall, message, connection);
    if (!sent) {
      connection = co_await Connect(aCall);
      co_await SendOn(aCall, message, connection, false);
    }
    header = std::string();
    body = std::string();
    auto stream = std::make_unique<ClientStream>(
      m_pool, std::move(connection), std::move(aCall));
    co_await stream->ReadHead();
    co_return stream;
  }

private:
  using Message = std::array<asio::const_buffer, 2>; ///< Header and body.

  asio::awaitable<bool> SendOnPooled(
    const HttpCall& aCall,
    const Message& aMessage,
    const std::shared_ptr<ClientConnection>& aConnection)
  {
    co_return co_await SendOn(aCall, aMessage, aConnection, true);
  }

  asio::awaitable<std::shared_ptr<ClientConnection>> Connect(
    const HttpCall& aCall)
  {
    CheckNotCancelled(aCall);
    const tcp::endpoint endpoint = EndpointOf(aCall);
    auto connection = std::make_shared<ClientConnection>(
      m_executor, aCall.tls ? aCall.tls->Current() : nullptr);
    LetCancelClose(aCall, connection);
    connection->deadline.Set(aCall.connect_timeout);
    const auto [error] =
      co_await connection->stream.Socket().async_connect(endpoint, kTuple);
    CheckConnected(aCall, *connection, error);
    boost::system::error_code ignored;
    connection->stream.Socket().set_option(tcp::no_delay(true), ignored);
    if (ByteStream::Secure* const tls = connection->stream.Tls()) {
      const auto [refusal] =
        co_await tls->async_handshake(asio::ssl::stream_base::client, kTuple);
      CheckConnected(aCall, *connection, refusal);
    }
    connection->deadline.Clear();
    co_return connection;
  }

  static void CheckConnected(const HttpCall& aCall,
                             const ClientConnection& aConnection,
                             const boost::system::error_code& aError)
  {
    if (aError) {
      FailBefore(aCall,
                 aConnection.timed_out ? "no connection in time"
                                       : aError.message());
    }
  }

  /// @return whether it was sent; false only when not a byte was written and a
  /// new connection may be tried.
  asio::awaitable<bool> SendOn(
    const HttpCall& aCall,
    const Message& aMessage,
    const std::shared_ptr<ClientConnection>& aConnection,
    bool aMayRetry)
  {
    CheckNotCancelled(aCall);
    LetCancelClose(aCall, aConnection);
    aConnection->deadline.Set(aCall.idle_timeout);
    const auto [error, written] =
      co_await asio::async_write(aConnection->stream, aMessage, kTuple);
    aConnection->deadline.Clear();
    if (!error) {
      co_return true;
    }
    if (written == 0 && aMayRetry) {
      co_return false;
    }
    throw HttpCallError(aCall.authority +
                          ": the request failed: " + error.message(),
                        written != 0);
  }

  asio::any_io_executor m_executor;
  std::shared_ptr<ClientPool> m_pool = std::make_shared<ClientPool>();
};

} // namespace

asio::awaitable<std::string>
ReadBody(HttpStream& aStream,
         std::size_t aLimit,
         std::shared_ptr<core::MemoryBudget> aMemory)
{
  std::string body;
  std::optional<core::MemoryBudget::Reservation> held;
  if (aMemory) {
    held.emplace(
      std::move(aMemory), core::MemoryBudget::Phase::kReceivingReply, [&] {
        body = std::string();
        aStream.Cancel();
      });
  }
  for (;;) {
    const std::string_view bytes = co_await aStream.ReadSome();
    if (bytes.empty()) {
      co_return body;
    }
    if (body.size() + bytes.size() > aLimit) {
      throw HttpCallError("the reply is longer than allowed", true);
    }
    body += bytes;
    if (held && !held->Resize(body.capacity(), core::RuntimeClock::now())) {
      throw HttpCallError("the memory for replies is in use", true);
    }
  }
}

std::unique_ptr<HttpClient>
HttpClient::Create(asio::io_context& aContext)
{
  return std::make_unique<Client>(aContext);
}

} // namespace jujubehead::net
