#include "forward_run.hpp"

#include <algorithm>  // for any_of, max, min
#include <cmath>      // for lround
#include <functional> // for not_fn
#include <utility>    // for move

#include "jujubehead/core/routing/placement.hpp" // for PlacePrompt

#include "retry_after.hpp"   // for kRetryAfterDivisor
#include "transfer_plan.hpp" // for StoreDataCentreOf

// Which target a request is sent to, and whether it is admitted.

namespace jujubehead::node {
namespace {

constexpr std::int64_t kMicrosPerMs = 1000;
/// A target whose weights expire within this time gets no new requests, as most
/// would not finish.
constexpr core::Duration kOldWeightsMargin = std::chrono::milliseconds(2500);
/// Share of a service's targets that must hold the newest weights before
/// requests go to those only; fewer could not handle the load.
constexpr double kMinNewestShare = 0.5;
/// Requests waiting at a brittle target from which it gets no more.
constexpr double kMaxBrittleWaiting = 1;

} // namespace

void
ForwardRun::ExplainNoTarget()
{
  const bool is_unexplained = m_last_error.empty();
  if (!m_history.has_time) {
    m_last_error = is_unexplained ? "no time left" : m_last_error;
    return;
  }
  if (ExplainLimits() || ExplainShares()) {
    return;
  }
  if (is_unexplained) {
    m_last_error = "no target available";
  }
  const core::Instant now = core::RuntimeClock::now();
  core::Instant first = core::Instant::max();
  bool is_any_in_backoff = false;
  for (const auto& target : m_state.fleet.Of(m_service)) {
    if (!IsAllowed(*target)) {
      continue;
    }
    const core::Instant until =
      std::max(target->cold_start.ColdUntil(), target->backoff.Until());
    if (until <= now) {
      return;
    }
    is_any_in_backoff |= target->backoff.IsActive(now);
    first = std::min(first, until);
  }
  if (first == core::Instant::max()) {
    return;
  }
  m_available_in = first - now;
  if (is_unexplained) {
    m_last_error = is_any_in_backoff
                     ? "all targets are cold or requested backoff"
                     : "all targets are cold";
  }
}

bool
ForwardRun::ExplainLimits()
{
  const core::ServiceLimit limit = LimitOf(Acceptable());
  if (!limit.is_limited) {
    return false;
  }
  m_state.metrics.Add(Counter::kLimitedRefusals);
  m_available_in =
    core::TimeUntilAdmitted(limit, Urgency()).value_or(core::Duration(0));
  if (m_last_error.empty()) {
    m_last_error = "all targets have named a limit on their requests";
  }
  return true;
}

std::uint64_t
ForwardRun::Tokens() const
{
  return m_metadata.prompt
           ? m_metadata.prompt->tokens + m_metadata.prompt->max_output_tokens
           : 0;
}

core::ServiceConcurrency
ForwardRun::ConcurrencyAt(
  std::span<const std::shared_ptr<FleetTarget>> aTargets) const
{
  const core::Instant now = core::RuntimeClock::now();
  core::ServiceConcurrency all;
  for (const auto& target : aTargets) {
    const core::TargetCapacity capacity = m_state.CapacityOf(*target);
    const core::HolderRank rank = m_state.HolderRankOf(*target, now);
    all.slots += core::ConcurrencyShare::Slots(capacity, rank);
    all.free += target->concurrency.Free(capacity, rank, now);
  }
  return all;
}

void
ForwardRun::KeepShares(
  std::vector<std::shared_ptr<FleetTarget>>& aTargets) const
{
  const core::Instant now = core::RuntimeClock::now();
  const core::SharingMode mode = m_state.BrittleOf(m_service).ModeAt(now);
  if (mode == core::SharingMode::kUnlimited) {
    return;
  }
  const core::ServiceConcurrency all = ConcurrencyAt(aTargets);
  const bool is_known = mode != core::SharingMode::kCautious;
  // A stream that has begun takes any place that is left.
  const std::uint32_t urgency = m_session->HasStreamBegun() ? 0 : Urgency();
  if (is_known &&
      (mode == core::SharingMode::kNone || !core::IsAdmitted(all, urgency))) {
    aTargets.clear();
    return;
  }
  if (!is_known && all.slots == 0) {
    const bool is_busy =
      std::any_of(aTargets.begin(), aTargets.end(), [](const auto& aTarget) {
        return aTarget->load.Own() > 0;
      });
    aTargets.resize(is_busy ? 0 : aTargets.size());
    return;
  }
  const std::uint64_t tokens = is_known ? Tokens() : 0;
  std::erase_if(aTargets, [&](const auto& aTarget) {
    const bool has_queue =
      is_known && aTarget->load.Waiting(now) >= kMaxBrittleWaiting;
    return has_queue ||
           !aTarget->concurrency.MaySend(m_state.CapacityOf(*aTarget),
                                         m_state.HolderRankOf(*aTarget, now),
                                         tokens,
                                         now);
  });
}

bool
ForwardRun::ExplainShares()
{
  const core::Instant now = core::RuntimeClock::now();
  const core::BrittleSignal& brittle = m_state.BrittleOf(m_service);
  const auto targets = Acceptable();
  if (!brittle.IsBrittle() || targets.empty()) {
    return false;
  }
  m_state.metrics.Add(Counter::kBrittleRefusals);
  std::uint32_t in_flight = 0;
  for (const auto& target : targets) {
    in_flight += target->concurrency.InFlight(now);
  }
  const core::Duration until_free =
    targets.front()->load.MeanDuration() / std::max(in_flight, 1U);
  m_available_in = std::max(until_free, brittle.SharesFrom() - now);
  if (m_last_error.empty()) {
    m_last_error = "this instance's share of the brittle targets is used up";
  }
  return true;
}

core::ServiceLimit
ForwardRun::LimitOf(
  std::span<const std::shared_ptr<FleetTarget>> aTargets) const
{
  const core::Instant now = core::RuntimeClock::now();
  core::ServiceLimit all;
  all.is_limited = !aTargets.empty();
  for (const auto& target : aTargets) {
    const core::TargetLimit& limit = target->limit;
    if (!limit.PerSecond()) {
      return {};
    }
    const std::size_t rank = m_state.RankOf(*target, now);
    if (!limit.IsHeld(rank, now)) {
      continue;
    }
    const double tokens = limit.Tokens(rank, now);
    all.tokens += tokens;
    all.capacity += limit.Capacity();
    all.tokens_per_second +=
      tokens < limit.Capacity() ? limit.TokensPerSecond() : 0;
  }
  return all;
}

std::vector<std::shared_ptr<FleetTarget>>
ForwardRun::Candidates() const
{
  const core::Instant now = core::RuntimeClock::now();
  std::vector<std::shared_ptr<FleetTarget>> targets = Acceptable();
  const core::ServiceLimit limit = LimitOf(targets);
  if (limit.is_limited &&
      core::TimeUntilAdmitted(limit, Urgency()) != core::Duration(0)) {
    return {};
  }
  std::erase_if(targets, [&](const auto& aTarget) {
    return !aTarget->limit.MaySend(m_state.RankOf(*aTarget, now), now);
  });
  KeepShares(targets);
  return targets;
}

std::vector<std::shared_ptr<FleetTarget>>
ForwardRun::Acceptable() const
{
  const core::Instant now = core::RuntimeClock::now();
  std::vector<std::shared_ptr<FleetTarget>> all;
  std::vector<std::shared_ptr<FleetTarget>> usable;
  for (auto& target : m_state.fleet.Of(m_service)) {
    if (m_tried_targets.contains(target->target.id) || !target->Accepts(now) ||
        !IsAllowed(*target) || !IsOfStream(*target)) {
      continue;
    }
    if (target->health.IsUsable(now)) {
      usable.push_back(target);
    }
    all.push_back(std::move(target));
  }
  auto& chosen = usable.empty() ? all : usable;
  AvoidUnsettledVersions(chosen);
  if (!m_metadata.prompt) {
    return std::move(chosen);
  }
  const auto wanted = m_state.wanted_weights.find(m_metadata.prompt->model);
  if (wanted == m_state.wanted_weights.end()) {
    return std::move(chosen);
  }
  std::vector<std::shared_ptr<FleetTarget>> newest;
  for (const auto& target : chosen) {
    const auto version =
      target->VersionOf(m_metadata.prompt->model).value_or(0);
    if (version >= wanted->second.Newest()) {
      newest.push_back(target);
    }
  }
  if (!newest.empty() &&
      static_cast<double>(newest.size()) >=
        kMinNewestShare *
          static_cast<double>(m_state.fleet.Of(m_service).size())) {
    return newest;
  }
  std::erase_if(chosen, [&](const auto& aTarget) {
    return aTarget->VersionOf(m_metadata.prompt->model).value_or(0) <
           wanted->second.OldestAllowed(now + kOldWeightsMargin);
  });
  return std::move(chosen);
}

void
ForwardRun::AvoidUnsettledVersions(
  std::vector<std::shared_ptr<FleetTarget>>& aTargets) const
{
  if (!m_route->streams || m_stream_version) {
    return;
  }
  const core::Instant now = core::RuntimeClock::now();
  const auto is_settled = [&](const auto& aTarget) {
    return aTarget->streams_from <= now;
  };
  if (std::any_of(aTargets.begin(), aTargets.end(), is_settled)) {
    std::erase_if(aTargets, std::not_fn(is_settled));
  }
}

bool
ForwardRun::IsWorthSending(const FleetTarget& aTarget)
{
  if (!m_metadata.prompt || m_history.sends > 0 ||
      !m_metadata.resume_after.empty()) {
    return true;
  }
  if (m_is_cold_send) {
    return true;
  }
  if (RoomGate* const room = m_state.RoomOf(m_service)) {
    return HasRoom(*room);
  }
  const core::Instant now = core::RuntimeClock::now();
  core::AdmissionInput input;
  input.predicted = m_state.waits[m_route->name].At(aTarget.load.Requests(now));
  input.objective = m_route->objective;
  input.urgency = Urgency();
  input.waiting = aTarget.load.Waiting(now);
  if (core::IsAdmitted(input)) {
    return true;
  }
  m_last_error = "not admitted: predicted " +
                 std::to_string(input.predicted->count() / kMicrosPerMs) +
                 " ms, objective " +
                 std::to_string(input.objective.count() / kMicrosPerMs) +
                 " ms, urgency " + std::to_string(input.urgency) + ", " +
                 std::to_string(std::lround(input.waiting)) + " waiting";
  return false;
}

bool
ForwardRun::HasRoom(RoomGate& aRoom)
{
  const core::Instant now = core::RuntimeClock::now();
  std::uniform_real_distribution<double> uniform(0, 1);
  RoomGate::Request request;
  request.route = m_route;
  request.tokens = Tokens();
  request.time_left = TimeLeft();
  request.account = m_account != nullptr ? m_account->id : core::AccountId();
  m_state.ReportAccounts(now);
  if (aRoom.Admit(request,
                  m_state.fleet.Of(m_service),
                  m_state.accounts,
                  uniform(m_state.random),
                  now)) {
    return true;
  }
  m_state.metrics.Add(Counter::kRoomRefusals);
  m_available_in = aRoom.ReturnIn(now, TimeLeft() / kRetryAfterDivisor);
  m_is_return_scheduled = true;
  const core::ServiceLoad& load = aRoom.Load();
  m_last_error = "no room: " + std::to_string(std::lround(load.waiting)) +
                 " waiting at " + std::to_string(load.targets) +
                 " targets, urgency " + std::to_string(Urgency());
  return false;
}

std::uint32_t
ForwardRun::Urgency() const
{
  if (const RoomGate* const room = m_state.RoomOf(m_service)) {
    return room->Scale().UrgencyOf(m_account != nullptr ? m_account->urgency
                                                        : std::nullopt,
                                   m_route->urgency);
  }
  return m_account != nullptr ? m_account->urgency.value_or(m_route->urgency)
                              : m_route->urgency;
}

std::optional<core::DataCentreId>
ForwardRun::PreferredDataCentre(
  std::span<const std::shared_ptr<FleetTarget>> aTargets) const
{
  if (!m_metadata.prompt || aTargets.empty()) {
    return std::nullopt;
  }
  std::uint64_t newest = 0;
  for (const auto& target : aTargets) {
    const auto version = target->VersionOf(m_metadata.prompt->model);
    newest = std::max(newest, version.value_or(0));
  }
  return StoreDataCentreOf(
    m_state, *m_metadata.prompt, ScopeFor(newest), m_service, m_homes);
}

core::CacheScope
ForwardRun::ScopeFor(std::uint64_t aWeightVersion) const
{
  // A retry must not use what an account that has become dedicated since the
  // first attempt may have made.
  return m_state.configuration->CacheScopeFor(
    m_account != nullptr ? m_account->id : core::AccountId(),
    m_metadata.prompt->model,
    aWeightVersion);
}

std::optional<std::size_t>
ForwardRun::PlaceSuspect(std::span<const core::PlacementCandidate> aCandidates)
{
  // With the placement of their prompts, requests of one prefix would go
  // together from one crashed target to the next, those that are no poison with
  // the one that is.
  const auto hash = static_cast<std::uint64_t>(Fingerprint());
  return m_probe || CrashCount() > 1 ? core::PlaceByLoad(hash, aCandidates)
                                     : core::PlacePrompt(hash, aCandidates);
}

void
ForwardRun::AvoidCrashedDataCentres(
  std::vector<std::shared_ptr<FleetTarget>>& aTargets) const
{
  const auto is_outside = [&](const auto& aTarget) {
    return !m_crashed_in.contains(aTarget->target.data_centre);
  };
  if (std::any_of(aTargets.begin(), aTargets.end(), is_outside)) {
    std::erase_if(aTargets, std::not_fn(is_outside));
  }
}

std::shared_ptr<FleetTarget>
ForwardRun::ChooseTarget()
{
  if (auto cold = ChooseColdTarget()) {
    return cold;
  }
  const core::Instant now = core::RuntimeClock::now();
  auto targets = Candidates();
  if (!m_crashed_in.empty()) {
    AvoidCrashedDataCentres(targets);
  }
  std::vector<core::PlacementCandidate> candidates;
  candidates.reserve(targets.size());
  const auto preferred = PreferredDataCentre(targets);
  double own = 0;
  double all = 0;
  for (const auto& target : targets) {
    const core::DataCentreId& target_data_centre = target->target.data_centre;
    core::PlacementCandidate candidate;
    candidate.name_hash = target->name_hash;
    candidate.load = target->load.Requests(now);
    candidate.is_near = target_data_centre == m_state.options.data_centre;
    candidate.is_near_store = preferred && target_data_centre == *preferred;
    own += target->load.Own();
    all += candidate.load;
    candidates.push_back(candidate);
  }
  m_state.shares[m_service].AddSample(own, all);
  if (m_probe || CrashCount() > 0) {
    const auto index = PlaceSuspect(candidates);
    return index ? targets[*index] : nullptr;
  }
  const bool has_home = m_metadata.prompt && !m_metadata.prompt->parts.empty();
  const auto index =
    has_home
      ? core::PlacePrompt(
          core::PlacementHash(m_metadata.prompt->AffinityPart()), candidates)
      : core::PlaceByTwoChoices(m_state.random(), candidates);
  return index ? targets[*index] : nullptr;
}

} // namespace jujubehead::node
