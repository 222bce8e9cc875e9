#include "jujubehead/core/runtime_clock.hpp"

#include <atomic> // for atomic
#include <ctime>  // for clock_gettime

namespace jujubehead::core {
namespace {

// gPausedAt is the reading while paused; gBootOffset is added to CLOCK_BOOTTIME
// while running.
std::atomic<RuntimeClock::rep> gPausedAt{ 0 };
std::atomic<RuntimeClock::rep> gBootOffset{ 0 };
std::atomic<bool> gPaused{ false };

constexpr RuntimeClock::rep kMicrosPerSecond = 1000000;
constexpr RuntimeClock::rep kNanosPerMicro = 1000;

RuntimeClock::rep
BootReading() noexcept
{
  timespec reading{};
  (void)clock_gettime(CLOCK_BOOTTIME,
                      &reading); // Fails only for unknown clock ids.
  return reading.tv_sec * kMicrosPerSecond + reading.tv_nsec / kNanosPerMicro;
}

} // namespace

RuntimeClock::time_point
RuntimeClock::now() noexcept
{
  const rep reading = gPaused.load(std::memory_order_acquire)
                        ? gPausedAt.load(std::memory_order_acquire)
                        : BootReading() + gBootOffset.load();
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
  gBootOffset.store(gPausedAt.load() - BootReading());
  gPaused.store(false, std::memory_order_release);
}

} // namespace jujubehead::core
