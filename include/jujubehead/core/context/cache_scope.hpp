#ifndef JUJUBEHEAD_CORE_CONTEXT_CACHE_SCOPE_HPP
#define JUJUBEHEAD_CORE_CONTEXT_CACHE_SCOPE_HPP

#include <cstdint>     // for uint64_t
#include <optional>    // for optional
#include <string>      // for string
#include <string_view> // for string_view

#include "jujubehead/core/ids.hpp" // for ModelId, AccountId

namespace jujubehead::core {

/// @brief The requests that share cached prompt parts: those on one version of
/// one model's weights and, where an account does not share its cache, of that
/// account. The scope is part of the cache key, so parts computed with other
/// weights or for another account cannot be addressed.
///
/// An account that is dedicated now may have shared before. The scope of those
/// that share therefore depends on which accounts are dedicated: none of these
/// can have made a part of it.
struct CacheScope
{
  ModelId model;
  std::uint64_t weight_version = 0;
  AccountId account; ///< Empty: all accounts that share their cache.
  /// Digest of the dedicated accounts; 0: there are none, or `account` is set.
  std::uint64_t dedicated_accounts = 0;

  friend bool operator==(const CacheScope&, const CacheScope&) = default;
};

/// @return the scope as text, unique to each scope.
std::string
ToText(const CacheScope& aScope);

/// @return the parsed scope; nothing if the text is not a valid scope.
std::optional<CacheScope>
CacheScopeOf(std::string_view aText);

} // namespace jujubehead::core

#endif // JUJUBEHEAD_CORE_CONTEXT_CACHE_SCOPE_HPP
