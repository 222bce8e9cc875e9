#ifndef JUJUBEHEAD_CORE_ROUTING_COLD_SHARE_HPP
#define JUJUBEHEAD_CORE_ROUTING_COLD_SHARE_HPP

#include <cstddef> // for size_t

#include "jujubehead/core/runtime_clock.hpp" // for Duration, Instant

namespace jujubehead::core {

/// @brief This instance's share of the requests that a cold target takes.
///
/// A cold target takes a declared rate of requests from all instances together
/// and crashes well above it. The first few instances by HolderRing hold a
/// token bucket each. In any second they send at most the declared rate and one
/// request more for each of them, however many instances there are.
///
/// That holds while the holders rank each other by views in which none of them
/// is missing. Callers ask only while their view is fresh, see FleetShare, and
/// once their own row has been visible for as long as a view is used.
///
/// @code
/// ColdShare share;
/// share.TryToSend(rank, 11, now); // 11 requests a second, all instances
/// @endcode
class ColdShare
{
public:
  /// Instances that send to a cold target.
  static constexpr std::size_t kHolders = 4;

  /// @return whether a request may be sent now.
  /// @param aRank this instance's rank for the target.
  /// @param aPerSecond the declared rate; 0: the target takes nothing.
  [[nodiscard]] bool MaySend(std::size_t aRank,
                             double aPerSecond,
                             Instant aNow) const;
  /// @brief The same, and takes the token.
  bool TryToSend(std::size_t aRank, double aPerSecond, Instant aNow);
  /// @brief A cold period begins. The bucket starts empty: whoever held the
  /// share before may have just used it.
  void OnBegin(Instant aNow);

private:
  [[nodiscard]] double Tokens(double aPerSecond, Instant aNow) const;

  double m_tokens = 0;
  Instant m_filled_at = Instant::max(); ///< No share before the first period.
};

} // namespace jujubehead::core

#endif // JUJUBEHEAD_CORE_ROUTING_COLD_SHARE_HPP
