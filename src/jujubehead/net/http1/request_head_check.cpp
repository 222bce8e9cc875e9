#include <algorithm> // for all_of, find_if

#include <boost/beast/core/string.hpp> // for iequals

#include "jujubehead/net/http1/message_parser.hpp" // for FaultOfRequestHead

namespace jujubehead::net::detail {
namespace {

constexpr std::string_view kLineEnd = "\r\n";
constexpr std::string_view kTokenMarks = "!#$%&'*+-.^_`|~";

bool
IsDigit(char aLetter)
{
  return aLetter >= '0' && aLetter <= '9';
}

bool
IsTokenLetter(char aLetter)
{
  return IsDigit(aLetter) || (aLetter >= 'a' && aLetter <= 'z') ||
         (aLetter >= 'A' && aLetter <= 'Z') ||
         kTokenMarks.find(aLetter) != std::string_view::npos;
}

bool
IsToken(std::string_view aText)
{
  return !aText.empty() &&
         std::all_of(aText.begin(), aText.end(), IsTokenLetter);
}

bool
IsBareControl(char aLetter)
{
  return aLetter == '\r' || aLetter == '\n' || aLetter == '\0';
}

std::string_view
Trimmed(std::string_view aText)
{
  const std::size_t begin = aText.find_first_not_of(" \t");
  if (begin == std::string_view::npos) {
    return {};
  }
  return aText.substr(begin, aText.find_last_not_of(" \t") - begin + 1);
}

/// Counts the lines that say where the message ends and where it goes.
struct Counts
{
  unsigned lengths = 0;
  unsigned encodings = 0;
  unsigned hosts = 0;
};

std::string_view
FaultOfLine(std::string_view aLine, Counts& aCounts)
{
  const std::size_t colon = aLine.find(':');
  if (colon == std::string_view::npos || !IsToken(aLine.substr(0, colon))) {
    return "a header line without a name";
  }
  const std::string_view name = aLine.substr(0, colon);
  const std::string_view value = Trimmed(aLine.substr(colon + 1));
  if (boost::beast::iequals(name, "Content-Length")) {
    ++aCounts.lengths;
    if (value.empty() || !std::all_of(value.begin(), value.end(), IsDigit)) {
      return "a length that is no number";
    }
  } else if (boost::beast::iequals(name, "Transfer-Encoding")) {
    ++aCounts.encodings;
    if (!boost::beast::iequals(value, "chunked")) {
      return "an encoding other than chunks";
    }
  } else if (boost::beast::iequals(name, "Host")) {
    ++aCounts.hosts;
  }
  return {};
}

std::string_view
FaultOfCounts(const Counts& aCounts)
{
  if (aCounts.lengths > 1 || aCounts.encodings > 1) {
    return "a body with two lengths";
  }
  if (aCounts.lengths + aCounts.encodings > 1) {
    return "a length beside chunks";
  }
  if (aCounts.hosts != 1) {
    return "not one host";
  }
  return {};
}

} // namespace

std::string_view
FaultOfRequestHead(std::string_view aHead)
{
  Counts counts;
  bool is_start_line = true;
  while (!aHead.empty()) {
    const std::size_t end = aHead.find(kLineEnd);
    const std::string_view line = aHead.substr(0, end);
    if (std::find_if(line.begin(), line.end(), IsBareControl) != line.end()) {
      return "a line that ends otherwise than by CR LF";
    }
    if (end == std::string_view::npos) {
      return "a line without an end";
    }
    aHead.remove_prefix(end + kLineEnd.size());
    if (line.empty()) {
      return FaultOfCounts(counts);
    }
    if (!is_start_line) {
      if (const auto fault = FaultOfLine(line, counts); !fault.empty()) {
        return fault;
      }
    }
    is_start_line = false;
  }
  return "no end";
}

} // namespace jujubehead::net::detail
