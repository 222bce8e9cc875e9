#ifndef JUJUBEHEAD_BENCH_CONTEXT_FAKE_TARGET_HPP
#define JUJUBEHEAD_BENCH_CONTEXT_FAKE_TARGET_HPP

#include <cstdint>  // for uint32_t, uint64_t
#include <deque>    // for deque
#include <optional> // for optional
#include <vector>   // for vector

#include "bench/context/prefix_cache.hpp" // for PrefixCache
#include "bench/context/workload.hpp"     // for Request
#include "jujubehead/core/directory.hpp"  // for CacheEvent

namespace jujubehead::bench::context {

/// @brief A request on its way at a target.
struct Run
{
  std::uint64_t id = 0;
  const Request* request = nullptr;
  double planned_seconds = 0;    ///< Of the target, as routing expects.
  bool ready = true;             ///< No import is awaited.
  bool early = false;            ///< May start before its import has ended.
  bool pinned = false;           ///< Its blocks arrived and are held for it.
  std::uint32_t import_from = 0; ///< What arrived, if anything.
  std::uint32_t import_to = 0;
};

/// @brief A cache event and when it happened.
struct TimedEvent
{
  Instant at;
  core::CacheEvent event;
};

/// @brief A target is a queue, a prefix cache and a price a token.
class FakeTarget
{
public:
  FakeTarget(const Hardware& aHardware, const Workload& aWorkload);
  FakeTarget(const FakeTarget&) = delete;
  FakeTarget& operator=(const FakeTarget&) = delete;

  void Enqueue(const Run& aRun);
  /// @return the waiting run of that number; nothing when none is.
  Run* Find(std::uint64_t aRun);
  /// @return the first run that is ready, else the first that may start early,
  /// taken off the queue; nothing when one is being served.
  std::optional<Run> TakeNext();
  void SetBusyUntil(Instant aUntil) { m_busy_until = aUntil; }
  void SetIdle() { m_serving = false; }

  /// @return time that the work at hand takes, as planned.
  [[nodiscard]] Duration Backlog(Instant aNow) const;

  PrefixCache& Cache() { return m_cache; }
  [[nodiscard]] const PrefixCache& Cache() const { return m_cache; }
  void SetTime(Instant aNow) { m_now = aNow; }
  /// @return events up to a time, oldest first, taken out.
  std::vector<TimedEvent> TakeEvents(Instant aUntil);

private:
  void Note(std::uint32_t aContext, std::uint32_t aBlock, bool aStored);

  const Workload& m_workload;
  Instant m_now;
  std::deque<Run> m_queue;
  bool m_serving = false;
  Instant m_busy_until;
  std::uint64_t m_sequence = 0;
  std::deque<TimedEvent> m_events;
  PrefixCache m_cache;
};

} // namespace jujubehead::bench::context

#endif // JUJUBEHEAD_BENCH_CONTEXT_FAKE_TARGET_HPP
