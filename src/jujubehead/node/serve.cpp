#include "jujubehead/node/serve.hpp"

#include <csignal> // for SIGINT, SIGTERM
#include <cstdio>  // for rename
#include <fstream> // for ofstream
#include <string>  // for string

#include <boost/asio/detached.hpp>   // for detached
#include <boost/asio/signal_set.hpp> // for signal_set

#include <nlohmann/json.hpp> // for json

#include "jujubehead/net/timer.hpp"           // for Sleep
#include "jujubehead/node/control.hpp"        // for Control
#include "jujubehead/node/log.hpp"            // for ConfigureLog, LogInfo
#include "jujubehead/node/machine_limits.hpp" // for ReturnLargeBlocks
#include "jujubehead/node/traffic.hpp"        // for Traffic

namespace jujubehead::node {
namespace {

namespace asio = boost::asio;

constexpr std::string_view kLogger = "serve";
// Balancers and peers notice within this that the instance stops.
constexpr core::Duration kNoticeTime = std::chrono::seconds(2);
constexpr core::Duration kPollTime = std::chrono::milliseconds(50);
constexpr core::Duration kCertificatesTime = std::chrono::minutes(1);
constexpr core::Duration kStopDeadline = std::chrono::minutes(10);

void
WriteReadyFile(const ServeOptions& aOptions,
               std::uint16_t aPort,
               std::uint16_t aPeerPort)
{
  if (aOptions.ready_file.empty()) {
    return;
  }
  const std::string address = aOptions.listen_address;
  const nlohmann::json ready = {
    { "url",
      (aOptions.caller_tls ? "https://" : "http://") + address + ":" +
        std::to_string(aPort) },
    { "peer", aOptions.peer_address + ":" + std::to_string(aPeerPort) },
    { "listen_port", aPort },
    { "peer_port", aPeerPort }
  };
  const std::string draft = aOptions.ready_file + ".draft";
  std::ofstream(draft) << ready.dump() << '\n';
  if (std::rename(draft.c_str(), aOptions.ready_file.c_str()) != 0) {
    throw std::runtime_error("cannot write " + aOptions.ready_file);
  }
}

asio::awaitable<void>
LeaveOn(Control& aControl)
{
  aControl.Leave();
  co_return;
}

asio::awaitable<bool>
HasLeft(Control& aControl)
{
  co_return aControl.HasLeft();
}

/// @return whether all requests ended and all targets were handed over.
asio::awaitable<bool>
PlannedStop(Control& aControl, Traffic& aTraffic)
{
  LogInfo(kLogger, "planned stop begins");
  co_await OnControl(aControl, LeaveOn(aControl));
  co_await net::Sleep(kNoticeTime);
  aTraffic.StopAccepting();
  const auto deadline = core::RuntimeClock::now() + kStopDeadline;
  while (core::RuntimeClock::now() < deadline) {
    const bool left = co_await OnControl(aControl, HasLeft(aControl));
    if (left && aControl.OpenRequests() == 0) {
      co_return true;
    }
    co_await net::Sleep(kPollTime);
  }
  co_return false;
}

/// Reads certificates again now and then; says when they become wrong or right.
asio::awaitable<void>
WatchCertificates(std::shared_ptr<net::TlsCredentials> aCredentials)
{
  core::Findings said;
  while (aCredentials) {
    co_await net::Sleep(kCertificatesTime);
    const core::Findings found = aCredentials->Reload();
    if (found == said) {
      continue;
    }
    if (found.empty()) {
      LogInfo(kLogger, "the certificates are right again");
    } else {
      LogWarning(kLogger,
                 "the certificates read before stay in use: " +
                   core::Render(found));
    }
    said = found;
  }
}

/// Waits for signals on the main thread.
class StopSignals
{
public:
  StopSignals(const ServeOptions& aOptions,
              Control& aControl,
              Traffic& aTraffic)
    : m_control(aControl)
    , m_traffic(aTraffic)
    , m_signals(m_context, SIGINT, SIGTERM)
  {
    for (const auto& tls : { aOptions.caller_tls, aOptions.peer_tls }) {
      asio::co_spawn(m_context, WatchCertificates(tls), asio::detached);
    }
  }

  /// @return the exit code.
  int Run()
  {
    m_signals.async_wait([this](const boost::system::error_code&, int) {
      BeginStop();
      m_signals.async_wait([this](const boost::system::error_code& aError,
                                  int) {
        if (!aError) {
          LogWarning(kLogger, "told to end at once; open requests are cut off");
          m_context.stop();
        }
      });
    });
    m_context.run();
    return m_exit_code;
  }

private:
  void BeginStop()
  {
    asio::co_spawn(m_context,
                   PlannedStop(m_control, m_traffic),
                   [this](const std::exception_ptr& aError, bool aComplete) {
                     m_exit_code = !aError && aComplete ? 0 : 1;
                     m_context.stop();
                   });
  }

  Control& m_control;
  Traffic& m_traffic;
  asio::io_context m_context{ 1 };
  asio::signal_set m_signals;
  int m_exit_code = 1;
};

} // namespace

int
Serve(const ServeOptions& aOptions)
{
  ConfigureLog(aOptions.log_config);
  ReturnLargeBlocks();
  try {
    const auto control = Control::Create(aOptions);
    const auto traffic = Traffic::Create(aOptions, *control);
    StopSignals signals(aOptions, *control, *traffic);
    control->Start();
    traffic->Start();
    WriteReadyFile(aOptions, traffic->Port(), control->PeerPort());
    LogInfo(kLogger,
            "instance " + aOptions.instance_id.Text() + " listens on port " +
              std::to_string(traffic->Port()));
    const int exit_code = signals.Run();
    traffic->Stop();
    control->Stop();
    LogInfo(kLogger, "ended");
    return exit_code;
  } catch (const std::exception& error) {
    LogError(kLogger, std::string("cannot run: ") + error.what());
    return 1;
  }
}

} // namespace jujubehead::node
