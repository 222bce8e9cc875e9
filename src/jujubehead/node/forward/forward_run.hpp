#ifndef JUJUBEHEAD_NODE_FORWARD_FORWARD_RUN_HPP
#define JUJUBEHEAD_NODE_FORWARD_FORWARD_RUN_HPP

#include <cstdint>     // for uint64_t
#include <memory>      // for shared_ptr
#include <optional>    // for optional
#include <set>         // for set
#include <span>        // for span
#include <string>      // for string
#include <string_view> // for string_view
#include <vector>      // for vector

#include <boost/asio/awaitable.hpp> // for awaitable

#include "jujubehead/core/routing/attempt_plan.hpp"    // for AttemptHistory
#include "jujubehead/core/routing/homes.hpp"           // for Homes
#include "jujubehead/core/routing/placement.hpp"       // for PlacementCandidate
#include "jujubehead/core/routing/poison_requests.hpp" // for Quarantine
#include "jujubehead/core/routing/request_fingerprint.hpp" // for RequestFingerprint
#include "jujubehead/net/deadline.hpp"                     // for Deadline
#include "jujubehead/net/http1/event_cutter.hpp"           // for EventCutter

#include "caller_session.hpp"  // for CallerSession
#include "forward_state.hpp"   // for ForwardState
#include "request_phase.hpp"   // for RequestPhase
#include "target_exchange.hpp" // for TargetExchange
#include "transfer_plan.hpp"   // for PlannedTokens

namespace jujubehead::node {

struct HedgedSend;

/// Why a stopping instance refuses a request.
inline constexpr std::string_view kShuttingDown = "instance is shutting down";

/// @brief Forwards one caller's request: finds its route and account, sends it
/// to a target, retries where that is allowed, and relays the response.
class ForwardRun
{
public:
  ForwardRun(ForwardState& aState, std::shared_ptr<CallerSession> aSession);
  ~ForwardRun();
  ForwardRun(const ForwardRun&) = delete;
  ForwardRun& operator=(const ForwardRun&) = delete;
  ForwardRun(ForwardRun&&) = delete;
  ForwardRun& operator=(ForwardRun&&) = delete;

  /// @brief Runs until the final response.
  boost::asio::awaitable<void> Run();
  [[nodiscard]] RequestPhase Phase() const;
  /// @brief The instance stops: the request gets its final response before.
  void OnStopRequested();
  /// @brief Logs a request that is open when the process ends.
  void LogAtExit();

private:
  /// How an attempt failed; nothing when the final response was sent or the
  /// caller has disconnected.
  using AttemptFailure = std::optional<core::AttemptOutcome>;

  struct LocalReply
  {
    unsigned status = 0;
    std::string message;
    bool is_retryable = false;
  };

  std::optional<LocalReply> Prepare();
  std::optional<LocalReply> Identify();
  /// @return the time from the request's arrival to its response, at most.
  [[nodiscard]] core::Duration TimeLimit() const;
  void SetTimeLimit();
  // In request_in_stop.cpp.
  /// @return whether the request may be sent to a target now: always, unless
  /// the instance stops.
  [[nodiscard]] bool MayBeSent() const;
  /// @param aMayHaveRun a target has had it, maybe the present one.
  [[nodiscard]] bool MayBeSent(bool aMayHaveRun) const;
  /// @return whether the request ends before the instance does, if it is sent
  /// now.
  [[nodiscard]] bool EndsBeforeExit(bool aMayHaveRun) const;
  /// @return an upper bound of the time that requests of the route take, if it
  /// is known.
  [[nodiscard]] std::optional<core::Duration> UsualDuration() const;
  void RecordDuration();
  /// @brief Sends the request until a target has answered it, or none may.
  boost::asio::awaitable<void> Forward();
  /// @brief Sends it to one target.
  /// @param aLast how the attempt before ended; set to how this one did.
  /// @return what follows; nothing when the final response was sent or the
  /// caller has disconnected.
  boost::asio::awaitable<std::optional<core::NextStep>> SendOnce(
    core::AttemptOutcome& aLast);
  /// @return whether the retry budget allows one more send.
  [[nodiscard]] bool TakeRetry();
  boost::asio::awaitable<void> Finish(core::NextStep aStep);
  boost::asio::awaitable<void> SendLocalReply(LocalReply aReply);
  boost::asio::awaitable<bool> SendResponse(
    FullResponse aResponse,
    core::MemoryBudget::Reservation* aHeld = nullptr);

  /// @return whether the request would probably meet its objective there.
  [[nodiscard]] bool IsWorthSending(const FleetTarget& aTarget);
  /// @return whether a service whose routes compete has room for the request.
  /// Else sets when its caller is to come back.
  [[nodiscard]] bool HasRoom(RoomGate& aRoom);
  [[nodiscard]] std::uint32_t Urgency() const;
  [[nodiscard]] std::shared_ptr<FleetTarget> ChooseTarget();
  /// @return a cold target that takes a request of this instance now, if the
  /// other targets have no room.
  [[nodiscard]] std::shared_ptr<FleetTarget> ChooseColdTarget();
  /// @return whether a cold target may take the request, but for its share.
  [[nodiscard]] bool IsColdCandidate(const FleetTarget& aTarget,
                                     core::Instant aNow) const;
  /// @return whether a target accepts the chosen request at this moment.
  [[nodiscard]] bool StillAccepts(const FleetTarget& aTarget) const;
  /// What the request may be quarantined for.
  struct PromptSuspect
  {
    core::RequestFingerprint fingerprint{};
    std::uint32_t depth = 0; ///< As in core::CrashReport.
  };

  /// @brief Places a suspect, apart from the other requests of a crashed target
  /// and, the more targets it has crashed, from any.
  [[nodiscard]] std::optional<std::size_t> PlaceSuspect(
    std::span<const core::PlacementCandidate> aCandidates);
  /// @brief Leaves the targets outside data centres in which one crashed under
  /// the request, if there are any: more of them may be about to be lost.
  void AvoidCrashedDataCentres(
    std::vector<std::shared_ptr<FleetTarget>>& aTargets) const;
  /// @return the targets that the request may run on now.
  [[nodiscard]] std::vector<std::shared_ptr<FleetTarget>> Candidates() const;
  /// @return the targets that take requests, but for limits: where possible
  /// usable ones with the newest weights.
  [[nodiscard]] std::vector<std::shared_ptr<FleetTarget>> Acceptable() const;
  /// @return this instance's share of the limits of some targets, if all of
  /// them are limited.
  [[nodiscard]] core::ServiceLimit LimitOf(
    std::span<const std::shared_ptr<FleetTarget>> aTargets) const;
  /// @brief Removes the targets at which the request would exceed this
  /// instance's share, if they are brittle.
  void KeepShares(std::vector<std::shared_ptr<FleetTarget>>& aTargets) const;
  /// @return this instance's shares of some targets.
  [[nodiscard]] core::ServiceConcurrency ConcurrencyAt(
    std::span<const std::shared_ptr<FleetTarget>> aTargets) const;
  /// @brief Sets the time after which a retry is useful, if the request is
  /// refused as its targets are brittle.
  /// @return whether it is.
  bool ExplainShares();
  /// @return the tokens that the request takes of a target's memory.
  [[nodiscard]] std::uint64_t Tokens() const;
  /// @brief Sets the time after which a retry is useful, if the request is
  /// refused for limits.
  /// @return whether it is.
  bool ExplainLimits();
  /// @return whether the account's and the route's regions allow a target.
  [[nodiscard]] bool IsAllowed(const FleetTarget& aTarget) const
  {
    return m_homes.Allow(aTarget.target.data_centre);
  }
  /// @brief Finds out why there is no candidate: sets the time after which a
  /// retry is useful, and m_last_error unless an attempt has set it.
  void ExplainNoTarget();
  [[nodiscard]] TargetCall BuildCall(const FleetTarget& aTarget);
  /// @return the scope that shares the prompt's parts at a weight version.
  [[nodiscard]] core::CacheScope ScopeFor(std::uint64_t aWeightVersion) const;
  /// @return the data centre that placement prefers for the prompt, if any.
  [[nodiscard]] std::optional<core::DataCentreId> PreferredDataCentre(
    std::span<const std::shared_ptr<FleetTarget>> aTargets) const;

  boost::asio::awaitable<AttemptFailure> Attempt(
    std::shared_ptr<FleetTarget> aTarget);
  boost::asio::awaitable<AttemptFailure> Exchange(FleetTarget& aTarget,
                                                  TargetExchange& aExchange);
  /// @brief Relays the reply whose head was read, or finds out how it failed.
  boost::asio::awaitable<AttemptFailure> RelayReply(FleetTarget& aTarget,
                                                    TargetExchange& aExchange,
                                                    ReadResult aResult);
  void RecordLatency();
  /// @return whether a reply's head is a target's response to the request.
  [[nodiscard]] static bool IsResponse(const TargetExchange& aExchange);
  [[nodiscard]] ExchangeOptions OptionsOfExchange() const;
  /// @brief Takes a send that is over, or was cancelled, off the target's load.
  void EndSend(FleetTarget& aTarget,
               const TargetExchange& aExchange,
               core::Instant aSentAt);

  /// @brief Sets when the request is sent to a second target, if it may be.
  void StartHedgeTimer();
  void BeginHedge();
  /// @return the target of a second send; null if there is to be none.
  [[nodiscard]] std::shared_ptr<FleetTarget> ChooseHedgeTarget();
  /// @brief The second send, until its reply's head.
  boost::asio::awaitable<void> RunHedge(std::shared_ptr<HedgedSend> aHedge);
  void SendHedge(HedgedSend& aHedge);
  void OnHedgeHead(HedgedSend& aHedge);
  void CancelFirstSend();
  /// @return whether the second target has responded before the first.
  [[nodiscard]] bool WasFirstSendCancelled() const;
  /// @brief Waits for the second send, if there is one, unless the first target
  /// has responded.
  /// @return whether the second target's response is to be relayed.
  boost::asio::awaitable<bool> HasHedgeWon(bool aHasResponse);
  boost::asio::awaitable<AttemptFailure> RelayHedge(
    FleetTarget& aFirst,
    TargetExchange& aFirstExchange);

  boost::asio::awaitable<AttemptFailure> RelayBuffered(
    FleetTarget& aTarget,
    TargetExchange& aExchange,
    ReadResult aResult);
  boost::asio::awaitable<AttemptFailure> RelayStream(FleetTarget& aTarget,
                                                     TargetExchange& aExchange,
                                                     ReadResult aResult);
  boost::asio::awaitable<AttemptFailure> OnBrokenReply(
    FleetTarget& aTarget,
    const TargetExchange& aExchange);
  /// @brief Finds out whether the target's process has ended, or only a
  /// connection, after a reply broke off.
  boost::asio::awaitable<bool> HasCrashed(FleetTarget& aTarget);
  [[nodiscard]] core::RequestFingerprint Fingerprint();
  /// @return the parts of the prompt that other requests may hold, too: all but
  /// the last one.
  [[nodiscard]] std::vector<PromptSuspect> PartSuspects();
  /// @return the request and these parts.
  [[nodiscard]] std::vector<PromptSuspect> Suspects();
  /// @return whether the request, or a part of its prompt, crashes its targets
  /// and is not sent to more.
  [[nodiscard]] bool IsQuarantined();
  /// @return why a request in quarantine is refused.
  [[nodiscard]] std::string ExplainQuarantine() const;
  /// @return whether a part of the prompt may have crashed several targets.
  [[nodiscard]] bool HoldsCrashingPart();
  /// @brief Reports that the request was at a target that crashed.
  void ReportCrash(const FleetTarget& aTarget, core::Instant aBrokeAt);
  /// @brief Finds out at which software version the stream that the caller
  /// goes on with has begun.
  /// @return whether it is known.
  boost::asio::awaitable<bool> FindStream();
  /// @return whether the stream may go on at a target, if it has begun.
  [[nodiscard]] bool IsOfStream(const FleetTarget& aTarget) const
  {
    return !m_stream_version ||
           *m_stream_version == aTarget.target.software_version;
  }
  /// @brief Leaves new streams to the versions that all instances know, if
  /// there are any.
  void AvoidUnsettledVersions(
    std::vector<std::shared_ptr<FleetTarget>>& aTargets) const;
  /// @brief Events of the target reach the caller.
  void OnStreamBegun();
  /// @brief Makes the request the probe of its quarantine, if that is over and
  /// no other copy is.
  /// @return whether it may be sent.
  boost::asio::awaitable<bool> BecomeProbe();
  /// @return the targets that the request crashed one after the other.
  [[nodiscard]] std::uint32_t CrashCount();
  /// @brief Logs that a request is sent that crashed targets before.
  void LogSuspect(const FleetTarget& aTarget);
  /// @brief A reply of the target names a limit of its requests, or none.
  void RecordLimit(FleetTarget& aTarget, const ReplyMetadata& aMetadata);
  /// @brief A reply says whether the service's targets are brittle.
  void RecordBrittleness(FleetTarget& aTarget, const ReplyMetadata& aMetadata);
  /// @brief Reports it to the other instances, when it has changed and, while
  /// the targets are brittle, each second.
  void ReportBrittleness(bool aHasChanged);
  /// @brief An attempt is over; the target may still run its request.
  void ReleaseShare(FleetTarget& aTarget, const TargetExchange& aExchange);
  /// @brief The target answered completely.
  void OnCompleted();
  AttemptFailure OnRefusal(FleetTarget& aTarget,
                           unsigned aStatus,
                           const ReplyMetadata& aMetadata);
  /// @brief Reports to other instances that the target has left its address.
  void PublishGone(const FleetTarget& aTarget);
  /// @brief Applies what a reply's head says of its target. The head may be of
  /// any status: a target that answers for another, or with other weights than
  /// expected, says no less of its own state.
  void RecordReply(FleetTarget& aTarget,
                   unsigned aStatus,
                   const ReplyMetadata& aMetadata);
  /// @brief A reply of the target says that it is about to leave.
  void OnDraining(FleetTarget& aTarget);
  /// @brief A target refused the request and requested backoff.
  void OnPushback(FleetTarget& aTarget, core::Duration aTime);
  void RecordAttempt(core::AttemptOutcome aEnd, const core::TargetId& aTarget);
  /// @brief Counts the sends that targets may read later against the budget of
  /// the retries, once the request has been sent twice.
  void CountUnanswered();
  // In silent_target.cpp.
  /// @return whether the request may go on at another target if this one does
  /// not respond.
  [[nodiscard]] bool MayGoOnElsewhere() const;
  void StartStallTimer(const FleetTarget& aTarget);
  void SetStallTimer(core::Duration aTimeout);
  void StartPathTimer();
  /// @brief The target has not responded at all: finds out whether the path to
  /// it is lost, and gives the attempt up if so.
  void OnNoResponse();
  /// @brief Gives the current attempt up, as the target does not respond.
  void OnStalled();
  void OnSilenceTimeout();
  /// @brief Gives the current attempt up if the request can go on at another
  /// target at this moment. Else its target keeps it: it may still respond.
  /// @return whether it was given up.
  bool LeaveSilentTarget();
  /// @return whether another target of the service has responded since this one
  /// did. If none has, all of them, or this instance, may stand still.
  [[nodiscard]] bool HasAnotherResponded() const;
  /// @brief A stream that was taken from its target waits until another one
  /// takes it.
  /// @return whether it is to be sent once more.
  boost::asio::awaitable<bool> AwaitAnotherTarget();

  /// @return the time until no request may start on a target's weights. The
  /// target enforces it, as this instance may have exited by then.
  [[nodiscard]] core::Duration TimeUntilWeightsExpire(
    const TargetCall& aCall) const;
  void CancelExchange();
  /// @brief There is no time left for the request.
  void OnExpired();
  [[nodiscard]] std::string_view ExpiryReason() const;
  void LogEnd(std::string_view aEvent,
              unsigned aStatus,
              std::string_view aDetail);
  /// @brief Logs an attempt that did not lead to a response.
  void LogAttempt(core::AttemptOutcome aEnd, bool aIsRetried);
  /// @return the log for lines about this request.
  [[nodiscard]] DecisionLog& Log() const;
  void AddWeights(LogLine& aLine) const;
  void AddPlacement(LogLine& aLine) const;
  /// @brief Logs the ids of the prompt's parts.
  void AddParts(LogLine& aLine) const;

  [[nodiscard]] core::Duration TimeLeft() const;
  [[nodiscard]] bool IsCancelled() const
  {
    return m_timed_out || m_session->IsDisconnected();
  }

  ForwardState& m_state;
  std::shared_ptr<CallerSession> m_session;
  std::shared_ptr<const core::Configuration> m_configuration;
  const core::Route* m_route = nullptr;
  const core::DeclaredAccount* m_account = nullptr;
  core::Homes m_homes;
  core::ServiceId m_service;
  CallerMetadata m_metadata;
  core::Instant m_expires_at{};
  core::AttemptHistory m_history;
  std::set<core::TargetId> m_tried_targets;
  std::set<core::TargetId> m_may_have_run_at; ///< Targets that got it.
  bool m_has_retry = false;       ///< Of the retry budget, for the next send.
  bool m_has_left_target = false; ///< A silent one, see LeaveSilentTarget().
  std::uint32_t m_sent_count = 0;
  /// Targets that did not respond and are not counted yet.
  std::vector<core::TargetId> m_unanswered;
  /// Data centres in which a target crashed under the request.
  std::set<core::DataCentreId> m_crashed_in;
  net::EventCutter m_cutter;
  std::optional<FullResponse>
    m_target_failure; ///< Sent if no attempt succeeds.
  core::Instant m_first_event_at{};
  core::Instant m_sent_at{};   ///< Current attempt.
  PlannedTokens m_planned;     ///< Current attempt.
  double m_load_at_send = 0;   ///< Requests at the target at m_sent_at.
  bool m_is_cold_send = false; ///< The chosen target is cold.
  std::string m_last_error;
  std::optional<core::RequestFingerprint> m_fingerprint; ///< Once computed.
  /// Of the prompt's parts, once computed.
  std::optional<std::vector<PromptSuspect>> m_part_fingerprints;
  bool m_target_crashed = false; ///< In the current attempt.
  std::optional<core::Duration> m_requested_backoff; ///< Current attempt.
  /// Time until the request may be sent: targets that are all cold or in
  /// backoff take requests again, or its quarantine ends; 0: unknown.
  core::Duration m_available_in{};
  /// Whether m_available_in is the caller's own place among those refused.
  bool m_is_return_scheduled = false;
  /// What IsQuarantined() found last.
  std::optional<PromptSuspect> m_quarantined;
  /// Set while the request may be sent although it is in quarantine.
  std::optional<core::Quarantine> m_probe;
  /// Software version at which the stream has begun, once it has.
  std::optional<std::string> m_stream_version;
  std::string m_sent_version; ///< Of the current attempt's target.
  std::string m_last_target;
  std::string m_last_peer; ///< Through which it was reached; empty: directly.
  /// Expected weight version of the last target.
  std::optional<std::uint64_t> m_last_weights;

  net::Deadline m_deadline_timer;
  net::Deadline m_stall_timer;
  net::Deadline m_path_timer;
  std::optional<net::Deadline> m_hedge_timer; ///< While one is awaited.
  std::shared_ptr<HedgedSend> m_hedge;        ///< Of the current attempt.
  bool m_has_ended_first_send = false;        ///< Of the current attempt.

  TargetExchange* m_exchange = nullptr; ///< In progress.
  /// Whether a target has crashed, while that is being found out.
  std::shared_ptr<ConnectionAttempt> m_crash_check;
  std::shared_ptr<FleetTarget> m_awaited_target;
  core::Instant m_awaiting_since{};
  core::Instant m_stall_due{};    ///< When m_stall_timer is to expire.
  bool m_is_known_silent = false; ///< Since m_awaiting_since.
  bool m_was_stall_late = false;  ///< The timer, since m_awaiting_since.
  core::Duration m_silence{};     ///< Of the target that was given up.
  core::Duration m_stall_delay{}; ///< Of the timer: this thread's own delay.
  bool m_timed_out = false;
  bool m_stall_timed_out = false; ///< In the current attempt.
  bool m_is_streaming = false;    ///< Counted in the target's active_streams.
  bool m_is_responding = false;   ///< With a complete response.
  bool m_was_answered = false;    ///< By a target, completely.
};

} // namespace jujubehead::node

#endif // JUJUBEHEAD_NODE_FORWARD_FORWARD_RUN_HPP
