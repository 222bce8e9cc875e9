#ifndef JUJUBEHEAD_NODE_FORWARD_ROOM_GATE_HPP
#define JUJUBEHEAD_NODE_FORWARD_ROOM_GATE_HPP

#include <cstdint>       // for uint64_t
#include <memory>        // for shared_ptr
#include <span>          // for span
#include <string>        // for string
#include <unordered_map> // for unordered_map

#include "jujubehead/core/routing/account_shares.hpp"  // for AccountShares
#include "jujubehead/core/routing/return_schedule.hpp" // for ReturnSchedule
#include "jujubehead/core/routing/room_admission.hpp"  // for ServiceLoad
#include "jujubehead/core/routing/urgency_scale.hpp"   // for UrgencyScale

#include "target_fleet.hpp" // for FleetTarget

namespace jujubehead::node {

/// @brief The requests of one service while its routes compete for room at the
/// targets: measures the load, and decides who is admitted and when refused
/// callers come back.
class RoomGate
{
public:
  /// A request that asks for room.
  struct Request
  {
    const core::Route* route = nullptr;
    std::uint64_t tokens = 0;   ///< That it takes of a target's memory.
    core::Duration time_left{}; ///< Until its caller's deadline.
    core::AccountId account;
  };

  void SetScale(core::UrgencyScale aScale) { m_scale = std::move(aScale); }
  [[nodiscard]] const core::UrgencyScale& Scale() const { return m_scale; }

  /// @brief Decides on a request.
  /// @param aTargets of the service.
  /// @param aAccounts counts the request, unless it is always admitted.
  /// @param aUniform drawn from 0 to 1.
  bool Admit(const Request& aRequest,
             std::span<const std::shared_ptr<FleetTarget>> aTargets,
             core::AccountShares& aAccounts,
             double aUniform,
             core::Instant aNow);
  /// @return when the caller of a refused request is to come back.
  /// @param aLongest that it waits.
  core::Duration ReturnIn(core::Instant aNow, core::Duration aLongest);
  /// @return the load of the targets that take requests.
  const core::ServiceLoad& Measure(
    std::span<const std::shared_ptr<FleetTarget>> aTargets,
    core::Instant aNow);
  /// @return the load as last measured.
  [[nodiscard]] const core::ServiceLoad& Load() const { return m_load; }

private:
  /// What is known of a route's requests.
  struct RouteHistory
  {
    double mean_tokens = 0;        ///< Moving average.
    core::Duration longest_time{}; ///< Until a deadline, seen at an arrival.
  };

  [[nodiscard]] core::RoomRequest Describe(const Request& aRequest);

  core::UrgencyScale m_scale;
  core::ServiceLoad m_load;
  core::Duration m_mean_duration{}; ///< Of requests at the targets.
  core::Instant m_measured_at{};
  core::ReturnSchedule m_returns;
  std::unordered_map<std::string, RouteHistory> m_routes; ///< By name.
};

} // namespace jujubehead::node

#endif // JUJUBEHEAD_NODE_FORWARD_ROOM_GATE_HPP
