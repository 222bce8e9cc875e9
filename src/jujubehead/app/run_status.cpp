#include "run.hpp"

#include <algorithm> // for any_of, max, min, stable_sort
#include <iomanip>   // for setw
#include <map>       // for map
#include <ostream>   // for ostream
#include <set>       // for set

#include <nlohmann/json.hpp> // for json

#include "instance_reports.hpp" // for ReadInstances

namespace jujubehead::app {
namespace {

/// A screen has room for so many lines of each part.
constexpr std::size_t kLinesShown = 20;

bool
IsReady(const InstanceReport& aReport)
{
  return aReport.Status() != nullptr && aReport.Status()->ready;
}

std::string
JsonOf(const std::vector<InstanceReport>& aReports)
{
  nlohmann::json all = nlohmann::json::array();
  for (const InstanceReport& report : aReports) {
    nlohmann::json one = nlohmann::json::object();
    if (const node::InstanceStatus* status = report.Status()) {
      one = nlohmann::json::parse(node::ToJson(*status));
    } else {
      one["error"] = std::get<NoReport>(report.report).why;
    }
    one["address"] = report.address;
    all.push_back(std::move(one));
  }
  nlohmann::json json = nlohmann::json::object();
  json["instances"] = std::move(all);
  return json.dump(2, ' ', false, nlohmann::json::error_handler_t::replace);
}

/// Adds up over targets of a model.
struct ModelTotals
{
  std::uint64_t targets = 0;
  std::uint64_t running = 0;
  std::uint64_t limit = 0;
  std::uint64_t waiting = 0;
  std::uint64_t reserved = 0;
};

class Screen
{
public:
  Screen(std::vector<InstanceReport> aReports, std::ostream& aOut)
    : m_reports(std::move(aReports))
    , m_out(aOut)
  {
    // Those with trouble first.
    std::stable_sort(m_reports.begin(),
                     m_reports.end(),
                     [](const auto& aLeft, const auto& aRight) {
                       return !IsReady(aLeft) && IsReady(aRight);
                     });
  }

  void Print()
  {
    PrintInstances();
    PrintModels();
    PrintTargets();
    PrintStops();
  }

private:
  void PrintInstances()
  {
    m_out << std::left << std::setw(18) << "instance" << std::setw(14)
          << "data centre" << std::setw(7) << "ready" << std::setw(8) << "table"
          << std::setw(10) << "requests" << std::setw(6) << "owns"
          << "address\n";
    const std::size_t shown = std::min(m_reports.size(), kLinesShown);
    for (std::size_t i = 0; i < shown; ++i) {
      PrintInstance(m_reports[i]);
    }
    if (shown < m_reports.size()) {
      m_out << "and " << m_reports.size() - shown << " more\n";
    }
  }

  void PrintInstance(const InstanceReport& aReport)
  {
    const node::InstanceStatus* status = aReport.Status();
    if (status == nullptr) {
      m_out << std::setw(18) << "?" << std::setw(14) << "?" << std::setw(31)
            << "no answer" << aReport.address << ": "
            << std::get<NoReport>(aReport.report).why << '\n';
      return;
    }
    m_out << std::setw(18) << status->instance_id << std::setw(14)
          << status->data_centre << std::setw(7)
          << (status->ready ? "yes" : "NO") << std::setw(8)
          << status->table_version << std::setw(10) << status->open_requests
          << std::setw(6) << status->targets.size() + status->stores.size()
          << aReport.address << '\n';
    if (!status->ready) {
      m_out << "  not ready: " << status->not_ready << '\n';
    }
  }

  void PrintModels()
  {
    std::map<std::string, ModelTotals> models;
    ForEachTarget([&](const auto& /*aStatus*/, const auto& aTarget) {
      ModelTotals& totals = models[aTarget.model];
      ++totals.targets;
      totals.running += aTarget.running;
      totals.limit += aTarget.limit;
      totals.waiting += aTarget.waiting;
      totals.reserved += aTarget.reserved;
    });
    m_out << '\n'
          << std::setw(32) << "model" << std::setw(9) << "targets"
          << std::setw(16) << "running/limit" << std::setw(9) << "waiting"
          << "reserved\n";
    for (const auto& [model, totals] : models) {
      m_out << std::setw(32) << model << std::setw(9) << totals.targets
            << std::setw(16)
            << std::to_string(totals.running) + '/' +
                 std::to_string(totals.limit)
            << std::setw(9) << totals.waiting << totals.reserved << '\n';
    }
  }

  /// Only targets that need a look: stopping, with places reserved, with
  /// requests waiting, or with two owners.
  void PrintTargets()
  {
    std::map<std::string, std::size_t> owners;
    ForEachTarget([&](const auto& /*aStatus*/, const auto& aTarget) {
      ++owners[aTarget.id];
    });
    std::size_t lines = 0;
    ForEachTarget([&](const auto& aStatus, const auto& aTarget) {
      const bool needs_a_look = aTarget.stopping || aTarget.reserved != 0 ||
                                aTarget.waiting != 0 || owners[aTarget.id] > 1;
      if (!needs_a_look || ++lines > kLinesShown) {
        return;
      }
      if (lines == 1) {
        m_out << "\ntargets to look at\n";
      }
      m_out << "  " << aTarget.id << " (owner " << aStatus.instance_id
            << ", epoch " << aTarget.epoch << "): " << aTarget.running << '/'
            << aTarget.limit << " running, " << aTarget.waiting << " waiting";
      if (aTarget.reserved != 0) {
        m_out << ", " << aTarget.reserved << " reserved";
      }
      m_out << (aTarget.stopping ? ", stopping" : "")
            << (owners[aTarget.id] > 1 ? ", named by two owners" : "") << '\n';
    });
    if (lines > kLinesShown) {
      m_out << "  and " << lines - kLinesShown << " more\n";
    }
  }

  void PrintStops()
  {
    std::set<std::string> stops;
    for (const InstanceReport& report : m_reports) {
      if (const node::InstanceStatus* status = report.Status()) {
        for (const node::StopStatus& stop : status->stops) {
          stops.insert(stop.kind + ' ' + stop.id);
        }
      }
    }
    if (!stops.empty()) {
      m_out << "\nplanned stops\n";
    }
    for (const std::string& stop : stops) {
      m_out << "  " << stop << '\n';
    }
    for (const auto& [data_centre, left] : RequestsInStoppedDataCentres()) {
      m_out << "  in data centre " << data_centre << ": " << left.requests
            << " requests left at " << left.targets.size() << " targets\n";
    }
  }

  /// What a stopped data centre still runs.
  struct RequestsLeft
  {
    std::uint64_t requests = 0;
    std::set<std::string> targets;
  };

  [[nodiscard]] std::map<std::string, RequestsLeft>
  RequestsInStoppedDataCentres() const
  {
    const auto kind = core::StopKindName(core::StopKind::kDataCentre);
    std::map<std::string, RequestsLeft> left;
    for (const InstanceReport& report : m_reports) {
      if (const node::InstanceStatus* status = report.Status()) {
        for (const node::StopStatus& stop : status->stops) {
          if (stop.kind == kind) {
            left.try_emplace(stop.id);
          }
        }
      }
    }
    for (const InstanceReport& report : m_reports) {
      if (const node::InstanceStatus* status = report.Status()) {
        for (const node::RunsStatus& runs : status->runs) {
          const auto found = left.find(runs.data_centre);
          if (found != left.end() && runs.requests != 0) {
            found->second.requests += runs.requests;
            found->second.targets.insert(runs.target);
          }
        }
      }
    }
    return left;
  }

  template<typename Visit>
  void ForEachTarget(Visit aVisit)
  {
    for (const InstanceReport& report : m_reports) {
      if (const node::InstanceStatus* status = report.Status()) {
        for (const node::OwnedTargetStatus& target : status->targets) {
          aVisit(*status, target);
        }
      }
    }
  }

  std::vector<InstanceReport> m_reports;
  std::ostream& m_out;
};

} // namespace

ExitCode
RunStatus(const StatusCommand& aCommand, Tools& aTools)
{
  const auto platform = aTools.connect({});
  const std::vector<InstanceReport> reports =
    ReadInstances(FindInstances(aCommand.instances, *platform),
                  aCommand.instances,
                  *platform);
  if (aCommand.json) {
    aTools.out << JsonOf(reports) << '\n';
  } else {
    Screen(reports, aTools.out).Print();
  }
  const bool all_ready =
    std::all_of(reports.begin(), reports.end(), IsReady) && !reports.empty();
  return all_ready ? ExitCode::kDone : ExitCode::kFailed;
}

} // namespace jujubehead::app
