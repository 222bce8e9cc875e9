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

/// @brief A target as its owner quotes it for a request.
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
  /// The engine computes the first missing blocks while it imports later ones.
  bool computes_during_import = false;
};

/// @brief One committed copy of a prefix in a store.
struct StoredCopy
{
  StoreId store;
  std::string handle;
  std::uint64_t generation = 0;
  std::uint32_t blocks = 0;    ///< Length of the stored prefix.
  Duration link_wait{};        ///< Until an import could start.
  double bytes_per_second = 0; ///< Of the store's link.
  std::uint32_t bytes_per_block = 0;
  double link_use = 0; ///< Share of time that the link is busy, 0 to 1.

  friend bool operator==(const StoredCopy&, const StoredCopy&) = default;
};

/// @brief The context of a request, and the weights used to rank its routes.
struct RouteQuery
{
  std::uint32_t blocks = 0;           ///< Full blocks of the prompt.
  std::uint32_t tokens_per_block = 0; ///< Tokens in a block.
  std::uint32_t tail_tokens = 0;      ///< Tokens after the last full block.
  /// Seconds of waiting that are worth as much as recomputing one token.
  double recompute_price = 0;
  DataCentreId data_centre; ///< Where the caller's entry is.
};

/// @brief One way to serve the request, and its expected cost.
struct RoutePlan
{
  TargetId target;
  std::uint32_t cached_blocks = 0;
  std::uint32_t imported_blocks = 0;
  std::uint32_t recomputed_blocks = 0;
  /// First block to import. Blocks between the cached ones and this are
  /// computed during the import, if the engine supports that; else
  /// cached_blocks.
  std::uint32_t import_from = 0;
  std::optional<StoredCopy> import;
  Duration expected_first_token{};
  double cost = 0; ///< Seconds.
};

/// @brief Ranks the ways to serve a request.
///
/// For each target, takes the cheapest way to build the context: blocks cached
/// there, blocks imported from a store, the rest computed. The cost in seconds
/// is the expected time to first token, plus the price of the tokens in
/// recomputed blocks, which may have been computed before, plus the delay that
/// an import causes to later ones, which grows with the use of the link.
/// @return one plan per target that admits the request, cheapest first; equal
/// costs by the share of the limit in use, then in the order given.
std::vector<RoutePlan>
RankRoutes(const RouteQuery& aQuery,
           std::span<const TargetView> aTargets,
           std::span<const StoredCopy> aCopies);

} // namespace jujubehead::core

#endif // JUJUBEHEAD_CORE_ROUTER_HPP
