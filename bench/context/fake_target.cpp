#include "bench/context/fake_target.hpp"

#include <algorithm> // for find_if, max

namespace jujubehead::bench::context {

FakeTarget::FakeTarget(const Hardware& aHardware, const Workload& aWorkload)
  : m_workload(aWorkload)
  , m_cache(aHardware.target_blocks,
            [this](std::uint32_t aContext, std::uint32_t aBlock, bool aStored) {
              Note(aContext, aBlock, aStored);
            })
{
}

void
FakeTarget::Enqueue(const Run& aRun)
{
  m_queue.push_back(aRun);
}

Run*
FakeTarget::Find(std::uint64_t aRun)
{
  const auto found =
    std::find_if(m_queue.begin(), m_queue.end(), [aRun](const Run& aWaiting) {
      return aWaiting.id == aRun;
    });
  return found == m_queue.end() ? nullptr : &*found;
}

std::optional<Run>
FakeTarget::TakeNext()
{
  if (m_serving) {
    return std::nullopt;
  }
  auto found = std::find_if(m_queue.begin(),
                            m_queue.end(),
                            [](const Run& aWaiting) { return aWaiting.ready; });
  if (found == m_queue.end()) {
    found = std::find_if(m_queue.begin(),
                         m_queue.end(),
                         [](const Run& aWaiting) { return aWaiting.early; });
  }
  if (found == m_queue.end()) {
    return std::nullopt;
  }
  const Run run = *found;
  m_queue.erase(found);
  m_serving = true;
  return run;
}

Duration
FakeTarget::Backlog(Instant aNow) const
{
  double seconds =
    m_serving ? std::max(0.0, ToSeconds(m_busy_until - aNow)) : 0.0;
  for (const Run& run : m_queue) {
    seconds += run.planned_seconds;
  }
  return ToDuration(seconds);
}

std::vector<TimedEvent>
FakeTarget::TakeEvents(Instant aUntil)
{
  std::vector<TimedEvent> events;
  while (!m_events.empty() && m_events.front().at <= aUntil) {
    events.push_back(std::move(m_events.front()));
    m_events.pop_front();
  }
  return events;
}

void
FakeTarget::Note(std::uint32_t aContext, std::uint32_t aBlock, bool aStored)
{
  m_events.push_back({ m_now,
                       { ++m_sequence,
                         aStored ? core::CacheEventKind::kStored
                                 : core::CacheEventKind::kRemoved,
                         { m_workload.keys[aContext][aBlock] },
                         std::nullopt } });
}

} // namespace jujubehead::bench::context
