#include "target_exchange.hpp"

#include <utility> // for move

namespace jujubehead::node {
namespace {

namespace asio = boost::asio;
using boost::system::error_code;

constexpr unsigned kFirstFinalStatus = 200;
/// Replies to earlier requests that are skipped per exchange.
constexpr int kMaxOtherReplies = 2;
/// Header limit of a reply: twice the usual limit of targets for requests.
constexpr std::uint32_t kReplyHeaderBytes = 32U * 1024U;

} // namespace

TargetExchange::TargetExchange(const asio::any_io_executor& aExecutor,
                               const HeaderCodec& aHeaderCodec,
                               TargetConnector& aConnector,
                               std::shared_ptr<core::MemoryBudget> aMemory,
                               std::shared_ptr<FleetTarget> aTarget,
                               core::Homes aHomes,
                               ExchangeOptions aOptions)
  : m_executor(aExecutor)
  , m_header_codec(aHeaderCodec)
  , m_connector(aConnector)
  , m_target(std::move(aTarget))
  , m_homes(std::move(aHomes))
  , m_options(std::move(aOptions))
  , m_held(std::move(aMemory),
           core::MemoryBudget::Phase::kReceivingReply,
           [this] { OnRevoked(); })
{
}

TargetExchange::~TargetExchange()
{
  Close();
}

asio::awaitable<bool>
TargetExchange::Open()
{
  if (m_connector.MayReuse(m_target->target.id, m_options.is_repeatable)) {
    m_connection = m_target->TakeIdleConnection(m_options.max_idle);
  }
  if (m_connection) {
    co_return true;
  }
  m_is_new = true;
  m_attempt = m_connector.Begin(m_executor, m_target, m_homes);
  const auto attempt = m_attempt;
  TargetConnection opened = co_await attempt->Wait();
  const bool is_closed = std::exchange(m_attempt, nullptr) == nullptr;
  m_error = std::move(opened.error);
  m_connection_refused = opened.is_refused;
  if (is_closed && opened.connection) {
    opened.connection->Close();
  }
  if (is_closed || !opened.connection) {
    co_return false;
  }
  m_connection = std::move(opened.connection);
  m_peer = std::move(opened.peer);
  m_tunnel_use = std::move(opened.tunnel_use);
  co_return true;
}

void
TargetExchange::Send(std::string aHeader,
                     std::shared_ptr<const std::string> aBody)
{
  StartReply();
  m_connection->Send(std::move(aHeader), std::move(aBody));
}

void
TargetExchange::StartReply()
{
  m_parser = net::MessageParser::ForReply(
    { kReplyHeaderBytes, m_options.body_limit }, m_options.is_head_request);
  m_body.clear();
}

asio::awaitable<bool>
TargetExchange::ReadMore()
{
  const auto connection = m_connection;
  if (!connection) {
    SetError("connection closed");
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
  SetError("read: " + error.message());
  co_return false;
}

bool
TargetExchange::Parse()
{
  if (!m_connection) {
    SetError("connection closed");
    return false;
  }
  std::string& input = m_connection->Input();
  try {
    if (!input.empty() && !m_parser->IsWhole()) {
      input.erase(0, m_parser->Put(input, m_body));
    }
  } catch (const net::MessageError& error) {
    m_error = std::string("invalid reply: ") + error.what();
    return false;
  }
  return m_held.Resize(m_body.capacity() + input.capacity(),
                       core::RuntimeClock::now());
}

void
TargetExchange::SetError(std::string aError)
{
  if (!m_held.IsRevoked()) {
    m_error = std::move(aError);
  }
}

void
TargetExchange::OnRevoked()
{
  if (m_on_relay_revoked) {
    m_on_relay_revoked();
    return;
  }
  m_error = "replies exceed the memory for them, this one held " +
            std::to_string(m_body.size()) + " bytes";
  m_body = std::string();
  Close();
}

core::MemoryBudget::Reservation&
TargetExchange::BeginRelay(std::function<void()> aOnRevoked)
{
  m_on_relay_revoked = std::move(aOnRevoked);
  m_held.SetPhase(core::MemoryBudget::Phase::kSendingReply,
                  core::RuntimeClock::now());
  return m_held;
}

TargetExchange::Owner
TargetExchange::OwnerOfReply() const
{
  if (m_metadata.request_id) {
    return *m_metadata.request_id == m_options.request_id ? Owner::kThis
                                                          : Owner::kOther;
  }
  return m_is_new ? Owner::kThis : Owner::kUnknown;
}

ReadResult
TargetExchange::Broken(std::string aError)
{
  if (!aError.empty()) {
    m_error = std::move(aError);
  }
  m_is_clean = false;
  Close();
  return ReadResult::kBroken;
}

ReadResult
TargetExchange::Progress()
{
  if (!m_parser->IsWhole()) {
    return ReadResult::kMore;
  }
  ReleaseConnection();
  return ReadResult::kComplete;
}

asio::awaitable<ReadResult>
TargetExchange::ReadHead()
{
  int other_replies = 0;
  int interim_replies = 0;
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
      if (++interim_replies > net::kMaxInterimReplies) {
        co_return Broken("too many interim replies");
      }
      StartReply();
      continue;
    }
    m_metadata = m_header_codec.ParseReplyHeaders(m_parser->Head());
    const Owner owner = OwnerOfReply();
    if (owner == Owner::kThis) {
      co_return Progress();
    }
    m_is_clean = false;
    if (owner == Owner::kUnknown || ++other_replies > kMaxOtherReplies ||
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

asio::awaitable<ReadResult>
TargetExchange::ReadBody()
{
  if (m_parser->IsWhole()) {
    co_return ReadResult::kComplete;
  }
  const bool more = co_await ReadMore();
  if (!more || !Parse()) {
    co_return Broken({});
  }
  co_return Progress();
}

void
TargetExchange::ReleaseConnection()
{
  const auto connection = std::exchange(m_connection, nullptr);
  if (!connection) {
    return;
  }
  if (m_metadata.keep_alive) {
    m_target->OnKeepAlive(*m_metadata.keep_alive);
  }
  // A tunnel carries one exchange, so that a peer can stop when the exchanges
  // that it relays have ended.
  const bool reusable = m_peer.empty() && m_is_clean &&
                        m_parser->KeepsAlive() && connection->Input().empty() &&
                        connection->IsSent();
  if (reusable) {
    connection->ShrinkInput();
    m_target->PutIdleConnection(connection);
  } else {
    connection->Close();
  }
  m_tunnel_use.reset();
}

void
TargetExchange::Close()
{
  if (const auto attempt = std::exchange(m_attempt, nullptr)) {
    attempt->Cancel();
  }
  if (const auto connection = std::exchange(m_connection, nullptr)) {
    connection->Close();
  }
  m_tunnel_use.reset();
}

} // namespace jujubehead::node
