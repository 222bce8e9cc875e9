#ifndef JUJUBEHEAD_NODE_FORWARD_FORWARD_RUN_HPP
#define JUJUBEHEAD_NODE_FORWARD_FORWARD_RUN_HPP

#include <cstdint>  // for uint64_t
#include <memory>   // for shared_ptr
#include <optional> // for optional
#include <set>      // for set
#include <span>     // for span
#include <string>   // for string
#include <vector>   // for vector

#include <boost/asio/awaitable.hpp> // for awaitable

#include "jujubehead/core/routing/attempt_plan.hpp" // for AttemptHistory
#include "jujubehead/net/deadline.hpp"              // for Deadline
#include "jujubehead/net/http1/event_cutter.hpp"    // for EventCutter

#include "caller_session.hpp"  // for CallerSession
#include "forward_state.hpp"   // for ForwardState
#include "part_places.hpp"     // for PlacedTokens
#include "target_exchange.hpp" // for TargetExchange

namespace jujubehead::node {

/// @brief Forwards one caller's request: finds its route and account, sends it
/// to a target, retries where that is allowed, and relays the response.
class ForwardRun
{
public:
  ForwardRun(ForwardState& aState, std::shared_ptr<CallerSession> aSession);

  /// @brief Runs until the final response.
  boost::asio::awaitable<void> Run();

private:
  /// How an attempt failed; nothing when the final response was sent or the
  /// caller has disconnected.
  using Ended = std::optional<core::AttemptEnd>;

  struct OwnAnswer
  {
    unsigned status = 0;
    std::string why;
    bool may_come_back = false;
  };

  std::optional<OwnAnswer> Prepare();
  std::optional<OwnAnswer> Identify();
  void LimitTime();
  boost::asio::awaitable<void> Forward();
  boost::asio::awaitable<void> Conclude(core::NextStep aStep);
  boost::asio::awaitable<void> Give(OwnAnswer aAnswer);

  /// @return whether the request would probably meet its objective there.
  [[nodiscard]] bool IsBegun(const FleetTarget& aTarget);
  [[nodiscard]] std::uint32_t Urgency() const;
  [[nodiscard]] std::shared_ptr<FleetTarget> Choose();
  [[nodiscard]] std::vector<std::shared_ptr<FleetTarget>> Candidates() const;
  [[nodiscard]] TargetCall CallFor(const FleetTarget& aTarget);
  /// @return the scope that shares the prompt's parts at a weight version.
  [[nodiscard]] core::CacheScope ScopeOn(std::uint64_t aWeightVersion) const;
  /// @return the data centre that placement prefers for the prompt, if any.
  [[nodiscard]] std::optional<core::DataCentreId> StorePlace(
    std::span<const std::shared_ptr<FleetTarget>> aTargets) const;

  boost::asio::awaitable<Ended> Attempt(std::shared_ptr<FleetTarget> aTarget);
  boost::asio::awaitable<Ended> Exchange(FleetTarget& aTarget,
                                         TargetExchange& aExchange);
  boost::asio::awaitable<Ended> PassWhole(FleetTarget& aTarget,
                                          TargetExchange& aExchange,
                                          ReplyPart aPart);
  boost::asio::awaitable<Ended> PassStream(FleetTarget& aTarget,
                                           TargetExchange& aExchange,
                                           ReplyPart aPart);
  Ended EndBroken(FleetTarget& aTarget, const TargetExchange& aExchange);
  Ended EndRefused(FleetTarget& aTarget,
                   unsigned aStatus,
                   const ReplyFacts& aFacts);
  /// @brief Reports to other instances that the target has left its address.
  void ReportGone(const FleetTarget& aTarget);
  void NoteReply(FleetTarget& aTarget, const ReplyFacts& aFacts);
  void Count(core::AttemptEnd aEnd);
  void SetPatience(const FleetTarget& aTarget);
  void LosePatience();
  /// @return the time until no request may start on a target's weights. The
  /// target enforces it, as this instance may have exited by then.
  [[nodiscard]] core::Duration TimeOnWeights(const TargetCall& aCall) const;
  void Stop();
  void LogEnd(std::string_view aEvent, unsigned aStatus, std::string_view aWhy);
  void AddWeights(LogLine& aLine) const;
  void AddPlacement(LogLine& aLine) const;

  [[nodiscard]] core::Duration TimeLeft() const;
  [[nodiscard]] bool IsOver() const
  {
    return m_timed_out || m_session->IsGone();
  }

  ForwardState& m_state;
  std::shared_ptr<CallerSession> m_session;
  std::shared_ptr<const core::Configuration> m_configuration;
  const core::Route* m_route = nullptr;
  const core::DeclaredAccount* m_account = nullptr;
  core::ServiceId m_service;
  CallerFacts m_facts;
  core::Instant m_until{};
  core::AttemptHistory m_history;
  std::set<core::TargetId> m_tried;
  net::EventCutter m_cutter;
  std::optional<WholeAnswer> m_failure; ///< Sent if no attempt succeeds.
  core::Instant m_first_event{};
  core::Instant m_sent{};    ///< Current attempt.
  PlacedTokens m_placed;     ///< Current attempt.
  double m_load_at_send = 0; ///< Requests at the target at m_sent_at.
  std::string m_last_why;
  std::string m_last_target;
  /// Expected weight version of the last target.
  std::optional<std::uint64_t> m_last_weights;

  net::Deadline m_deadline;
  net::Deadline m_patience;

  TargetExchange* m_exchange = nullptr; ///< In progress.
  std::shared_ptr<FleetTarget> m_waits_for;
  core::Instant m_waits_since{};
  bool m_timed_out = false;
  bool m_lost_patience = false; ///< In the current attempt.
  bool m_is_streaming = false;  ///< Counted in the target's active_streams.
};

} // namespace jujubehead::node

#endif // JUJUBEHEAD_NODE_FORWARD_FORWARD_RUN_HPP
