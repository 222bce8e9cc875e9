#ifndef JUJUBEHEAD_CORE_MEMBERSHIP_STORE_OUTAGES_HPP
#define JUJUBEHEAD_CORE_MEMBERSHIP_STORE_OUTAGES_HPP

#include <cstddef>  // for size_t
#include <deque>    // for deque
#include <optional> // for optional

#include "jujubehead/core/runtime_clock.hpp" // for Instant, Duration

namespace jujubehead::core {

/// @brief A period that counts only while the operators' store is available.
struct AvailableTimeLimits
{
  Duration max_continuous{}; ///< Ends after this long without an outage,
  Duration max_total{}; ///< or after this long in total, outages not counted.
};

/// @brief The outages of the operators' store as seen by this process: two
/// calls in a row failed, which take different paths.
///
/// A single failed call is not an outage: its connection may have stalled, or
/// this process may have been suspended.
class StoreOutages
{
public:
  /// @param aSentAt when the call was sent that the store answered. The store
  /// was available from then on, as a call that waits for a change is answered
  /// only when one comes.
  /// @return whether calls had failed before it.
  bool OnAnswer(Instant aSentAt);
  /// @brief A call got no response.
  void OnFailure(Instant aNow);

  /// @return the end of a period that began at `aBegan`, if the store is
  /// available from now on. The time before this process started counts as
  /// available.
  [[nodiscard]] Instant EndOf(Instant aBegan,
                              const AvailableTimeLimits& aTime,
                              Instant aNow) const;

private:
  struct Outage
  {
    Instant from;
    Instant to;
  };

  std::deque<Outage> m_past;             ///< The newest, oldest first.
  std::optional<Instant> m_first_failed; ///< Since the last response.
  std::size_t m_failed = 0;              ///< Calls since the last response.
};

} // namespace jujubehead::core

#endif // JUJUBEHEAD_CORE_MEMBERSHIP_STORE_OUTAGES_HPP
