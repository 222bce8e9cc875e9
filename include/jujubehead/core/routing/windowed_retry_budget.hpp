#ifndef JUJUBEHEAD_CORE_ROUTING_WINDOWED_RETRY_BUDGET_HPP
#define JUJUBEHEAD_CORE_ROUTING_WINDOWED_RETRY_BUDGET_HPP

#include <array>   // for array
#include <cstddef> // for size_t
#include <cstdint> // for uint64_t
#include <map>     // for map

#include "jujubehead/core/ids.hpp"           // for TargetId
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
  /// Time after which a target that has not responded since is taken to have
  /// lost what it was sent.
  Duration max_delay = std::chrono::minutes(2);
  /// Time after the start of the process until the first retry.
  Duration start_delay = std::chrono::seconds(10);
};

/// @brief Limits the retries in any sliding window to a share of the requests
/// plus a fixed number.
///
/// Each instance keeps to its own part, so all instances together keep to the
/// total: requests are counted where they arrive, and of `fixed` each has the
/// share that it was given last, see FleetShare. RetryBudget, in contrast,
/// limits a long-term share and has no window.
///
/// What is sent to a target that does not respond may be read much later, when
/// its process goes on, whether its connection was closed or not. Such sends of
/// retried requests count until the target responds, and for a window after it.
///
/// The limit holds over any sliding window because, of the slots counted,
/// retries include one slot more than a window and requests one fewer. The
/// retries of an earlier process of the instance are not known, so
/// `start_delay` is at least a window.
class WindowedRetryBudget
{
public:
  /// @param aStarted when this process started.
  WindowedRetryBudget(WindowedRetryBudgetOptions aOptions, Instant aStarted);

  /// @brief Sets this instance's share of the fixed retries, 0 to 1; 0 before
  /// the first call.
  /// @param aUntil the share is 0 from then on.
  void SetFixedShare(double aShare, Instant aUntil);
  void OnRequest(Instant aNow);
  /// @return whether one more retry may be sent now; counts it if so.
  [[nodiscard]] bool TryToRetry(Instant aNow);

  /// @brief A send of a request that is, or was, retried got no response and
  /// was given up on.
  void OnUnanswered(const TargetId& aTarget, Instant aNow);
  /// @brief A target responded.
  /// @param aSent when the request of that response was sent.
  void OnResponse(const TargetId& aTarget, Instant aSent, Instant aNow);
  /// @brief A target's process ended, and with it what it had not read.
  void OnGone(const TargetId& aTarget) { m_unanswered.erase(aTarget); }

  [[nodiscard]] std::uint64_t Denied() const { return m_denied; }

private:
  static constexpr std::size_t kSlotsInWindow = 10;
  static constexpr std::size_t kSlots = kSlotsInWindow + 1;

  struct Slot
  {
    std::uint64_t requests = 0;
    std::uint64_t retries = 0;
  };

  /// Sends to one target that it may still read.
  struct Unanswered
  {
    std::uint64_t sends = 0;
    Instant last{}; ///< When the last one was given up on.
  };

  void Advance(Instant aNow);
  /// @return the retries that count now: of the window, and those that targets
  /// may read from now on.
  [[nodiscard]] std::uint64_t Retries(Instant aNow);

  WindowedRetryBudgetOptions m_options;
  Instant m_started;
  std::array<Slot, kSlots> m_slots{};
  std::int64_t m_number = 0; ///< Of the current slot, since the clock's epoch.
  std::uint64_t m_denied = 0;
  std::map<TargetId, Unanswered> m_unanswered;
  double m_fixed_share = 0;
  Instant m_share_until{};
};

} // namespace jujubehead::core

#endif // JUJUBEHEAD_CORE_ROUTING_WINDOWED_RETRY_BUDGET_HPP
