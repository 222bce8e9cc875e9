#ifndef JUJUBEHEAD_CORE_ROUTING_LOAD_ESTIMATE_HPP
#define JUJUBEHEAD_CORE_ROUTING_LOAD_ESTIMATE_HPP

#include <cstdint>  // for uint32_t
#include <memory>   // for shared_ptr
#include <optional> // for optional
#include <utility>  // for move

#include "jujubehead/core/runtime_clock.hpp" // for Instant, Duration

namespace jujubehead::core {

/// @brief The load that a target reported with a response.
struct ReportedLoad
{
  std::uint32_t running = 0;
  std::uint32_t waiting = 0;
  std::uint32_t slots = 0;
};

/// @brief Moving average of the load that the targets of one service reported
/// with their responses.
///
/// It decays to zero when no target of the service reports for a while. Load is
/// a reason to refuse, and an instance that refuses everything gets no
/// responses: without the decay, an instance that once met full targets would
/// refuse requests forever.
class ServiceLoadAverage
{
public:
  void OnReport(double aOthers, double aWaiting, Instant aNow);
  /// @brief A request of this instance ended.
  void OnEnded(Duration aLasted);
  /// @return the age at which the weight of a target's report has halved. It
  /// follows the duration of requests, because a target's load does not change
  /// until they end. One second before the first has ended.
  [[nodiscard]] Duration HalfLife() const;
  /// @return the mean duration of a request; 0 before the first has ended.
  [[nodiscard]] Duration MeanDuration() const;
  /// @return the mean number of other instances' requests at a target.
  [[nodiscard]] double Others(Instant aNow) const
  {
    return m_others * Weight(aNow);
  }
  [[nodiscard]] double Waiting(Instant aNow) const
  {
    return m_waiting * Weight(aNow);
  }

private:
  /// @return the weight left after the time without reports, 0 to 1.
  [[nodiscard]] double Weight(Instant aNow) const;

  std::optional<Instant> m_reported_at; ///< The last report.
  double m_others = 0;
  double m_waiting = 0;
  // Moving averages of the duration in seconds and of its square.
  double m_lasted = 0;
  double m_lasted_squared = 0;
};

/// @brief Estimates the requests at a target: those of this instance, which are
/// counted, and those of others, from the target's last report.
///
/// Reports age quickly, and one of many instances gets a report of each target
/// only every few seconds. The older a report, the more the service's average
/// replaces it; else a fleet that is full would appear empty.
class LoadEstimate
{
public:
  LoadEstimate() = default;
  /// @param aAverage of the target's service; reports are added to it.
  explicit LoadEstimate(std::shared_ptr<ServiceLoadAverage> aAverage)
    : m_average(std::move(aAverage))
  {
  }

  void OnBegin() { ++m_own; }
  void OnEnd(Duration aLasted);
  /// @brief The target reported its load, this instance's requests included.
  void OnReport(const ReportedLoad& aLoad, Instant aNow);
  /// @brief Another instance passed on a report of the target. It is not added
  /// to the average, as instances exchange reports of the busiest targets only.
  void OnRelayedReport(const ReportedLoad& aLoad, Instant aReceivedAt);

  [[nodiscard]] std::uint32_t Own() const { return m_own; }
  /// @return the mean duration of the service's requests; 0: unknown.
  [[nodiscard]] Duration MeanDuration() const;
  /// @return the requests queued at the target.
  [[nodiscard]] double Waiting(Instant aNow) const;
  /// @return requests at the target, of all instances.
  [[nodiscard]] double Requests(Instant aNow) const;

private:
  void Record(const ReportedLoad& aLoad, Instant aReceivedAt);
  /// @return the reported value, moved towards the average as it ages.
  [[nodiscard]] double Decayed(double aReported,
                               double aAverage,
                               Instant aNow) const;

  std::shared_ptr<ServiceLoadAverage> m_average; ///< Null: taken as 0.
  std::uint32_t m_own = 0;
  double m_others = 0;  ///< By the target's last report.
  double m_waiting = 0; ///< By the target's last report.
  std::optional<Instant> m_reported_at;
};

} // namespace jujubehead::core

#endif // JUJUBEHEAD_CORE_ROUTING_LOAD_ESTIMATE_HPP
