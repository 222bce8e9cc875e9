#ifndef JUJUBEHEAD_NET_JSON_DEPTH_HPP
#define JUJUBEHEAD_NET_JSON_DEPTH_HPP

#include <cstddef>     // for size_t
#include <string_view> // for string_view

namespace jujubehead::net {

/// Arrays and objects within one another that a caller's JSON may have.
inline constexpr std::size_t kJsonDepthLimit = 128;

/// @brief Looks for nesting that is too deep to be written again: the JSON
/// library reads any depth, but writes by recursion, so that deep input of a
/// caller would use up the stack. Input that is no JSON may get either answer.
/// @return whether some array or object lies deeper than the limit.
bool
NestsDeeperThan(std::string_view aJson, std::size_t aLimit = kJsonDepthLimit);

} // namespace jujubehead::net

#endif // JUJUBEHEAD_NET_JSON_DEPTH_HPP
