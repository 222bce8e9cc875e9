#ifndef JUJUBEHEAD_CORE_KEEP_POLICY_HPP
#define JUJUBEHEAD_CORE_KEEP_POLICY_HPP

#include <cstddef>  // for size_t
#include <cstdint>  // for uint64_t
#include <optional> // for optional
#include <span>     // for span
#include <vector>   // for vector

#include "jujubehead/core/ids.hpp"           // for AccountId
#include "jujubehead/core/return_model.hpp"  // for ReturnModel
#include "jujubehead/core/runtime_clock.hpp" // for Duration

namespace jujubehead::core {

/// @brief A context that may be kept, as its price sees it.
struct KeptValue
{
  AccountId account;
  Duration idle{};              ///< Since its last use.
  std::uint64_t bytes = 0;      ///< Room that it takes.
  double recompute_seconds = 0; ///< Of a target, to compute it again.
  double saved = 0;             ///< ReturnValue() of not computing it.
};

/// @brief What it is worth not to compute a context again.
///
/// Without a price of recomputed tokens the deployment counts waiting, and a
/// wait hurts more the longer it is: its square. With a price it counts tokens,
/// so that the value is in proportion to them.
/// @param aSeconds of a target, to compute the context.
/// @param aTokens of the context.
/// @param aRecomputePrice seconds that a token not recomputed is worth.
double
ReturnValue(double aSeconds, double aTokens, double aRecomputePrice);

/// @brief What an export has to reckon with.
struct ExportView
{
  KeptValue value;
  std::uint64_t bytes_to_move = 0; ///< Less than all when part is kept.
  double bytes_per_second = 0;     ///< Of the link.
  double link_use = 0;             ///< Share of time that the link is busy.
  Duration kept_for{};             ///< Expected time in the store.
  /// Seconds that the deployment's price of recomputed tokens adds to what the
  /// context takes to compute.
  double priced_seconds = 0;
};

/// @return what is saved for each byte and second of room in a tier. Exports,
/// evictions and tiers all go by this one price.
double
KeepPrice(const ReturnModel& aModel, const KeptValue& aValue);

/// @return seconds that an export is expected to save: the chance of return
/// times what the import saves over computing, less the delay that moving the
/// bytes causes to others on the link. Worth doing when above 0.
double
ExportGain(const ReturnModel& aModel, const ExportView& aView);

/// @brief One kept copy, as a candidate to be freed.
struct VictimView
{
  double price = 0;        ///< KeepPrice() now.
  std::uint64_t bytes = 0; ///< Room that freeing it gives.
};

/// @brief Chooses what to free for a newcomer, cheapest first.
/// @return indices into aCopies that give the bytes together; nothing when
/// that takes a copy whose price is not below the newcomer's.
std::optional<std::vector<std::size_t>>
ChooseVictims(std::span<const VictimView> aCopies,
              std::uint64_t aBytesNeeded,
              double aNewcomerPrice);

} // namespace jujubehead::core

#endif // JUJUBEHEAD_CORE_KEEP_POLICY_HPP
