#ifndef JUJUBEHEAD_CORE_ROUTING_CONFIGURATION_HPP
#define JUJUBEHEAD_CORE_ROUTING_CONFIGURATION_HPP

#include <cstdint>       // for uint64_t, uint32_t
#include <optional>      // for optional
#include <string>        // for string
#include <string_view>   // for string_view
#include <unordered_map> // for unordered_map
#include <unordered_set> // for unordered_set
#include <vector>        // for vector

#include "jujubehead/core/context/cache_scope.hpp" // for CacheScope
#include "jujubehead/core/ids.hpp"                 // for AccountId, ServiceId
#include "jujubehead/core/runtime_clock.hpp"       // for Duration

namespace jujubehead::core {

/// Identifies a service: a group of targets that serve the same requests.
using ServiceId = Id<struct ServiceKind>;

/// @brief A service that a route sends to, and its share of the requests.
struct RouteShare
{
  ServiceId service;
  double weight = 1; ///< Relative to the weights of the route's other shares.
};

/// @brief The operator's declaration for the requests of one host and path.
struct Route
{
  std::string name;
  std::string host;        ///< In lower case, without a port.
  std::string path_prefix; ///< Begins and ends with a slash.
  std::vector<RouteShare> shares;
  bool streams = false;    ///< Answers are server-sent events.
  bool repeatable = false; ///< May run more than once: idempotent, resumable.
  bool anonymous = false;  ///< Needs no key.
  bool carries_prompt = false;
  Duration timeout{};            ///< Until the response is complete.
  Duration objective{};          ///< To the response, or to its first event.
  std::uint32_t urgency = 5;     ///< 0 to 9, 0 is the most urgent.
  std::uint32_t max_targets = 1; ///< Targets that one request may run on.
  std::vector<RegionId> homes;   ///< Allowed regions; empty: all.
};

/// @brief A KV cache store, as declared.
struct DeclaredStore
{
  StoreId id;
  std::string address; ///< `ip:port`.
  DataCentreId data_centre;
  std::uint64_t capacity_tokens = 0;
  double bytes_per_second = 0;     ///< Of its link; 0: unknown.
  Duration base_latency{};         ///< Latency before a transfer's first byte.
  std::uint32_t max_watchers = 12; ///< Limit of concurrent watch calls.
};

/// @brief A service, as declared.
struct DeclaredService
{
  ServiceId id;
  std::uint32_t max_connections = 0; ///< To one target, of all instances.
  bool runs_models = false;
  std::uint64_t kv_capacity_tokens = 0; ///< Of one target; 0: no model.
  std::uint64_t kv_token_bytes = 0;     ///< KV cache per token; 0: unknown.
  double bytes_per_second = 0;          ///< Of a target's link; 0: unknown.
  Duration cold_time{}; ///< A target is cold this long after it starts.
  /// Requests per second that a cold target takes, of all instances; 0: none.
  double cold_per_second = 0;
};

/// @brief A client account with its keys.
struct DeclaredAccount
{
  AccountId id;
  std::vector<std::string> keys;
  std::optional<std::uint32_t> urgency; ///< Overrides the route's.
  bool dedicated = false; ///< Shares no stored KV cache with other accounts.
  std::vector<RegionId> homes; ///< Allowed regions; empty: all.
};

/// @brief Size limits and timeouts of callers' requests.
struct CallerLimits
{
  std::uint32_t header_bytes = 16U * 1024U;
  std::uint64_t body_bytes = 4UL * 1024UL * 1024UL;
  Duration header_timeout = std::chrono::seconds(3);
  Duration idle_timeout = std::chrono::seconds(15);
};

/// @brief All declarations of the operator.
struct Declarations
{
  std::uint64_t version = 0;
  std::vector<Route> routes;
  std::vector<DeclaredService> services;
  std::vector<DeclaredStore> stores;
  std::vector<DeclaredAccount> accounts;
  CallerLimits limits;
};

/// @brief Declarations with indexes for the lookups of requests. Immutable.
///
/// A route lookup costs one hash per slash of the path, independent of the
/// number of routes.
class Configuration
{
public:
  explicit Configuration(Declarations aDeclarations);

  [[nodiscard]] std::uint64_t Version() const { return m_all.version; }
  [[nodiscard]] const Declarations& All() const { return m_all; }

  /// @param aHost the value of `Host`, with or without a port.
  /// @param aPath the path, without its query.
  /// @return the route with the longest matching prefix; null when there is
  /// none.
  [[nodiscard]] const Route* Match(std::string_view aHost,
                                   std::string_view aPath) const;
  /// @return the account that a key belongs to; null when there is none.
  [[nodiscard]] const DeclaredAccount* AccountOf(std::string_view aKey) const;
  [[nodiscard]] const DeclaredService* ServiceOf(const ServiceId& aId) const;
  /// @param aAccount empty: the caller has none.
  /// @return the scope of the cached parts that its prompts may use. An account
  /// that is not declared shares none.
  [[nodiscard]] CacheScope CacheScopeFor(const AccountId& aAccount,
                                         ModelId aModel,
                                         std::uint64_t aWeightVersion) const;
  /// @return whether requests need keys.
  [[nodiscard]] bool HasAccounts() const { return !m_all.accounts.empty(); }

private:
  Declarations m_all;
  std::unordered_map<std::string, std::size_t> m_routes; ///< By host and path.
  std::unordered_map<std::string, std::size_t> m_keys;
  std::unordered_map<ServiceId, std::size_t> m_services;
  std::unordered_set<AccountId> m_sharing; ///< Accounts.
  std::uint64_t m_dedicated_digest = 0;    ///< 0: no account is dedicated.
};

} // namespace jujubehead::core

#endif // JUJUBEHEAD_CORE_ROUTING_CONFIGURATION_HPP
