#ifndef JUJUBEHEAD_BENCH_AGREEMENT_SCHEDULE_HPP
#define JUJUBEHEAD_BENCH_AGREEMENT_SCHEDULE_HPP

#include <cstdint> // for uint8_t, uint32_t
#include <string>  // for string
#include <vector>  // for vector

#include "bench/agreement/world.hpp" // for World

namespace jujubehead::bench {

/// @brief What can go wrong.
enum class FaultKind : std::uint8_t
{
  kCrash,       ///< And starts again after `time`.
  kPause,       ///< Stops for `time`, perhaps in the middle of a step.
  kCutLink,     ///< Two instances do not hear each other.
  kIsolate,     ///< One hears nobody.
  kCutService,  ///< One does not reach the table service.
  kServiceDown, ///< Nobody does.
  kServiceSlow,
  kLoseAnswers, ///< Writes land, but their answers are lost.
  kLandLate,    ///< Writes land long after they seemed to have failed.
  kLoseMessages,
  kHide,  ///< The platform's list omits a live instance.
  kLeave, ///< A planned stop, and a start after `time`.
};

constexpr std::uint8_t kFaultKinds = 12;

/// @brief One fault at some time, for some time.
struct Fault
{
  FaultKind kind = FaultKind::kCrash;
  std::uint32_t instance = 0;
  std::uint32_t other = 0;
  core::Duration after{}; ///< Since the fault before.
  core::Duration time{};
};

/// @brief For people, when a test fails.
std::string
Describe(const Fault& aFault);

/// @brief Brings it about, and ends it after its time.
void
Apply(World& aWorld, const Fault& aFault);

/// @brief Runs a world through the faults, then heals it and lets it settle.
void
RunThrough(World& aWorld, const std::vector<Fault>& aFaults);

} // namespace jujubehead::bench

#endif // JUJUBEHEAD_BENCH_AGREEMENT_SCHEDULE_HPP
