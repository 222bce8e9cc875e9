#ifndef JUJUBEHEAD_NODE_CONTROL_QUERY_NUMBER_HPP
#define JUJUBEHEAD_NODE_CONTROL_QUERY_NUMBER_HPP

#include <charconv> // for from_chars
#include <cstdint>  // for uint64_t
#include <optional> // for optional
#include <string>   // for string

namespace jujubehead::node {

/// @return the number in a field of another instance's query; 0 if there is
/// none.
inline std::uint64_t
QueryNumber(const std::optional<std::string>& aText)
{
  std::uint64_t number = 0;
  if (aText) {
    std::from_chars(aText->data(), aText->data() + aText->size(), number);
  }
  return number;
}

} // namespace jujubehead::node

#endif // JUJUBEHEAD_NODE_CONTROL_QUERY_NUMBER_HPP
