#include "jujubehead/core/name_rule.hpp"

#include <algorithm> // for all_of

namespace jujubehead::core {
namespace {

constexpr std::size_t kMaxLetters = 64;

bool
IsNameLetter(char aChar)
{
  return (aChar >= 'a' && aChar <= 'z') || (aChar >= 'A' && aChar <= 'Z') ||
         (aChar >= '0' && aChar <= '9') || aChar == '-' || aChar == '_' ||
         aChar == '.';
}

bool
IsModelLetter(char aChar)
{
  return IsNameLetter(aChar) || aChar == '/' || aChar == ':';
}

template<typename IsLetter>
bool
HasOnly(std::string_view aText, IsLetter aIsLetter)
{
  return !aText.empty() && aText.size() <= kMaxLetters &&
         std::all_of(aText.begin(), aText.end(), aIsLetter);
}

std::string
Rule(std::string_view aLetters)
{
  return "1 to " + std::to_string(kMaxLetters) + " of the letters " +
         std::string(aLetters);
}

} // namespace

bool
IsName(std::string_view aText)
{
  return HasOnly(aText, IsNameLetter);
}

std::string
NameRule()
{
  return Rule("a-z A-Z 0-9 - _ .");
}

bool
IsModelName(std::string_view aText)
{
  return HasOnly(aText, IsModelLetter);
}

std::string
ModelNameRule()
{
  return Rule("a-z A-Z 0-9 - _ . / :");
}

} // namespace jujubehead::core
