#ifndef JUJUBEHEAD_CORE_CONTEXT_CACHE_SCOPE_HPP
#define JUJUBEHEAD_CORE_CONTEXT_CACHE_SCOPE_HPP

#include <cstdint>     // for uint64_t
#include <optional>    // for optional
#include <string>      // for string
#include <string_view> // for string_view

#include "jujubehead/core/ids.hpp" // for ModelId, AccountId

namespace jujubehead::core {

/// @brief Who may share cached parts of prompts: requests on one version of one
/// model's weights, and of one account where that shares with no other. A part
/// that other weights or another's request made cannot be named by it.
struct CacheScope
{
  ModelId model;
  std::uint64_t weight_version = 0;
  AccountId account; ///< Empty: all accounts that share.

  friend bool operator==(const CacheScope&, const CacheScope&) = default;
};

/// @return the scope as text, different for different scopes.
std::string
ToText(const CacheScope& aScope);

/// @return the scope that a text stands for; nothing when it is none.
std::optional<CacheScope>
CacheScopeOf(std::string_view aText);

} // namespace jujubehead::core

#endif // JUJUBEHEAD_CORE_CONTEXT_CACHE_SCOPE_HPP
