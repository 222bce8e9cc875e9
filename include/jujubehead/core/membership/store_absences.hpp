#ifndef JUJUBEHEAD_CORE_MEMBERSHIP_STORE_ABSENCES_HPP
#define JUJUBEHEAD_CORE_MEMBERSHIP_STORE_ABSENCES_HPP

#include <cstddef>  // for size_t
#include <deque>    // for deque
#include <optional> // for optional

#include "jujubehead/core/runtime_clock.hpp" // for Instant, Duration

namespace jujubehead::core {

/// @brief A time that counts only while the operators' store is heard.
struct HeardTime
{
  Duration in_one{}; ///< It is over after so long without an absence,
  Duration in_all{}; ///< or after so long without the absences.
};

/// @brief The times in which the operators' store was away, as this process
/// saw them: two calls in a row failed, which take different ways.
///
/// A single call that fails is no absence: its connection may have fallen
/// silent, or this process may have been suspended.
class StoreAbsences
{
public:
  /// @param aAsked when a call was begun that the store answered. It was there
  /// from then on: a call that waits for a change is answered when one comes.
  /// @return whether calls had failed before it.
  bool OnAnswer(Instant aAsked);
  /// @brief A call got no answer from it.
  void OnFailure(Instant aNow);

  /// @return when a time that began at an instant is over, if the store is
  /// heard from now on. Absences before this process began count as if it had
  /// been heard.
  [[nodiscard]] Instant EndOf(Instant aBegan,
                              const HeardTime& aTime,
                              Instant aNow) const;

private:
  struct Absence
  {
    Instant from;
    Instant to;
  };

  std::deque<Absence> m_past;            ///< The newest, oldest first.
  std::optional<Instant> m_first_failed; ///< Since the last answer.
  std::size_t m_failed = 0;              ///< Calls since the last answer.
};

} // namespace jujubehead::core

#endif // JUJUBEHEAD_CORE_MEMBERSHIP_STORE_ABSENCES_HPP
