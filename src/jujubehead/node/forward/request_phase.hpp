#ifndef JUJUBEHEAD_NODE_FORWARD_REQUEST_PHASE_HPP
#define JUJUBEHEAD_NODE_FORWARD_REQUEST_PHASE_HPP

#include <array>       // for array
#include <cstddef>     // for size_t
#include <cstdint>     // for uint8_t
#include <string_view> // for string_view

namespace jujubehead::node {

/// @brief What a request that was read waits for.
enum class RequestPhase : std::uint8_t
{
  kWaiting,    ///< At no target: it waits for one, a connection or a claim.
  kAtTarget,   ///< Sent; no event of its response has reached the caller.
  kStreaming,  ///< The caller has a part of the response.
  kResponding, ///< The complete response is being written.
};

inline constexpr std::array<std::string_view, 4> kRequestPhaseNames = {
  "waiting",
  "at_target",
  "streaming",
  "responding",
};

[[nodiscard]] constexpr std::string_view
NameOf(RequestPhase aPhase)
{
  return kRequestPhaseNames.at(static_cast<std::size_t>(aPhase));
}

} // namespace jujubehead::node

#endif // JUJUBEHEAD_NODE_FORWARD_REQUEST_PHASE_HPP
