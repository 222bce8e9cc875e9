#include "poison_exchange.hpp"

#include <utility> // for move

#include <boost/asio/co_spawn.hpp> // for co_spawn
#include <boost/asio/detached.hpp> // for detached

#include "jujubehead/net/timer.hpp" // for Sleep

#include "../forward/decision_log.hpp" // for DecisionLog
#include "poison_report_codec.hpp"     // for PoisonReportsToBytes

namespace jujubehead::node {
namespace {

namespace asio = boost::asio;

constexpr unsigned kOk = 200;
constexpr unsigned kBadRequest = 400;
/// Other instances answer from memory.
constexpr core::Duration kSendTimeout = std::chrono::milliseconds(300);
/// Pause before reports are sent again after a failure.
constexpr core::Duration kRetryPause = std::chrono::milliseconds(300);
/// Then the receiver is gone or cut off; it gets them with the next report.
constexpr std::size_t kMaxFailures = 20;
/// Assumed transit of a message between instances, at least its real one. Times
/// in a report must not seem later than they are, or a run that followed a
/// crash would seem to have begun before it.
constexpr core::Duration kMaxTransit = std::chrono::milliseconds(50);
/// Tells a reader that the reports come from another reader, which has sent
/// them to all readers.
constexpr std::string_view kFromReader = "reader";

} // namespace

PoisonExchange::PoisonExchange(asio::io_context& aContext,
                               const core::HubRole& aRole,
                               ReportsHook aOnReports)
  : m_context(aContext)
  , m_role(aRole)
  , m_on_reports(std::move(aOnReports))
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

std::vector<core::KnownInstance>
PoisonExchange::Receivers() const
{
  if (m_role.Upstreams().empty()) {
    return m_role.OtherReaders();
  }
  return { m_role.Upstreams().front() };
}

core::KnownInstance
PoisonExchange::Alternative(const core::KnownInstance& aReceiver,
                            std::size_t aFailures) const
{
  const std::vector<core::KnownInstance>& upstreams = m_role.Upstreams();
  return upstreams.empty() ? aReceiver
                           : upstreams[aFailures % upstreams.size()];
}

void
PoisonExchange::Send()
{
  for (const core::KnownInstance& receiver : Receivers()) {
    bool& is_sending = m_receivers[receiver.id].is_sending;
    if (!is_sending) {
      is_sending = true;
      asio::co_spawn(m_context, SendTo(receiver), asio::detached);
    }
  }
}

asio::awaitable<void>
PoisonExchange::SendTo(core::KnownInstance aReceiver)
{
  Receiver& receiver = m_receivers[aReceiver.id];
  std::size_t failures = 0;
  while (failures < kMaxFailures) {
    const core::PoisonReportLog::Page page =
      m_log.After(receiver.position, true);
    if (page.reports.empty() && !page.has_more) {
      receiver.position = page.next;
      break;
    }
    const bool is_sent = co_await Post(
      Alternative(aReceiver, failures),
      PoisonReportsToBytes(page.reports, core::RuntimeClock::now()));
    if (is_sent) {
      receiver.position = page.next;
      failures = 0;
    } else {
      ++failures;
      co_await net::Sleep(kRetryPause);
    }
  }
  receiver.is_sending = false;
}

asio::awaitable<bool>
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
    const net::HttpResponse response =
      co_await m_client->Fetch(std::move(call));
    if (response.status == kOk) {
      co_return true;
    }
    why = "status " + std::to_string(response.status);
  } catch (const std::exception& error) {
    why = error.what();
  }
  DecisionLog::WriteUnthrottled(LogLine("poison_reports_unsent")
                                  .Add("instance", aReceiver.id)
                                  .Add("why", why));
  co_return false;
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
    Put(PoisonReportsFromBytes(request.body,
                               core::RuntimeClock::now() - kMaxTransit),
        origin);
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
