#include "drain_progress.hpp"

namespace jujubehead::app {
namespace {

std::string
Count(std::uint64_t aCount, const std::string& aNoun)
{
  return std::to_string(aCount) + ' ' + aNoun + (aCount == 1 ? "" : "s");
}

/// Gathers the reasons of one instance.
class Reasons
{
public:
  Reasons(const node::InstanceStatus& aStatus,
          std::vector<std::string>& aReasons)
    : m_status(aStatus)
    , m_reasons(aReasons)
  {
  }

  void OfTarget(const std::string& aId)
  {
    for (const node::RunsStatus& runs : m_status.runs) {
      if (runs.target == aId) {
        AddRuns(runs);
      }
    }
    for (const node::OwnedTargetStatus& target : m_status.targets) {
      if (target.id == aId) {
        AddOwned(target);
      }
    }
  }

  void OfDataCentre(const std::string& aId)
  {
    for (const node::RunsStatus& runs : m_status.runs) {
      if (runs.data_centre == aId) {
        AddRuns(runs, " at " + runs.target);
      }
    }
    for (const node::OwnedTargetStatus& target : m_status.targets) {
      if (target.data_centre == aId) {
        AddOwned(target, " at " + target.id);
      }
    }
  }

  void OfStore(const std::string& aId)
  {
    for (const node::OwnedStoreStatus& store : m_status.stores) {
      if (store.id == aId && store.queued_bytes != 0) {
        Add("has " + Count(store.queued_bytes, "byte") + " to move");
      }
    }
  }

  void OfInstance(const std::string& aId)
  {
    if (m_status.instance_id != aId) {
      return;
    }
    if (m_status.open_requests != 0) {
      Add("has " + Count(m_status.open_requests, "open request"));
    }
    const std::size_t owned = m_status.targets.size() + m_status.stores.size();
    if (owned != 0) {
      Add("still owns " + Count(owned, "target or store"));
    }
  }

private:
  void AddRuns(const node::RunsStatus& aRuns, const std::string& aWhere = {})
  {
    if (aRuns.requests != 0) {
      Add("runs " + Count(aRuns.requests, "request") +
          (aWhere.empty() ? " there" : aWhere));
    }
  }

  void AddOwned(const node::OwnedTargetStatus& aTarget,
                const std::string& aWhere = {})
  {
    if (aTarget.running != 0) {
      Add("has " + Count(aTarget.running, "permit") + " in use as its owner" +
          aWhere);
    }
    if (aTarget.waiting != 0) {
      Add("has " + Count(aTarget.waiting, "request") + " waiting as its owner" +
          aWhere);
    }
    if (aTarget.reserved != 0) {
      Add("keeps " + Count(aTarget.reserved, "place") +
          " for runs not accounted for" + aWhere);
    }
  }

  void Add(const std::string& aReason)
  {
    m_reasons.push_back("instance " + m_status.instance_id + ' ' + aReason);
  }

  const node::InstanceStatus& m_status;
  std::vector<std::string>& m_reasons;
};

} // namespace

std::vector<std::string>
WaitsFor(const core::StopSubject& aSubject,
         std::uint64_t aVersion,
         std::span<const InstanceReport> aReports)
{
  std::vector<std::string> reasons;
  for (const InstanceReport& report : aReports) {
    const node::InstanceStatus* status = report.Status();
    if (status == nullptr) {
      reasons.push_back("instance at " + report.address + " does not answer: " +
                        std::get<NoReport>(report.report).why);
      continue;
    }
    if (status->table_version < aVersion) {
      reasons.push_back("instance " + status->instance_id +
                        " does not know of the stop yet");
    }
    Reasons of(*status, reasons);
    switch (aSubject.kind) {
      case core::StopKind::kTarget:
      case core::StopKind::kService:
        of.OfTarget(aSubject.id);
        break;
      case core::StopKind::kStore:
        of.OfStore(aSubject.id);
        break;
      case core::StopKind::kInstance:
        of.OfInstance(aSubject.id);
        break;
      case core::StopKind::kDataCentre:
        of.OfDataCentre(aSubject.id);
        break;
    }
  }
  return reasons;
}

} // namespace jujubehead::app
