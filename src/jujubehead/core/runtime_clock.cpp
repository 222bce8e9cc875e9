#include "jujubehead/core/runtime_clock.hpp"

#include <atomic> // for atomic
#include <ctime>  // for clock_gettime

namespace jujubehead::core {
namespace {

// When paused: the reading. When running: what is added to the boot clock.
std::atomic<RuntimeClock::rep> gPausedAt{ 0 };
std::atomic<RuntimeClock::rep> gOffset{ 0 };
std::atomic<bool> gPaused{ false };

constexpr RuntimeClock::rep kMicrosOfSecond = 1000000;
constexpr RuntimeClock::rep kNanosOfMicro = 1000;

RuntimeClock::rep
BootReading() noexcept
{
  timespec reading{};
  (void)clock_gettime(CLOCK_BOOTTIME, &reading); // Fails for unknown ids only.
  return reading.tv_sec * kMicrosOfSecond + reading.tv_nsec / kNanosOfMicro;
}

} // namespace

RuntimeClock::time_point
RuntimeClock::now() noexcept
{
  const rep reading = gPaused.load(std::memory_order_acquire)
                        ? gPausedAt.load(std::memory_order_acquire)
                        : BootReading() + gOffset.load();
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
  gOffset.store(gPausedAt.load() - BootReading());
  gPaused.store(false, std::memory_order_release);
}

} // namespace jujubehead::core
