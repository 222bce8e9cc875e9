#ifndef JUJUBEHEAD_CORE_ROUTING_REPEAT_BUDGET_HPP
#define JUJUBEHEAD_CORE_ROUTING_REPEAT_BUDGET_HPP

#include <array>   // for array
#include <cstddef> // for size_t
#include <cstdint> // for uint64_t

#include "jujubehead/core/runtime_clock.hpp" // for Instant, Duration

namespace jujubehead::core {

/// @brief Bounds of a repeat budget.
struct RepeatBudgetOptions
{
  /// The window over which the bound has to hold.
  Duration window = std::chrono::seconds(10);
  /// Repeats that each request of the window allows.
  double per_request = 0.2;
  /// Repeats that are allowed besides, of this instance alone.
  double fixed = 1;
};

/// @brief Bounds repeats over any window of time to a share of the requests and
/// a fixed number.
///
/// Each instance keeps to its own part, so all of them together keep to the
/// whole without asking each other, however many come and go: requests are
/// counted where they arrive, and `fixed` is the whole divided by the most
/// instances that may live. RetryBudget, beside it, bounds a long-term share
/// and knows no window.
///
/// A bound over sliding windows is kept by counting in slots: repeats of one
/// slot more than the window has, requests of one slot less.
class RepeatBudget
{
public:
  explicit RepeatBudget(RepeatBudgetOptions aOptions);

  void OnRequest(Instant aNow);
  /// @return whether one more repeat may be sent now; counts it if so.
  [[nodiscard]] bool TryRepeat(Instant aNow);

  [[nodiscard]] std::uint64_t Denied() const { return m_denied; }

private:
  static constexpr std::size_t kSlotsInWindow = 10;
  static constexpr std::size_t kSlots = kSlotsInWindow + 1;

  struct Slot
  {
    std::uint64_t requests = 0;
    std::uint64_t repeats = 0;
  };

  void Advance(Instant aNow);

  RepeatBudgetOptions m_options;
  std::array<Slot, kSlots> m_slots{};
  std::int64_t m_number = 0; ///< Of the present slot, since the clock's epoch.
  std::uint64_t m_denied = 0;
};

} // namespace jujubehead::core

#endif // JUJUBEHEAD_CORE_ROUTING_REPEAT_BUDGET_HPP
