#ifndef JUJUBEHEAD_NODE_READING_TIMES_HPP
#define JUJUBEHEAD_NODE_READING_TIMES_HPP

#include "jujubehead/core/runtime_clock.hpp" // for Duration

namespace jujubehead::node {

/// Parts are read from stores only while the operator was heard within this
/// time: one long poll of 1.2 s, its answer's way, and a late wake-up. Whoever
/// frees parts that newer weights replaced waits for it.
inline constexpr core::Duration kHearTime = std::chrono::milliseconds(1800);

} // namespace jujubehead::node

#endif // JUJUBEHEAD_NODE_READING_TIMES_HPP
