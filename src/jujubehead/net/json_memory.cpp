#include "jujubehead/net/json_memory.hpp"

namespace jujubehead::net {
namespace {

// Blocks of the allocator for the parser's types, with the spare room of
// vectors that have grown.
constexpr std::size_t kValueBytes = 32;
constexpr std::size_t kContainerBytes = 64;
constexpr std::size_t kMemberBytes = 112;
constexpr std::size_t kStringBytes = 80;

} // namespace

std::size_t
JsonMemoryBound(std::string_view aJson)
{
  std::size_t bytes = kValueBytes + aJson.size();
  bool is_in_string = false;
  for (std::size_t i = 0; i < aJson.size(); ++i) {
    const char letter = aJson[i];
    if (letter == '"') {
      is_in_string = !is_in_string;
      bytes += is_in_string ? kStringBytes : 0;
    } else if (is_in_string) {
      i += letter == '\\' ? 1 : 0;
    } else if (letter == ',') {
      bytes += kValueBytes;
    } else if (letter == '[' || letter == '{') {
      bytes += kContainerBytes + kValueBytes;
    } else if (letter == ':') {
      bytes += kMemberBytes;
    }
  }
  return bytes;
}

} // namespace jujubehead::net
