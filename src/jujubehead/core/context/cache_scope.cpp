#include "jujubehead/core/context/cache_scope.hpp"

#include <charconv> // for from_chars

namespace jujubehead::core {
namespace {

/// Separates version, length of the model name, and names. The version has only
/// digits, so the first slash ends it even if a name contains slashes.
constexpr char kSeparator = '/';

} // namespace

std::string
ToText(const CacheScope& aScope)
{
  std::string text = std::to_string(aScope.weight_version);
  text += kSeparator;
  text += std::to_string(aScope.model.Text().size());
  text += kSeparator;
  text += aScope.model.Text();
  if (!aScope.account.IsEmpty()) {
    text += kSeparator;
    text += aScope.account.Text();
  }
  return text;
}

std::optional<CacheScope>
CacheScopeOf(std::string_view aText)
{
  const char* const end = aText.data() + aText.size();
  CacheScope scope;
  const auto version = std::from_chars(aText.data(), end, scope.weight_version);
  if (version.ec != std::errc() || version.ptr == end ||
      *version.ptr != kSeparator) {
    return std::nullopt;
  }
  std::size_t size = 0;
  const auto length = std::from_chars(version.ptr + 1, end, size);
  if (length.ec != std::errc() || length.ptr == end ||
      *length.ptr != kSeparator) {
    return std::nullopt;
  }
  const std::string_view rest(length.ptr + 1, end);
  if (rest.size() < size) {
    return std::nullopt;
  }
  scope.model = ModelId(std::string(rest.substr(0, size)));
  const std::string_view account = rest.substr(size);
  if (!account.empty()) {
    if (account.front() != kSeparator || account.size() == 1) {
      return std::nullopt;
    }
    scope.account = AccountId(std::string(account.substr(1)));
  }
  return scope;
}

} // namespace jujubehead::core
