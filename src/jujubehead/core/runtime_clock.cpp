#include "jujubehead/core/runtime_clock.hpp"

#include <atomic> // for atomic

namespace jujubehead::core {
namespace {

using Steady = std::chrono::steady_clock;

// When paused: the reading. When running: what is added to the steady clock.
std::atomic<RuntimeClock::rep> gPausedAt{ 0 };
std::atomic<RuntimeClock::rep> gOffset{ 0 };
std::atomic<bool> gPaused{ false };

RuntimeClock::rep
SteadyReading() noexcept
{
  return std::chrono::duration_cast<RuntimeClock::duration>(
           Steady::now().time_since_epoch())
    .count();
}

} // namespace

RuntimeClock::time_point
RuntimeClock::now() noexcept
{
  const rep reading = gPaused.load(std::memory_order_acquire)
                        ? gPausedAt.load(std::memory_order_acquire)
                        : SteadyReading() + gOffset.load();
  return time_point(duration(reading));
}

bool
RuntimeClock::IsPaused() noexcept
{
  return gPaused.load(std::memory_order_acquire);
}

void
RuntimeClock::Pause() noexcept
{
  gPausedAt.store(now().time_since_epoch().count());
  gPaused.store(true, std::memory_order_release);
}

void
RuntimeClock::Advance(duration aStep) noexcept
{
  gPausedAt.fetch_add(aStep.count(), std::memory_order_acq_rel);
}

void
RuntimeClock::Resume() noexcept
{
  gOffset.store(gPausedAt.load() - SteadyReading());
  gPaused.store(false, std::memory_order_release);
}

} // namespace jujubehead::core
