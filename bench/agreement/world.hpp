#ifndef JUJUBEHEAD_BENCH_AGREEMENT_WORLD_HPP
#define JUJUBEHEAD_BENCH_AGREEMENT_WORLD_HPP

#include <cstdint>  // for uint32_t, uint64_t
#include <map>      // for map
#include <memory>   // for unique_ptr
#include <optional> // for optional
#include <set>      // for set
#include <utility>  // for pair
#include <vector>   // for vector

#include "bench/agreement/event_queue.hpp" // for EventQueue, Random
#include "bench/agreement/fake_engine.hpp" // for FakeEngine
#include "bench/agreement/fake_table.hpp"  // for FakeTable
#include "jujubehead/core/ownership.hpp"   // for OwnershipRules
#include "jujubehead/core/permit.hpp"      // for PermitRules
#include "jujubehead/wire/messages.hpp"    // for Message

namespace jujubehead::bench {

/// @brief Rules that a test breaks on purpose, to see that it notices.
struct Breaks
{
  bool forget_unknown = false; ///< A new owner reserves nothing.
  bool ignore_lease = false;   ///< Admits after its lease lapsed.
  bool same_process = false;   ///< A restart keeps its process number.
  bool ignore_answers = false; ///< Holders are not bound by answers.
  bool void_by_time = false;   ///< Owners take unstarted permits back.
  bool start_late = false;     ///< Holders start after the window.
};

struct WorldOptions
{
  std::uint64_t seed = 1;
  std::uint32_t instances = 4;
  std::uint32_t data_centres = 4;
  std::uint32_t groups = 4;
  std::uint32_t limit = 2;
  bool checks_fencing = false;
  /// Each instance offers a request so often on average; zero: none.
  core::Duration offer_every = std::chrono::milliseconds(400);
  core::Duration run_least = std::chrono::milliseconds(300);
  core::Duration run_most = std::chrono::milliseconds(3000);
  double lose_message = 0;
  core::Duration list_lag = std::chrono::seconds(2);
  core::Duration report_lag = std::chrono::milliseconds(300);
  bool count_bytes = false;
  core::Duration tick = std::chrono::milliseconds(100);
  core::OwnershipRules ownership;
  core::PermitRules permits;
  Breaks breaks;
};

/// @brief What a run showed.
struct WorldCounters
{
  std::uint64_t overshoot = 0;    ///< Runs begun beyond a target's limit.
  std::uint64_t stale_grants = 0; ///< Grants under an epoch that was over.
  std::uint64_t completed = 0;
  std::uint64_t granted = 0;
  std::uint64_t refused = 0;
  std::uint64_t control_messages = 0;
  std::uint64_t control_bytes = 0;
  std::uint64_t permit_messages = 0;
  std::uint64_t permit_bytes = 0;
};

class SimNode;

/// @brief Instances of the real decision code over fakes, on one event queue.
/// It has links that lose and delay, but no topology and no traffic model.
class World
{
public:
  explicit World(WorldOptions aOptions);
  ~World();
  World(const World&) = delete;
  World& operator=(const World&) = delete;

  void RunFor(core::Duration aTime) { m_queue.RunFor(aTime); }

  // Faults. Instances are numbered from 0.
  void Crash(std::uint32_t aIndex);
  void Start(std::uint32_t aIndex);
  void Pause(std::uint32_t aIndex, core::Duration aTime);
  void Leave(std::uint32_t aIndex);
  void Cut(std::uint32_t aLeft, std::uint32_t aRight, bool aCut);
  void CutService(std::uint32_t aIndex, bool aCut);
  void HideFromList(std::uint32_t aIndex, bool aHidden);
  void LoseMessages(double aShare) { m_options.lose_message = aShare; }
  void HealLinks();
  FakeTable& Table() { return m_table; }

  [[nodiscard]] const WorldOptions& Options() const { return m_options; }
  [[nodiscard]] WorldCounters Counters() const;
  [[nodiscard]] core::Instant Now() const { return m_queue.Now(); }
  [[nodiscard]] bool IsAlive(std::uint32_t aIndex) const;
  /// @return the instance that may admit to a group now.
  [[nodiscard]] std::optional<std::uint32_t> OwnerOf(
    std::uint32_t aGroup) const;
  [[nodiscard]] std::uint32_t OwnedGroups() const;
  /// @return places of a target that its owner may grant or has granted.
  [[nodiscard]] std::uint32_t OpenPlaces(std::uint32_t aGroup) const;
  /// @return the share of all targets' places that may be granted or are held.
  [[nodiscard]] double OpenShare() const;
  /// @return when the group's present owner first granted.
  [[nodiscard]] core::Instant LastGrant(std::uint32_t aGroup) const;
  [[nodiscard]] std::string Describe() const;

  // For the nodes.
  EventQueue& Queue() { return m_queue; }
  Random& Rand() { return m_random; }
  FakeEngine& Engine(const core::GroupId& aGroup);
  [[nodiscard]] const std::vector<core::GroupId>& Groups() const
  {
    return m_groups;
  }
  [[nodiscard]] std::vector<core::InstanceMember> Members() const;
  void Deliver(const core::InstanceId& aFrom,
               const core::InstanceId& aTo,
               const wire::Envelope& aEnvelope);
  void ServiceWrite(std::uint32_t aIndex, const core::WriteRows& aWrite);
  void ServiceRead(std::uint32_t aIndex, const core::ReadRows& aRead);
  void NoteGrant(const core::GroupId& aGroup, std::uint64_t aEpoch);
  WorldCounters& Mutable() { return m_counters; }

private:
  [[nodiscard]] std::uint32_t IndexOf(const core::InstanceId& aId) const;
  void Count(const wire::Message& aMessage);
  void Refresh();

  WorldOptions m_options;
  EventQueue m_queue;
  Random m_random;
  FakeTable m_table;
  std::vector<core::GroupId> m_groups;
  std::map<core::GroupId, FakeEngine> m_engines;
  std::vector<std::unique_ptr<SimNode>> m_nodes;
  std::vector<std::unique_ptr<SimNode>> m_dead; ///< Events still name them.
  std::set<std::pair<std::uint32_t, std::uint32_t>> m_cut;
  std::set<std::uint32_t> m_cut_service;
  std::set<std::uint32_t> m_hidden;
  std::vector<core::InstanceMember> m_list; ///< As the platform shows it.
  std::map<core::GroupId, std::uint64_t> m_epochs;
  std::map<core::GroupId, core::Instant> m_last_grant;
  std::uint64_t m_starts = 0;
  WorldCounters m_counters;
};

} // namespace jujubehead::bench

#endif // JUJUBEHEAD_BENCH_AGREEMENT_WORLD_HPP
