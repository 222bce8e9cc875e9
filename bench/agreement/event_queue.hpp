#ifndef JUJUBEHEAD_BENCH_AGREEMENT_EVENT_QUEUE_HPP
#define JUJUBEHEAD_BENCH_AGREEMENT_EVENT_QUEUE_HPP

#include <cstdint>    // for uint64_t
#include <functional> // for function
#include <queue>      // for priority_queue
#include <random>     // for mt19937_64
#include <utility>    // for move
#include <vector>     // for vector

#include "jujubehead/core/runtime_clock.hpp" // for Instant, Duration

namespace jujubehead::bench {

/// @brief What happens when, in order; equal times in the order of asking.
class EventQueue
{
public:
  using Event = std::function<void()>;

  [[nodiscard]] core::Instant Now() const { return m_now; }

  void After(core::Duration aDelay, Event aEvent)
  {
    m_events.push({ m_now + aDelay, m_sequence++, std::move(aEvent) });
  }

  void RunFor(core::Duration aTime)
  {
    const core::Instant end = m_now + aTime;
    while (!m_events.empty() && m_events.top().at <= end) {
      const Entry entry = m_events.top();
      m_events.pop();
      m_now = entry.at;
      entry.event();
    }
    m_now = end;
  }

private:
  struct Entry
  {
    core::Instant at;
    std::uint64_t sequence;
    Event event;

    bool operator<(const Entry& aOther) const
    {
      return at != aOther.at ? at > aOther.at : sequence > aOther.sequence;
    }
  };

  core::Instant m_now{ std::chrono::hours(1) };
  std::uint64_t m_sequence = 0;
  std::priority_queue<Entry> m_events;
};

/// @brief Random numbers that are the same on every machine.
class Random
{
public:
  explicit Random(std::uint64_t aSeed)
    : m_engine(aSeed)
  {
  }

  std::uint64_t Below(std::uint64_t aBound) { return m_engine() % aBound; }
  std::uint64_t Next() { return m_engine(); }
  bool Chance(double aShare)
  {
    constexpr std::uint64_t kSteps = 1'000'000;
    return static_cast<double>(Below(kSteps)) <
           aShare * static_cast<double>(kSteps);
  }
  core::Duration Between(core::Duration aLeast, core::Duration aMost)
  {
    const auto span = static_cast<std::uint64_t>((aMost - aLeast).count());
    return aLeast +
           core::Duration(static_cast<core::Duration::rep>(Below(span + 1)));
  }

private:
  std::mt19937_64 m_engine;
};

} // namespace jujubehead::bench

#endif // JUJUBEHEAD_BENCH_AGREEMENT_EVENT_QUEUE_HPP
