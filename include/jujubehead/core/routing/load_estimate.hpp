#ifndef JUJUBEHEAD_CORE_ROUTING_LOAD_ESTIMATE_HPP
#define JUJUBEHEAD_CORE_ROUTING_LOAD_ESTIMATE_HPP

#include <cstdint>  // for uint32_t
#include <memory>   // for shared_ptr
#include <optional> // for optional
#include <utility>  // for move

#include "jujubehead/core/runtime_clock.hpp" // for Instant, Duration

namespace jujubehead::core {

/// @brief The load that a target told with an answer.
struct ReportedLoad
{
  std::uint32_t running = 0;
  std::uint32_t waiting = 0;
  std::uint32_t slots = 0;
};

/// @brief What targets of one service told of late, in the mean: a moving mean
/// over answers of all of them.
///
/// It fades to nothing when none of them tells anything for a while. Load is a
/// reason to refuse, and who refuses everything gets no answer: without that an
/// instance that once met full targets would refuse for ever.
class UsualLoad
{
public:
  void OnReport(double aOthers, double aWaiting, Instant aNow);
  /// @brief A request of this instance ended.
  void OnEnded(Duration aLasted);
  /// @return the age at which a report of one target halves in weight. It
  /// follows how long requests last: a target's load stays as it was until they
  /// end. One second before the first has ended.
  [[nodiscard]] Duration HalfLife() const;
  /// @return requests of other instances at a target.
  [[nodiscard]] double Others(Instant aNow) const
  {
    return m_others * Weight(aNow);
  }
  [[nodiscard]] double Waiting(Instant aNow) const
  {
    return m_waiting * Weight(aNow);
  }

private:
  /// @return how much it still counts, 0 to 1.
  [[nodiscard]] double Weight(Instant aNow) const;

  std::optional<Instant> m_told; ///< By the last answer.
  double m_others = 0;
  double m_waiting = 0;
  // Moving means, in seconds and their squares.
  double m_lasted = 0;
  double m_lasted_squared = 0;
};

/// @brief Estimates the requests at a target: those of this instance, which it
/// counts itself, and those of others, from what the target last told.
///
/// What a target told is soon over. One of many instances hears of each target
/// only every few seconds, so what it does not know of one it takes from what
/// all of its service told; else a fleet that is full would look empty.
class LoadEstimate
{
public:
  LoadEstimate() = default;
  /// @param aUsual that of its service, which its reports are added to.
  explicit LoadEstimate(std::shared_ptr<UsualLoad> aUsual)
    : m_usual(std::move(aUsual))
  {
  }

  void OnBegin() { ++m_own; }
  void OnEnd(Duration aLasted);
  /// @brief The target told its load, this instance's requests included.
  void OnReport(const ReportedLoad& aLoad, Instant aNow);
  /// @brief Another instance heard its load. It says nothing of what is usual,
  /// as instances tell each other of the busiest.
  void OnTold(const ReportedLoad& aLoad, Instant aHeard);

  [[nodiscard]] std::uint32_t Own() const { return m_own; }
  /// @return requests that wait there, by what it told of late.
  [[nodiscard]] double Waiting(Instant aNow) const;
  /// @return requests at the target, of all instances.
  [[nodiscard]] double Requests(Instant aNow) const;

private:
  void Take(const ReportedLoad& aLoad, Instant aHeard);
  /// @return what the target told, or what is usual the older that is.
  [[nodiscard]] double Faded(double aTold, double aUsual, Instant aNow) const;

  std::shared_ptr<UsualLoad> m_usual; ///< Null: nothing is usual.
  std::uint32_t m_own = 0;
  double m_others = 0;  ///< When the target last told.
  double m_waiting = 0; ///< When the target last told.
  std::optional<Instant> m_told;
};

} // namespace jujubehead::core

#endif // JUJUBEHEAD_CORE_ROUTING_LOAD_ESTIMATE_HPP
