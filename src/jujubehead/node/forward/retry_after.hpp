#ifndef JUJUBEHEAD_NODE_FORWARD_RETRY_AFTER_HPP
#define JUJUBEHEAD_NODE_FORWARD_RETRY_AFTER_HPP

#include <chrono>  // for milliseconds
#include <cstdint> // for int64_t
#include <string>  // for string

namespace jujubehead::node {

/// `Retry-After` is at most the caller's time left divided by this.
inline constexpr std::int64_t kRetryAfterDivisor = 3;

/// @return the value of `Retry-After`, in seconds with three decimals.
inline std::string
FormatRetryAfter(std::chrono::milliseconds aDelay)
{
  constexpr std::int64_t kMsPerSecond = 1000;
  std::string seconds = std::to_string(aDelay.count() / kMsPerSecond) + ".";
  const std::string digits = std::to_string(aDelay.count() % kMsPerSecond);
  return seconds.append(3 - digits.size(), '0').append(digits);
}

} // namespace jujubehead::node

#endif // JUJUBEHEAD_NODE_FORWARD_RETRY_AFTER_HPP
