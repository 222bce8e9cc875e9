#ifndef JUJUBEHEAD_NET_JSON_MEMORY_HPP
#define JUJUBEHEAD_NET_JSON_MEMORY_HPP

#include <cstddef>     // for size_t
#include <string_view> // for string_view

namespace jujubehead::net {

/// @return a bound of the memory, in bytes, that a JSON text takes once it is
/// parsed. Small values take many times their text: an array of empty arrays,
/// some forty times.
std::size_t
JsonMemoryBound(std::string_view aJson);

} // namespace jujubehead::net

#endif // JUJUBEHEAD_NET_JSON_MEMORY_HPP
