#ifndef JUJUBEHEAD_BENCH_CONTEXT_WORLD_HPP
#define JUJUBEHEAD_BENCH_CONTEXT_WORLD_HPP

#include <cstdint>       // for uint64_t
#include <functional>    // for function
#include <memory>        // for unique_ptr
#include <queue>         // for priority_queue
#include <random>        // for mt19937_64
#include <unordered_map> // for unordered_map
#include <vector>        // for vector

#include "bench/context/fake_link.hpp"   // for FakeLink
#include "bench/context/fake_store.hpp"  // for FakeStore
#include "bench/context/fake_target.hpp" // for FakeTarget
#include "bench/context/figures.hpp"     // for Figures
#include "bench/context/policies.hpp"    // for Policy

namespace jujubehead::bench::context {

/// @brief One policy over the fakes, on a clock that only this class moves.
class World
{
public:
  World(const Hardware& aHardware,
        const Deployment& aDeployment,
        const Condition& aCondition,
        const Workload& aWorkload,
        Policy& aPolicy,
        std::uint64_t aSeed);
  World(const World&) = delete;
  World& operator=(const World&) = delete;

  /// @brief Runs the whole workload.
  Figures Run();

  [[nodiscard]] Instant Now() const { return m_now; }
  [[nodiscard]] const Hardware& Parts() const { return m_hardware; }
  [[nodiscard]] const Deployment& User() const { return m_deployment; }
  [[nodiscard]] const Workload& Work() const { return m_workload; }
  std::mt19937_64& Random() { return m_random; }

  [[nodiscard]] std::size_t Targets() const { return m_targets.size(); }
  /// @return time that the target's work takes: its owner's own figure, or the
  /// last report where the condition says that only reports are to be had.
  [[nodiscard]] Duration Backlog(std::size_t aTarget) const;
  [[nodiscard]] std::size_t Stores() const { return m_stores.size(); }
  FakeStore& Store(std::size_t aStore) { return m_stores[aStore]; }
  core::LinkSchedule& Link(std::size_t aStore) { return m_schedules[aStore]; }
  /// @return seconds of a target to compute the last blocks of a prompt, its
  /// tail and the answer.
  [[nodiscard]] double ServiceSeconds(std::uint32_t aBlocks) const;

  void Export(const ExportPlan& aPlan);

private:
  struct Event
  {
    Instant at;
    std::uint64_t number;
    std::function<void()> action;
  };
  struct Later
  {
    bool operator()(const Event& aLeft, const Event& aRight) const
    {
      return aLeft.at != aRight.at ? aLeft.at > aRight.at
                                   : aLeft.number > aRight.number;
    }
  };
  struct Moving
  {
    core::TransferKind kind;
    std::size_t target;
    std::size_t store;
    std::uint32_t context;
    std::uint32_t from; ///< Imports: first block.
    std::uint32_t blocks;
    std::uint64_t run;        ///< Imports.
    std::uint64_t generation; ///< Of the copy read or written.
    bool only_missing;
    bool started;
  };

  /// The run that a target is at.
  struct Service
  {
    context::Run run;
    Instant started;
    std::uint32_t cached = 0;   ///< Blocks that were there at the start.
    std::uint32_t computed = 0; ///< Blocks to compute, as far as known.
    std::uint64_t version = 0;  ///< Of the planned end.
  };

  void At(Instant aWhen, std::function<void()> aAction);
  void Arrive(std::size_t aIndex);
  void Submit(std::size_t aStore,
              std::uint64_t aId,
              core::TransferKind aKind,
              std::uint32_t aAccount,
              double aBytes,
              Instant aGiveUp);
  void PumpLink(std::size_t aStore);
  void WatchLink(std::size_t aStore);
  void StartTransfer(std::uint64_t aId);
  bool StartImport(std::uint64_t aId, Moving& aMoving);
  bool StartExport(std::uint64_t aId, Moving& aMoving);
  void EndTransfer(std::uint64_t aId);
  void EndImport(const Moving& aMoving, bool aArrived);
  void EndExport(const Moving& aMoving);
  void DropTransfer(std::uint64_t aId);
  void CancelTransfer(std::uint64_t aId);
  void Serve(std::size_t aTarget);
  void PlanEnd(std::size_t aTarget);
  void TakeArrival(std::size_t aTarget, const Moving& aMoving);
  void Finish(std::size_t aTarget);
  void CountRun(const Service& aService);
  void CountHint(const Service& aService);
  void Poll();
  void LoseStore(std::size_t aStore);
  void RefreshQuotes();
  void Report();
  void CountMissed(const Request& aRequest, std::uint32_t aReused);
  [[nodiscard]] double MovedBytes() const;
  FakeTarget& Target(std::size_t aTarget);

  const Hardware& m_hardware;
  const Deployment& m_deployment;
  const Condition& m_condition;
  const Workload& m_workload;
  Policy& m_policy;
  std::mt19937_64 m_random;
  std::mt19937_64 m_losses;
  Instant m_now;
  std::uint64_t m_events_made = 0;
  std::uint64_t m_ids = 0;
  std::priority_queue<Event, std::vector<Event>, Later> m_events;
  std::vector<std::unique_ptr<FakeTarget>> m_targets;
  std::vector<Service> m_serving;                               ///< By target.
  std::unordered_map<std::uint64_t, std::uint64_t> m_import_of; ///< By run.
  std::vector<Duration> m_reports;
  std::vector<FakeStore> m_stores;
  std::vector<FakeLink> m_links;
  std::vector<core::LinkSchedule> m_schedules;
  std::vector<std::uint64_t> m_copy_events;
  std::unordered_map<std::uint64_t, Moving> m_moving;
  std::unordered_map<std::uint64_t, std::uint32_t> m_hinted;
  std::vector<std::uint32_t> m_ever_kept; ///< Most blocks, by context.
  Figures m_figures;
};

} // namespace jujubehead::bench::context

#endif // JUJUBEHEAD_BENCH_CONTEXT_WORLD_HPP
