#ifndef JUJUBEHEAD_CORE_RETENTION_POLICY_HPP
#define JUJUBEHEAD_CORE_RETENTION_POLICY_HPP

#include <cstddef>  // for size_t
#include <cstdint>  // for uint64_t
#include <optional> // for optional
#include <span>     // for span
#include <vector>   // for vector

#include "jujubehead/core/ids.hpp"           // for AccountId
#include "jujubehead/core/reuse_model.hpp"   // for ReuseModel
#include "jujubehead/core/runtime_clock.hpp" // for Duration

namespace jujubehead::core {

/// @brief Inputs of the retention price of a context.
struct RetentionInput
{
  AccountId account;
  Duration idle{};              ///< Since its last use.
  std::uint64_t bytes = 0;      ///< Size.
  double recompute_seconds = 0; ///< Target time to compute it again.
  double reuse_value = 0;       ///< ReuseValue() of avoiding that.
};

/// @brief Value of not computing a context again.
///
/// Without a price of recomputed tokens the value is the square of the waiting
/// time, as a long wait does more harm than several short ones of the same
/// total. With a price it is proportional to the tokens.
/// @param aSeconds target time to compute the context.
/// @param aTokens length of the context.
/// @param aRecomputePrice value of a token not recomputed, in seconds.
double
ReuseValue(double aSeconds, double aTokens, double aRecomputePrice);

/// @brief Inputs of the expected gain of an export.
struct ExportInput
{
  RetentionInput value;
  std::uint64_t bytes_to_move =
    0;                         ///< Below the size when part is stored already.
  double bytes_per_second = 0; ///< Link rate.
  double link_use = 0;         ///< Share of time that the link is busy.
  Duration expected_retention{}; ///< Expected time in the store.
  /// Seconds added to the computing time by the deployment's price of
  /// recomputed tokens.
  double token_price_seconds = 0;
};

/// @return expected value saved per byte and second of space in a tier.
/// Exports, evictions and tier placement all compare by this price.
double
RetentionPrice(const ReuseModel& aModel, const RetentionInput& aValue);

/// @return seconds that an export is expected to save: the reuse probability
/// times what the import saves over computing, less the delay that the transfer
/// causes to others on the link. Worth doing when above 0.
double
ExportGain(const ReuseModel& aModel, const ExportInput& aView);

/// @brief A copy in a store, as a candidate for eviction.
struct EvictionCandidate
{
  double price = 0;        ///< RetentionPrice() now.
  std::uint64_t bytes = 0; ///< Space that its eviction frees.
};

/// @brief Chooses copies to evict for a new one, lowest price first.
/// @return indices into aCopies that together free the bytes; nothing when that
/// would take a copy whose price is not below the new one's.
std::optional<std::vector<std::size_t>>
ChooseVictims(std::span<const EvictionCandidate> aCopies,
              std::uint64_t aBytesNeeded,
              double aNewPrice);

} // namespace jujubehead::core

#endif // JUJUBEHEAD_CORE_RETENTION_POLICY_HPP
