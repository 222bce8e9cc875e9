#ifndef JUJUBEHEAD_CORE_ROUTING_WINDOWED_RETRY_BUDGET_HPP
#define JUJUBEHEAD_CORE_ROUTING_WINDOWED_RETRY_BUDGET_HPP

#include <array>   // for array
#include <cstddef> // for size_t
#include <cstdint> // for uint64_t

#include "jujubehead/core/runtime_clock.hpp" // for Instant, Duration

namespace jujubehead::core {

/// @brief Limits of a retry budget.
struct WindowedRetryBudgetOptions
{
  /// Length of the sliding window.
  Duration window = std::chrono::seconds(10);
  /// Retries allowed per request in the window.
  double per_request = 0.2;
  /// Additional retries allowed in a window, over all instances together.
  double fixed = 1;
};

/// @brief Limits the retries in any sliding window to a share of the requests
/// plus a fixed number.
///
/// Each instance keeps to its own part, so all instances together keep to the
/// total: requests are counted where they arrive, and of `fixed` each has the
/// share that it was given last, see FleetShare. RetryBudget, in contrast,
/// limits a long-term share and has no window.
///
/// The limit holds over any sliding window because, of the slots counted,
/// retries include one slot more than a window and requests one fewer.
class WindowedRetryBudget
{
public:
  explicit WindowedRetryBudget(WindowedRetryBudgetOptions aOptions);

  /// @brief Sets this instance's share of the fixed retries, 0 to 1; 0 before
  /// the first call.
  /// @param aUntil the share is 0 from then on.
  void SetFixedShare(double aShare, Instant aUntil);
  void OnRequest(Instant aNow);
  /// @return whether one more retry may be sent now; counts it if so.
  [[nodiscard]] bool TryToRetry(Instant aNow);

  [[nodiscard]] std::uint64_t Denied() const { return m_denied; }

private:
  static constexpr std::size_t kSlotsInWindow = 10;
  static constexpr std::size_t kSlots = kSlotsInWindow + 1;

  struct Slot
  {
    std::uint64_t requests = 0;
    std::uint64_t retries = 0;
  };

  void Advance(Instant aNow);

  WindowedRetryBudgetOptions m_options;
  std::array<Slot, kSlots> m_slots{};
  std::int64_t m_number = 0; ///< Of the current slot, since the clock's epoch.
  std::uint64_t m_denied = 0;
  double m_fixed_share = 0;
  Instant m_share_until{};
};

} // namespace jujubehead::core

#endif // JUJUBEHEAD_CORE_ROUTING_WINDOWED_RETRY_BUDGET_HPP
