#include "target_exchange.hpp"

#include <utility> // for move

namespace jujubehead::node {
namespace {

namespace asio = boost::asio;
using boost::system::error_code;

constexpr unsigned kFirstFinalStatus = 200;
/// Replies to earlier requests that are skipped per exchange.
constexpr int kMostOthers = 2;
/// Header limit of a reply: twice the usual limit of targets for requests.
constexpr std::uint32_t kReplyHeaderBytes = 32U * 1024U;

} // namespace

TargetExchange::TargetExchange(const asio::any_io_executor& aExecutor,
                               const Dialect& aDialect,
                               std::shared_ptr<FleetTarget> aTarget,
                               ExchangeOptions aOptions)
  : m_executor(aExecutor)
  , m_dialect(aDialect)
  , m_target(std::move(aTarget))
  , m_options(std::move(aOptions))
{
}

TargetExchange::~TargetExchange()
{
  Close();
}

asio::awaitable<bool>
TargetExchange::Open()
{
  m_connection = m_target->TakeResting(m_options.longest_rest);
  if (m_connection) {
    co_return true;
  }
  m_is_new = true;
  m_connection = net::OutboundConnection::Create(m_executor, {});
  const auto connection = m_connection;
  const error_code error = co_await connection->Connect(m_target->endpoint);
  if (error) {
    m_why = "connect: " + error.message();
    m_was_refused = error == asio::error::connection_refused;
    Close();
    co_return false;
  }
  co_return m_connection != nullptr;
}

void
TargetExchange::Send(std::string aMessage)
{
  StartReply();
  m_connection->Send(std::move(aMessage));
}

void
TargetExchange::StartReply()
{
  m_parser = net::MessageParser::ForReply(
    { kReplyHeaderBytes, m_options.body_limit }, m_options.to_head);
  m_body.clear();
}

asio::awaitable<bool>
TargetExchange::ReadMore()
{
  const auto connection = m_connection;
  if (!connection) {
    m_why = "connection closed";
    co_return false;
  }
  const error_code error = co_await connection->Read();
  if (!error) {
    co_return true;
  }
  if (error == asio::error::eof && m_parser->PutEnd()) {
    m_is_clean = false;
    co_return true;
  }
  m_why = "read: " + error.message();
  co_return false;
}

bool
TargetExchange::Parse()
{
  if (!m_connection) {
    m_why = "connection closed";
    return false;
  }
  std::string& input = m_connection->Input();
  try {
    if (!input.empty() && !m_parser->IsWhole()) {
      input.erase(0, m_parser->Put(input, m_body));
    }
  } catch (const net::MessageError& error) {
    m_why = std::string("invalid reply: ") + error.what();
    return false;
  }
  return true;
}

TargetExchange::Owner
TargetExchange::OwnerOfReply() const
{
  if (m_facts.request_id) {
    return *m_facts.request_id == m_options.request_id ? Owner::kThis
                                                       : Owner::kOther;
  }
  return m_is_new ? Owner::kThis : Owner::kUnknown;
}

ReplyPart
TargetExchange::Broken(std::string aWhy)
{
  if (!aWhy.empty()) {
    m_why = std::move(aWhy);
  }
  m_is_clean = false;
  Close();
  return ReplyPart::kBroken;
}

ReplyPart
TargetExchange::Progress()
{
  if (!m_parser->IsWhole()) {
    return ReplyPart::kMore;
  }
  GiveBack();
  return ReplyPart::kWhole;
}

asio::awaitable<ReplyPart>
TargetExchange::ReadHead()
{
  int others = 0;
  for (;;) {
    if (!Parse()) {
      co_return Broken({});
    }
    if (!m_parser->HasHead()) {
      const bool more = co_await ReadMore();
      if (!more) {
        co_return Broken({});
      }
      continue;
    }
    if (m_parser->Head().status < kFirstFinalStatus) {
      StartReply();
      continue;
    }
    m_facts = m_dialect.ReadReply(m_parser->Head());
    const Owner owner = OwnerOfReply();
    if (owner == Owner::kThis) {
      co_return Progress();
    }
    m_is_clean = false;
    if (owner == Owner::kUnknown || ++others > kMostOthers ||
        m_parser->EndsWithConnection()) {
      co_return Broken("reply to another request");
    }
    while (!m_parser->IsWhole()) {
      const bool more = co_await ReadMore();
      if (!more || !Parse()) {
        co_return Broken({});
      }
    }
    StartReply();
  }
}

asio::awaitable<ReplyPart>
TargetExchange::ReadBody()
{
  if (m_parser->IsWhole()) {
    co_return ReplyPart::kWhole;
  }
  const bool more = co_await ReadMore();
  if (!more || !Parse()) {
    co_return Broken({});
  }
  co_return Progress();
}

void
TargetExchange::GiveBack()
{
  const auto connection = std::exchange(m_connection, nullptr);
  if (!connection) {
    return;
  }
  if (m_facts.keep_alive) {
    m_target->OnKeepAlive(*m_facts.keep_alive);
  }
  const bool reusable = m_is_clean && m_parser->KeepsAlive() &&
                        connection->Input().empty() && connection->IsSent();
  if (reusable) {
    m_target->PutResting(connection);
  } else {
    connection->Close();
  }
}

void
TargetExchange::Close()
{
  if (const auto connection = std::exchange(m_connection, nullptr)) {
    connection->Close();
  }
}

} // namespace jujubehead::node
