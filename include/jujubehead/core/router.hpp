#ifndef JUJUBEHEAD_CORE_ROUTER_HPP
#define JUJUBEHEAD_CORE_ROUTER_HPP

#include <cstdint>  // for uint32_t, uint64_t
#include <optional> // for optional
#include <span>     // for span
#include <string>   // for string
#include <vector>   // for vector

#include "jujubehead/core/ids.hpp"           // for TargetId, StoreId
#include "jujubehead/core/runtime_clock.hpp" // for Duration

namespace jujubehead::core {

/// @brief What a target's owner quotes for a request.
struct TargetView
{
  TargetId target;
  DataCentreId data_centre;
  Duration expected_wait{};             ///< Until the run could start.
  double prefill_tokens_per_second = 0; ///< 0: unknown; ranked last.
  std::uint32_t cached_blocks = 0;      ///< Longest cached prefix.
  bool admits = false;                  ///< Limits allow the request.
  std::uint32_t running = 0;
  std::uint32_t limit = 0;
  /// The engine computes the first missing blocks while later ones arrive.
  bool computes_during_import = false;
};

/// @brief One committed copy of a prefix in a store.
struct StoredCopy
{
  StoreId store;
  std::string handle;
  std::uint64_t generation = 0;
  std::uint32_t blocks = 0;    ///< Prefix of the prompt that it holds.
  Duration link_wait{};        ///< Until an import could start.
  double bytes_per_second = 0; ///< Of the store's link.
  std::uint32_t bytes_per_block = 0;
  double link_use = 0; ///< Share of time that the link is busy, 0 to 1.

  friend bool operator==(const StoredCopy&, const StoredCopy&) = default;
};

/// @brief What a request needs and what its deployment weighs.
struct RouteQuery
{
  std::uint32_t blocks = 0;           ///< Full blocks of the prompt.
  std::uint32_t tokens_per_block = 0; ///< Tokens in a block.
  std::uint32_t tail_tokens = 0;      ///< Tokens after the last full block.
  /// Seconds of waiting that saving one token's recomputing is worth.
  double recompute_price = 0;
  DataCentreId data_centre; ///< Where the caller's entry is.
};

/// @brief One way to serve the request, and what it is expected to cost.
struct RoutePlan
{
  TargetId target;
  std::uint32_t cached_blocks = 0;
  std::uint32_t imported_blocks = 0;
  std::uint32_t recomputed_blocks = 0;
  /// First block to import: those between the cached ones and it are computed
  /// while the import runs. Only where the engine can; else cached_blocks.
  std::uint32_t import_from = 0;
  std::optional<StoredCopy> import;
  Duration expected_first_token{};
  double cost = 0; ///< Seconds.
};

/// @brief Ranks the ways to serve a request.
///
/// For each target the cheapest way to have the context: what is cached there,
/// blocks from a store, the rest computed. The cost in seconds is the expected
/// time to first token, plus the price of the tokens that are computed although
/// the context may have been seen before, plus the delay that an import causes
/// to later ones, which grows as the link fills up.
/// @return one plan a target that admits the request, cheapest first; equal
/// costs by the share of the limit that runs, then in the order given.
std::vector<RoutePlan>
RankRoutes(const RouteQuery& aQuery,
           std::span<const TargetView> aTargets,
           std::span<const StoredCopy> aCopies);

} // namespace jujubehead::core

#endif // JUJUBEHEAD_CORE_ROUTER_HPP
