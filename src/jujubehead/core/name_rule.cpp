#include "jujubehead/core/name_rule.hpp"

#include <algorithm> // for all_of

namespace jujubehead::core {
namespace {

constexpr std::size_t kMaxNameLength = 64;

bool
IsNameCharacter(char aChar)
{
  return (aChar >= 'a' && aChar <= 'z') || (aChar >= 'A' && aChar <= 'Z') ||
         (aChar >= '0' && aChar <= '9') || aChar == '-' || aChar == '_' ||
         aChar == '.';
}

bool
IsModelNameCharacter(char aChar)
{
  return IsNameCharacter(aChar) || aChar == '/' || aChar == ':';
}

template<typename IsLetter>
bool
HasOnly(std::string_view aText, IsLetter aIsLetter)
{
  return !aText.empty() && aText.size() <= kMaxNameLength &&
         std::all_of(aText.begin(), aText.end(), aIsLetter);
}

std::string
Rule(std::string_view aLetters)
{
  return "1 to " + std::to_string(kMaxNameLength) + " of the letters " +
         std::string(aLetters);
}

} // namespace

bool
IsName(std::string_view aText)
{
  return HasOnly(aText, IsNameCharacter);
}

std::string
NameRule()
{
  return Rule("a-z A-Z 0-9 - _ .");
}

bool
IsModelName(std::string_view aText)
{
  return HasOnly(aText, IsModelNameCharacter);
}

std::string
ModelNameRule()
{
  return Rule("a-z A-Z 0-9 - _ . / :");
}

} // namespace jujubehead::core
