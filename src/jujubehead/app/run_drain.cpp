#include "run.hpp"

#include <algorithm> // for min
#include <ostream>   // for ostream
#include <utility>   // for move

#include "drain_progress.hpp"               // for WaitsFor
#include "jujubehead/net/random_text.hpp"   // for RandomText
#include "jujubehead/net/run_awaitable.hpp" // for RunAwaitable

namespace jujubehead::app {
namespace {

constexpr std::size_t kTokenBytes = 16;
constexpr std::size_t kReasonsShown = 10;
constexpr std::int64_t kMsPerSecond = 1000;
constexpr core::Duration kPollInterval = std::chrono::seconds(1);

/// One planned stop, from its mark to its end.
class Drainer
{
public:
  Drainer(const DrainCommand& aCommand, Tools& aTools)
    : m_command(aCommand)
    , m_tools(aTools)
    , m_platform(aTools.connect(aCommand.platform))
    , m_sleep(m_platform->Sleeper())
    , m_name(std::string(core::StopKindName(aCommand.subject.kind)) + ' ' +
             aCommand.subject.id)
  {
  }

  ExitCode Run()
  {
    const core::PublishStep end = Mark();
    if (m_version == 0 || m_command.undo) {
      return ReportPublish(end, m_tools);
    }
    m_tools.out << m_name << " takes no new work, by version " << m_version
                << '\n';
    const std::vector<std::string> addresses =
      FindInstances(m_command.instances, *m_platform);
    if (addresses.empty()) {
      m_tools.out << "no instance to ask whether it is over: give --instances "
                     "or --members\n";
      return ExitCode::kDone;
    }
    return Watch(addresses);
  }

private:
  core::PublishStep Mark()
  {
    const core::TableView view =
      net::RunAwaitable(m_platform->Context(), m_platform->Log().ReadCurrent());
    core::TablePublish publish(view,
                               { WantedChange(view) },
                               net::RandomText(kTokenBytes),
                               m_command.author.empty() ? m_tools.login_name
                                                        : m_command.author);
    core::PublishStep end = net::RunAwaitable(
      m_platform->Context(),
      net::Publish(m_platform->Log(), std::move(publish), m_sleep));
    if (const auto* published = std::get_if<core::Published>(&end)) {
      m_version = published->version;
    } else if (const auto* same = std::get_if<core::AlreadyApplied>(&end)) {
      m_version = same->version;
    }
    return end;
  }

  /// A stop that is marked already keeps its deadline unless one is given.
  core::Change WantedChange(const core::TableView& aView)
  {
    if (m_command.undo) {
      return core::ClearStop{ m_command.subject };
    }
    const core::StopMark* marked = aView.FindStop(m_command.subject);
    if (m_command.deadline_s != 0) {
      m_deadline_ms = m_tools.now_ms() + m_command.deadline_s * kMsPerSecond;
    } else if (marked != nullptr) {
      m_deadline_ms = marked->deadline_ms;
    }
    return core::SetStop{ { m_command.subject, m_deadline_ms } };
  }

  ExitCode Watch(const std::vector<std::string>& aAddresses)
  {
    std::vector<std::string> said;
    while (true) {
      const auto reports =
        ReadInstances(aAddresses, m_command.instances, *m_platform);
      const std::vector<std::string> reasons =
        WaitsFor(m_command.subject, m_version, reports);
      if (reasons.empty()) {
        m_tools.out << m_name << " is drained: nothing runs there any more\n";
        return ExitCode::kDone;
      }
      const bool late = m_deadline_ms != 0 && m_tools.now_ms() >= m_deadline_ms;
      if (late || reasons != said) {
        Say(reasons, late);
        said = reasons;
      }
      if (late) {
        return ExitCode::kNotDrained;
      }
      net::RunAwaitable(m_platform->Context(), Sleep());
    }
  }

  boost::asio::awaitable<bool> Sleep()
  {
    co_await m_sleep(kPollInterval);
    co_return true;
  }

  void Say(const std::vector<std::string>& aReasons, bool aLate)
  {
    std::ostream& out = aLate ? m_tools.err : m_tools.out;
    out << (aLate ? m_name + " is not drained by its deadline, the stop stays "
                             "in place; it waits for:\n"
                  : "waits for:\n");
    const std::size_t shown = std::min(aReasons.size(), kReasonsShown);
    for (std::size_t i = 0; i < shown; ++i) {
      out << "  " << aReasons[i] << '\n';
    }
    if (aReasons.size() > shown) {
      out << "  and " << aReasons.size() - shown << " more\n";
    }
    out.flush();
  }

  const DrainCommand& m_command;
  Tools& m_tools;
  std::unique_ptr<Platform> m_platform;
  net::SleepFor m_sleep;
  std::string m_name;
  std::uint64_t m_version = 0;
  std::int64_t m_deadline_ms = 0;
};

} // namespace

ExitCode
RunDrain(const DrainCommand& aCommand, Tools& aTools)
{
  return Drainer(aCommand, aTools).Run();
}

} // namespace jujubehead::app
