#ifndef JUJUBEHEAD_CORE_ROUTING_PATIENCE_HPP
#define JUJUBEHEAD_CORE_ROUTING_PATIENCE_HPP

#include <optional> // for optional

#include "jujubehead/core/runtime_clock.hpp" // for Duration

namespace jujubehead::core {

/// @brief What a target's silence is judged by.
struct SilenceInput
{
  Duration objective{}; ///< Of the request's route, to the first event.
  /// Time to the first event at such a load, by what was seen of late.
  std::optional<Duration> predicted;
  /// Streams of this instance run there, besides this one: a target that works
  /// speaks on them many times a second.
  bool others_stream = false;
};

/// @return how long a target may say nothing on a stream, nor on any other of
/// this instance, before it is taken for dead.
///
/// While other streams run there, silence means something after a second or so.
/// An instance that is one of many rarely has two streams at a target; then the
/// wait in a loaded target's queue looks just like death, and giving up early
/// throws away the work and the place in the queue. So it waits for what is
/// usual at such a load, and more.
Duration
StreamPatience(const SilenceInput& aInput);

} // namespace jujubehead::core

#endif // JUJUBEHEAD_CORE_ROUTING_PATIENCE_HPP
