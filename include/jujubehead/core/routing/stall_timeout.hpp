#ifndef JUJUBEHEAD_CORE_ROUTING_STALL_TIMEOUT_HPP
#define JUJUBEHEAD_CORE_ROUTING_STALL_TIMEOUT_HPP

#include <optional> // for optional

#include "jujubehead/core/runtime_clock.hpp" // for Duration

namespace jujubehead::core {

/// @brief The input of the silence timeout.
struct StallTimeoutInput
{
  Duration objective{}; ///< Of the request's route, to the first event.
  /// Time to the first event at the target's load, by recent requests.
  std::optional<Duration> predicted;
  /// Other streams of this instance run at the target. A working target sends
  /// events on them many times a second.
  bool has_other_streams = false;
};

/// @return how long a target may send nothing on any stream of this instance
/// before it is considered dead.
///
/// While other streams run at the target, about a second of silence is enough.
/// One of many instances rarely has two streams at a target; then queueing at a
/// loaded target cannot be distinguished from a crash, and an early timeout
/// loses the work done and the place in the queue. The timeout then covers the
/// predicted time at such a load with a margin.
Duration
StreamStallTimeout(const StallTimeoutInput& aInput);

} // namespace jujubehead::core

#endif // JUJUBEHEAD_CORE_ROUTING_STALL_TIMEOUT_HPP
