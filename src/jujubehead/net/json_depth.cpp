#include "jujubehead/net/json_depth.hpp"

namespace jujubehead::net {
namespace {

/// @return the place after the string that begins at a quotation mark.
std::size_t
EndOfString(std::string_view aJson, std::size_t aMark)
{
  std::size_t place = aMark + 1;
  while (true) {
    place = aJson.find_first_of("\"\\", place);
    if (place == std::string_view::npos) {
      return aJson.size();
    }
    if (aJson[place] == '"') {
      return place + 1;
    }
    place += 2; // The escaped character is never the end.
  }
}

} // namespace

bool
NestsDeeperThan(std::string_view aJson, std::size_t aLimit)
{
  std::size_t depth = 0;
  std::size_t place = aJson.find_first_of("\"[{]}");
  while (place != std::string_view::npos) {
    const char mark = aJson[place];
    if (mark == '[' || mark == '{') {
      if (++depth > aLimit) {
        return true;
      }
    } else if (mark != '"' && depth > 0) {
      --depth;
    }
    const std::size_t next =
      mark == '"' ? EndOfString(aJson, place) : place + 1;
    place = aJson.find_first_of("\"[{]}", next);
  }
  return false;
}

} // namespace jujubehead::net
