#include "poison_exchange.hpp"

#include <algorithm> // for min
#include <utility>   // for move

#include <boost/asio/co_spawn.hpp> // for co_spawn
#include <boost/asio/detached.hpp> // for detached

#include "jujubehead/net/random_text.hpp" // for RandomText
#include "jujubehead/net/timer.hpp"       // for Sleep

#include "../forward/decision_log.hpp" // for DecisionLog
#include "poison_report_codec.hpp"     // for PoisonReportsToBytes

namespace jujubehead::node {
namespace {

namespace asio = boost::asio;

constexpr unsigned kOk = 200;
constexpr unsigned kBadRequest = 400;
constexpr unsigned kUnavailable = 503;
constexpr std::size_t kStartBytes = 6;
/// Other instances answer from memory.
constexpr core::Duration kSendTimeout = std::chrono::milliseconds(300);
/// Pause before reports are sent again, times the failures in a row.
constexpr core::Duration kRetryPause = std::chrono::milliseconds(300);
/// A receiver that is gone stays known for half an hour.
constexpr core::Duration kMaxRetryPause = std::chrono::seconds(3);
/// Stands for the instances that this one polls, any of which will do.
constexpr std::string_view kUpstream = "upstream";
/// Assumed longest transit of a message between instances.
constexpr core::Duration kMaxTransit = std::chrono::milliseconds(50);
/// Tells a reader that the reports come from another reader, which has sent
/// them to all readers.
constexpr std::string_view kFromReader = "reader";

core::Duration
RetryPause(std::size_t aFailures)
{
  const auto factor = static_cast<core::Duration::rep>(aFailures);
  return std::min(kRetryPause * factor, kMaxRetryPause);
}

} // namespace

PoisonExchange::PoisonExchange(asio::io_context& aContext,
                               const core::HubRole& aRole,
                               ReportsHook aOnReports)
  : m_context(aContext)
  , m_role(aRole)
  , m_on_reports(std::move(aOnReports))
  , m_start(net::RandomText(kStartBytes))
  , m_client(net::HttpClient::Create(aContext))
{
}

void
PoisonExchange::Report(const core::PoisonReport& aReport)
{
  m_log.Put(aReport, core::ReportOrigin::kBelow, core::RuntimeClock::now());
  Send();
}

void
PoisonExchange::OnPage(std::vector<core::PoisonReport> aReports)
{
  Put(std::move(aReports), core::ReportOrigin::kPeer);
}

void
PoisonExchange::Put(std::vector<core::PoisonReport> aReports,
                    core::ReportOrigin aOrigin)
{
  const core::Instant now = core::RuntimeClock::now();
  std::erase_if(aReports, [&](const core::PoisonReport& aReport) {
    return !m_log.Put(aReport, aOrigin, now);
  });
  if (aReports.empty()) {
    return;
  }
  m_on_reports(std::move(aReports));
  Send();
}

std::vector<std::string>
PoisonExchange::Receivers() const
{
  if (!m_role.Upstreams().empty()) {
    return { std::string(kUpstream) };
  }
  std::vector<std::string> ids;
  for (const core::KnownInstance& reader : m_role.OtherReaders()) {
    ids.push_back(reader.id);
  }
  return ids;
}

std::optional<core::KnownInstance>
PoisonExchange::Find(std::string_view aReceiver, std::size_t aFailures) const
{
  const std::vector<core::KnownInstance>& upstreams = m_role.Upstreams();
  if (aReceiver == kUpstream) {
    // Another one after a failure: reports reach all instances from any of
    // them.
    return upstreams.empty()
             ? std::nullopt
             : std::optional(upstreams[aFailures % upstreams.size()]);
  }
  for (const core::KnownInstance& reader : m_role.OtherReaders()) {
    if (reader.id == aReceiver) {
      return reader;
    }
  }
  return std::nullopt;
}

void
PoisonExchange::Send()
{
  for (const std::string& receiver : Receivers()) {
    bool& is_sending = m_receivers[receiver].is_sending;
    if (!is_sending) {
      is_sending = true;
      asio::co_spawn(m_context, SendTo(receiver), asio::detached);
    }
  }
}

asio::awaitable<void>
PoisonExchange::SendTo(std::string aReceiver)
{
  Receiver& receiver = m_receivers[aReceiver];
  std::size_t failures = 0;
  for (;;) {
    const core::PoisonReportLog::Page page =
      m_log.After(receiver.position, true);
    // Its place in the tree, or its address, may have changed meanwhile.
    const auto instance = Find(aReceiver, failures);
    if (page.reports.empty() && !page.has_more) {
      receiver.position = page.next;
      break;
    }
    if (!instance) {
      break;
    }
    const auto start = co_await Post(
      *instance, PoisonReportsToBytes(page.reports, core::RuntimeClock::now()));
    if (start) {
      const bool has_restarted =
        !receiver.start.empty() && receiver.start != *start;
      receiver.position = has_restarted ? 0 : page.next;
      receiver.start = *start;
      failures = 0;
    } else {
      ++failures;
      co_await net::Sleep(RetryPause(failures));
    }
  }
  receiver.is_sending = false;
}

asio::awaitable<std::optional<std::string>>
PoisonExchange::Post(core::KnownInstance aReceiver, std::string aBytes)
{
  net::HttpCall call;
  call.authority = aReceiver.address;
  call.method = "POST";
  call.target = std::string(kPoisonReportsPath);
  if (m_role.Upstreams().empty()) {
    call.target += "?from=" + std::string(kFromReader);
  }
  call.body = std::move(aBytes);
  call.connect_timeout = kSendTimeout;
  call.idle_timeout = kSendTimeout;
  m_sent_bytes += call.body.size();
  std::string why;
  try {
    net::HttpResponse response = co_await m_client->Fetch(std::move(call));
    if (response.status == kOk) {
      co_return std::move(response.body);
    }
    if (response.status != kUnavailable) {
      co_return std::string(); // An older version, which does not support it.
    }
    why = "status " + std::to_string(response.status);
  } catch (const std::exception& error) {
    why = error.what();
  }
  DecisionLog::WriteUnthrottled(LogLine("poison_reports_unsent")
                                  .Add("instance", aReceiver.id)
                                  .Add("why", why));
  co_return std::nullopt;
}

asio::awaitable<void>
PoisonExchange::Handle(net::HttpExchange& aExchange)
{
  const net::HttpRequest& request = aExchange.Request();
  const auto origin = request.Query("from") == kFromReader
                        ? core::ReportOrigin::kPeer
                        : core::ReportOrigin::kBelow;
  net::HttpResponse response;
  try {
    const core::Instant now = core::RuntimeClock::now();
    Put(PoisonReportsFromBytes(request.body, now - kMaxTransit, now), origin);
    response.body = m_start;
  } catch (const std::exception& error) {
    response.status = kBadRequest;
    response.body = std::string(error.what()) + '\n';
  }
  co_await aExchange.Send(std::move(response));
}

std::vector<Gauge>
PoisonExchange::Gauges() const
{
  std::vector<Gauge> gauges;
  gauges.push_back({ "jujubehead_poison_reports",
                     "Reports of crashes and completions of suspects.",
                     "",
                     "",
                     static_cast<double>(m_log.Size()) });
  gauges.push_back({ "jujubehead_poison_reports_sent_bytes",
                     "Bytes of them sent to other instances since the start.",
                     "",
                     "",
                     static_cast<double>(m_sent_bytes) });
  return gauges;
}

} // namespace jujubehead::node
