#include "jujubehead/core/context/cache_scope.hpp"

#include <charconv> // for from_chars

namespace jujubehead::core {
namespace {

/// Separates version, length of the model name, and names. The version has only
/// digits, so the first slash ends it even if a name contains slashes.
constexpr char kSeparator = '/';
/// Precedes the digest of the dedicated accounts, in place of an account.
constexpr char kDigestSeparator = '-';

/// @return whether the text was valid.
bool
ParseOwner(std::string_view aText, CacheScope& aScope)
{
  if (aText.empty()) {
    return true;
  }
  const std::string_view value = aText.substr(1);
  if (aText.front() == kSeparator) {
    aScope.account = AccountId(std::string(value));
    return !value.empty();
  }
  const char* const end = value.data() + value.size();
  const auto digest =
    std::from_chars(value.data(), end, aScope.dedicated_accounts);
  return aText.front() == kDigestSeparator && digest.ec == std::errc() &&
         digest.ptr == end && aScope.dedicated_accounts != 0;
}

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
  } else if (aScope.dedicated_accounts != 0) {
    text += kDigestSeparator;
    text += std::to_string(aScope.dedicated_accounts);
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
  return ParseOwner(rest.substr(size), scope) ? std::optional(scope)
                                              : std::nullopt;
}

} // namespace jujubehead::core
