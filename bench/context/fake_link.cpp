#include "bench/context/fake_link.hpp"

#include <algorithm> // for min
#include <chrono>    // for microseconds

#include "bench/context/workload.hpp" // for kNever

namespace jujubehead::bench::context {
namespace {

/// Less than this is left over by rounding to the clock's step.
constexpr double kNothingLeft = 1e4;

} // namespace

FakeLink::FakeLink(double aBytesPerSecond)
  : m_rate(aBytesPerSecond)
{
}

void
FakeLink::Start(std::uint64_t aId, double aBytes, Instant aNow)
{
  Move(aNow);
  m_active.push_back({ aId, aBytes });
}

void
FakeLink::Stop(std::uint64_t aId, Instant aNow)
{
  Move(aNow);
  std::erase_if(m_active,
                [aId](const Active& aActive) { return aActive.id == aId; });
}

Instant
FakeLink::NextEnd() const
{
  if (m_active.empty()) {
    return kNever;
  }
  double least = m_active.front().bytes_left;
  for (const Active& active : m_active) {
    least = std::min(least, active.bytes_left);
  }
  const double seconds = least * static_cast<double>(m_active.size()) / m_rate;
  return m_at + ToDuration(seconds) + std::chrono::microseconds(1);
}

std::vector<std::uint64_t>
FakeLink::TakeEnded(Instant aNow)
{
  Move(aNow);
  std::vector<std::uint64_t> ended;
  std::erase_if(m_active, [&](const Active& aActive) {
    const bool isOver = aActive.bytes_left < kNothingLeft;
    if (isOver) {
      ended.push_back(aActive.id);
    }
    return isOver;
  });
  return ended;
}

void
FakeLink::Move(Instant aNow)
{
  if (!m_active.empty()) {
    const double share =
      ToSeconds(aNow - m_at) * m_rate / static_cast<double>(m_active.size());
    for (Active& active : m_active) {
      const double moved = std::min(share, active.bytes_left);
      active.bytes_left -= moved;
      m_moved += moved;
    }
  }
  m_at = aNow;
}

} // namespace jujubehead::bench::context
