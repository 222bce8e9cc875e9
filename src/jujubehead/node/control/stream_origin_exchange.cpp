#include "stream_origin_exchange.hpp"

#include <algorithm> // for find_if
#include <utility>   // for move

#include <boost/asio/as_tuple.hpp>      // for as_tuple
#include <boost/asio/co_spawn.hpp>      // for co_spawn
#include <boost/asio/detached.hpp>      // for detached
#include <boost/asio/use_awaitable.hpp> // for use_awaitable

#include "jujubehead/core/routing/placement.hpp" // for PlacementHash
#include "jujubehead/net/timer.hpp"              // for Timer, Sleep

#include "../forward/decision_log.hpp" // for DecisionLog
#include "query_number.hpp"            // for QueryNumber
#include "stream_origin_codec.hpp"     // for StreamOriginsToBytes

namespace jujubehead::node {
namespace {

namespace asio = boost::asio;

constexpr unsigned kOk = 200;
constexpr unsigned kNotFound = 404;
constexpr unsigned kBadRequest = 400;
/// Instances that keep a stream's origin, beside the one that began it.
constexpr std::size_t kHolders = 2;
/// First ones of the ring among which the two are chosen.
constexpr std::size_t kCandidates = 6;
/// Collects the streams of a moment into one message for each instance.
constexpr core::Duration kBatchTime = std::chrono::milliseconds(100);
/// Other instances answer from memory.
constexpr core::Duration kSendTimeout = std::chrono::milliseconds(300);
/// What a caller that goes on with a stream waits for the answers.
constexpr core::Duration kFindTimeout = std::chrono::milliseconds(200);
/// Header of an answer that names no record: one version alone has served, so
/// the stream began at that one.
constexpr const char* kSoleHeader = "Sole-Version";

} // namespace

struct StreamOriginExchange::Question
{
  explicit Question(asio::io_context& aContext)
    : wake(aContext, kFindTimeout)
  {
  }

  net::Timer wake; ///< Ends once there are all answers, or a record.
  std::size_t pending = 0;
  std::optional<std::string> recorded;
  std::optional<std::string> sole;
};

StreamOriginExchange::StreamOriginExchange(asio::io_context& aContext,
                                           std::string aSelf)
  : m_context(aContext)
  , m_self(std::move(aSelf))
  , m_client(net::HttpClient::Create(aContext))
{
}

void
StreamOriginExchange::SetInstances(std::vector<core::KnownInstance> aAll)
{
  std::vector<std::string> ids;
  std::vector<std::string> known;
  ids.reserve(aAll.size());
  known.reserve(m_instances.size());
  for (const core::KnownInstance& instance : aAll) {
    ids.push_back(instance.id);
  }
  for (const core::KnownInstance& instance : m_instances) {
    known.push_back(instance.id);
  }
  m_instances = std::move(aAll);
  if (ids != known) {
    m_ring = core::HolderRing(ids, m_self);
  }
}

std::vector<const core::KnownInstance*>
StreamOriginExchange::HoldersOf(core::StreamKey aStream) const
{
  std::vector<const core::KnownInstance*> holders;
  const auto first =
    m_ring.First(static_cast<std::uint64_t>(aStream), kCandidates);
  for (const bool is_elsewhere : { true, false }) {
    for (const std::size_t index : first) {
      const core::KnownInstance& one = m_instances[index];
      const bool is_near =
        !holders.empty() && holders.front()->data_centre == one.data_centre;
      const bool is_chosen = !holders.empty() && holders.front() == &one;
      if (holders.size() < kHolders && !is_chosen &&
          !(is_elsewhere && is_near)) {
        holders.push_back(&one);
      }
    }
  }
  return holders;
}

void
StreamOriginExchange::Report(const std::vector<core::StreamOrigin>& aOrigins)
{
  const core::Instant now = core::RuntimeClock::now();
  for (const core::StreamOrigin& origin : aOrigins) {
    for (const core::KnownInstance* holder : HoldersOf(origin.stream)) {
      if (holder->id == m_self) {
        m_origins.Put(origin, now);
      } else {
        m_pending[holder->address].push_back(origin);
      }
    }
  }
  if (!m_is_sending && !m_pending.empty()) {
    m_is_sending = true;
    asio::co_spawn(m_context, SendPending(), asio::detached);
  }
}

asio::awaitable<void>
StreamOriginExchange::SendPending()
{
  co_await net::Sleep(kBatchTime);
  m_is_sending = false;
  const auto pending = std::exchange(m_pending, {});
  for (const auto& [address, origins] : pending) {
    asio::co_spawn(
      m_context, Send(address, StreamOriginsToBytes(origins)), asio::detached);
  }
}

asio::awaitable<void>
StreamOriginExchange::Send(std::string aAddress, std::string aBytes)
{
  net::HttpCall call;
  call.authority = aAddress;
  call.method = "POST";
  call.target = std::string(kStreamOriginsPath);
  call.body = std::move(aBytes);
  call.connect_timeout = kSendTimeout;
  call.idle_timeout = kSendTimeout;
  m_sent_bytes += call.body.size();
  std::string why;
  try {
    const net::HttpResponse response =
      co_await m_client->Fetch(std::move(call));
    if (response.status == kOk) {
      co_return;
    }
    why = "status " + std::to_string(response.status);
  } catch (const std::exception& error) {
    why = error.what();
  }
  // The other holder has them too.
  DecisionLog::WriteUnthrottled(
    LogLine("stream_origins_unsent").Add("address", aAddress).Add("why", why));
}

asio::awaitable<void>
StreamOriginExchange::Ask(std::string aAddress,
                          std::string aPathAndQuery,
                          std::shared_ptr<Question> aQuestion)
{
  net::HttpCall call;
  call.authority = aAddress;
  call.method = "GET";
  call.target = std::move(aPathAndQuery);
  call.connect_timeout = kFindTimeout;
  call.idle_timeout = kFindTimeout;
  try {
    const net::HttpResponse response =
      co_await m_client->Fetch(std::move(call));
    const auto sole = response.headers.Find(kSoleHeader);
    if (response.status == kOk && sole) {
      aQuestion->sole = std::string(*sole);
    } else if (response.status == kOk) {
      aQuestion->recorded = response.body;
    }
  } catch (const std::exception&) {
    // No answer counts as one that does not know; FindStream logs the outcome.
  }
  --aQuestion->pending;
  if (aQuestion->pending == 0 || aQuestion->recorded) {
    aQuestion->wake.cancel();
  }
}

asio::awaitable<std::optional<std::string>>
StreamOriginExchange::Find(core::StreamKey aStream, core::ServiceId aService)
{
  if (auto known = m_origins.VersionOf(aStream, core::RuntimeClock::now())) {
    co_return known;
  }
  const std::string path =
    std::string(kStreamOriginPath) +
    "?stream=" + std::to_string(static_cast<std::uint64_t>(aStream)) +
    "&service=" + std::to_string(core::PlacementHash(aService.View()));
  const auto question = std::make_shared<Question>(m_context);
  for (const core::KnownInstance* holder : HoldersOf(aStream)) {
    if (holder->id != m_self) {
      ++question->pending;
      asio::co_spawn(
        m_context, Ask(holder->address, path, question), asio::detached);
    }
  }
  if (question->pending > 0) {
    co_await question->wake.async_wait(asio::as_tuple(asio::use_awaitable));
  }
  if (question->recorded || question->sole) {
    co_return question->recorded ? question->recorded : question->sole;
  }
  const auto own = m_sole.find(aService);
  co_return own == m_sole.end() ? std::nullopt : std::optional(own->second);
}

asio::awaitable<void>
StreamOriginExchange::HandleReport(net::HttpExchange& aExchange)
{
  net::HttpResponse response;
  try {
    const core::Instant now = core::RuntimeClock::now();
    for (const core::StreamOrigin& origin :
         StreamOriginsFromBytes(aExchange.Request().body)) {
      m_origins.Put(origin, now);
    }
  } catch (const std::exception& error) {
    response.status = kBadRequest;
    response.body = std::string(error.what()) + '\n';
  }
  co_await aExchange.Send(std::move(response));
}

asio::awaitable<void>
StreamOriginExchange::HandleFind(net::HttpExchange& aExchange)
{
  const net::HttpRequest& request = aExchange.Request();
  const auto stream =
    static_cast<core::StreamKey>(QueryNumber(request.Query("stream")));
  const std::uint64_t service = QueryNumber(request.Query("service"));
  const auto recorded = m_origins.VersionOf(stream, core::RuntimeClock::now());
  const auto sole =
    std::find_if(m_sole.begin(), m_sole.end(), [&](const auto& aOne) {
      return core::PlacementHash(aOne.first.View()) == service;
    });
  net::HttpResponse response;
  if (recorded) {
    response.body = *recorded;
  } else if (sole != m_sole.end()) {
    response.headers.Add(kSoleHeader, sole->second);
  } else {
    response.status = kNotFound;
  }
  co_await aExchange.Send(std::move(response));
}

std::vector<Gauge>
StreamOriginExchange::Gauges() const
{
  std::vector<Gauge> gauges;
  gauges.push_back({ "jujubehead_stream_origins",
                     "Streams of other instances whose software version is "
                     "kept.",
                     "",
                     "",
                     static_cast<double>(m_origins.Size()) });
  gauges.push_back({ "jujubehead_stream_origins_sent_bytes",
                     "Bytes of them sent to other instances since the start.",
                     "",
                     "",
                     static_cast<double>(m_sent_bytes) });
  return gauges;
}

} // namespace jujubehead::node
