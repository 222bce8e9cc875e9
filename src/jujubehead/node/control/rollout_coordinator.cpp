#include "rollout_coordinator.hpp"

#include <algorithm> // for any_of, max
#include <utility>   // for move

#include <boost/asio/as_tuple.hpp>      // for as_tuple
#include <boost/asio/co_spawn.hpp>      // for co_spawn
#include <boost/asio/detached.hpp>      // for detached
#include <boost/asio/use_awaitable.hpp> // for use_awaitable

#include "jujubehead/net/random_text.hpp" // for RandomText

#include "follow.hpp" // for JitteredRetryDelay

namespace jujubehead::node {
namespace {

namespace asio = boost::asio;

constexpr std::string_view kLeaseKey = "orders/lease";
constexpr std::string_view kStatePrefix = "weights/"; // then the model
constexpr std::size_t kStartBytes = 6;
/// Intervals between checks for work when nothing else wakes the loop.
constexpr core::Duration kIdleInterval = std::chrono::seconds(2);
constexpr core::Duration kBusyInterval = std::chrono::milliseconds(200);
/// Delay of others, so that the last holder renews first and the lease need not
/// expire.
constexpr core::Duration kNonHolderDelay = std::chrono::milliseconds(150);
/// Within this time the other instances learn that a target is about to load,
/// and the requests that they sent there before have started.
constexpr core::Duration kNoticeTime = std::chrono::milliseconds(300);
/// Time for running requests to finish before the order. Most end within a
/// second; waiting for longer ones costs more target time than it saves.
constexpr core::Duration kDrainTime = std::chrono::milliseconds(1000);
/// An order reaches its target within its timeouts, or never.
constexpr core::Duration kOrderTimeout = std::chrono::milliseconds(650);
/// First poll after an order; loading takes most of a second once the running
/// requests have ended.
constexpr core::Duration kFirstPollDelay = std::chrono::milliseconds(700);
/// Least time between two writes of a roll-out's state; less than kNoticeTime.
constexpr core::Duration kStateInterval = std::chrono::milliseconds(200);
/// Resend interval of an unanswered order, in case it was lost or is carried
/// out seconds later: each copy has a delay of its own, and a target accepts
/// only the first one.
constexpr core::Duration kResendInterval = kOrderTimeout;
/// A target that has not loaded by then is retried later.
constexpr core::Duration kLoadTimeout = std::chrono::seconds(8);
constexpr core::Duration kTargetRetryDelay = std::chrono::seconds(1);
/// How long another instance's state of loading targets is valid; it is updated
/// whenever a target starts or finishes.
constexpr core::Duration kRemoteStateLifetime = std::chrono::seconds(3);

/// Added to the least time between two holders, so that another instance has
/// the lease before this one asks for it again.
constexpr core::Duration kYieldMargin = std::chrono::seconds(5);

core::CoordinatorLeaseOptions
LeaseOptions(const EntryOptions& aOptions)
{
  core::CoordinatorLeaseOptions options;
  options.gap = aOptions.lease_time;
  return options;
}

/// @return a unique name of this run. It has the address at which the instance
/// listens: only one run at a time can, while an instance that was moved may
/// still run at its old address.
std::string
HolderName(const EntryOptions& aOptions)
{
  return aOptions.instance_id.Text() + "@" + aOptions.caller_address + "/" +
         net::RandomText(kStartBytes);
}

std::uint64_t
VersionIn(const WeightsReport& aReport, const core::ModelId& aModel)
{
  for (const core::LoadedModel& loaded : aReport.models) {
    if (loaded.model == aModel) {
      return loaded.version;
    }
  }
  return 0;
}

} // namespace

RolloutCoordinator::RolloutCoordinator(asio::io_context& aContext,
                                       const EntryOptions& aOptions,
                                       SharedRows& aShared,
                                       TargetOrders& aOrders,
                                       const core::RemoteClock& aStoreClock,
                                       Forwarder& aForwarder)
  : m_context(aContext)
  , m_shared(aShared)
  , m_orders(aOrders)
  , m_store_clock(aStoreClock)
  , m_forwarder(aForwarder)
  , m_lease(HolderName(aOptions), LeaseOptions(aOptions))
  , m_reach(aOptions.lease_time + kYieldMargin)
  , m_wake(aContext)
{
}

void
RolloutCoordinator::Start()
{
  asio::co_spawn(m_context, Run(), asio::detached);
}

bool
RolloutCoordinator::HoldsLease() const
{
  return m_lease.Holds(core::RuntimeClock::now());
}

void
RolloutCoordinator::SetWanted(
  std::map<core::ModelId, core::DesiredWeights> aWanted)
{
  m_wanted = std::move(aWanted);
  for (const auto& [model, wanted] : m_wanted) {
    for (const auto& [id, target] : m_targets) {
      UpdateOutdated(model, id);
    }
  }
  Wake();
}

void
RolloutCoordinator::SetDeadlines(
  std::map<core::ModelId, core::DesiredWeights> aWanted)
{
  m_wanted = std::move(aWanted);
}

void
RolloutCoordinator::ApplyTargets(
  const std::vector<core::RegistrationChange>& aChanges)
{
  for (const core::RegistrationChange& change : aChanges) {
    if (change.target) {
      m_targets.insert_or_assign(change.id, *change.target);
    } else {
      m_targets.erase(change.id);
    }
    for (const auto& [model, wanted] : m_wanted) {
      UpdateOutdated(model, change.id);
    }
  }
  if (HasWork()) {
    Wake();
  }
}

void
RolloutCoordinator::UpdateOutdated(const core::ModelId& aModel,
                                   const core::TargetId& aTarget)
{
  const auto wanted = m_wanted.find(aModel);
  const auto target = m_targets.find(aTarget);
  const auto version = target == m_targets.end()
                         ? std::nullopt
                         : VersionAt(target->second, aModel);
  if (version && wanted != m_wanted.end() &&
      *version < wanted->second.Newest()) {
    m_outdated[aModel].insert(aTarget);
  } else {
    m_outdated[aModel].erase(aTarget);
  }
}

std::optional<std::uint64_t>
RolloutCoordinator::VersionAt(const core::RegisteredTarget& aTarget,
                              const core::ModelId& aModel) const
{
  const auto registered = aTarget.VersionOf(aModel);
  if (!registered || aTarget.leaving) {
    return std::nullopt;
  }
  const auto rollout = m_rollouts.find(aModel);
  if (rollout == m_rollouts.end()) {
    return registered;
  }
  const auto loaded = rollout->second.loaded.find(aTarget.id);
  return loaded == rollout->second.loaded.end()
           ? registered
           : std::max(*registered, loaded->second);
}

void
RolloutCoordinator::Wake()
{
  m_wake.cancel();
}

void
RolloutCoordinator::OnSharedUpdate(const SharedUpdate& aUpdate, bool aIsAll)
{
  const core::Instant now = core::RuntimeClock::now();
  bool has_lease = false;
  for (const SharedRow& row : aUpdate.rows) {
    if (row.key == kLeaseKey) {
      ReadLease(row);
      has_lease = true;
    } else if (row.key.starts_with(kStatePrefix) && row.value) {
      ReadState(core::ModelId(row.key.substr(kStatePrefix.size())), row);
    }
  }
  if (aIsAll && !has_lease) {
    m_lease.OnRow("", 0, now);
  }
  PublishLoading();
  Wake();
}

void
RolloutCoordinator::ReadLease(const SharedRow& aRow)
{
  const core::LeaseRow lease = core::LeaseRowOf(aRow.value.value_or(""));
  const core::Instant now = core::RuntimeClock::now();
  const std::optional<core::Instant> begun =
    lease.begun ? m_store_clock.LatestTimeOf(*lease.begun, now) : std::nullopt;
  m_lease.OnRow(lease.holder, aRow.version, now, begun);
}

void
RolloutCoordinator::ReadState(const core::ModelId& aModel,
                              const SharedRow& aRow)
{
  Rollout& rollout = m_rollouts[aModel];
  if (aRow.version <= rollout.row_version) {
    return;
  }
  rollout.row_version = aRow.version;
  const core::RolloutState state = core::RolloutStateOf(*aRow.value);
  rollout.loading_elsewhere = { state.loading.begin(), state.loading.end() };
  rollout.received_at = core::RuntimeClock::now();
  for (const core::TargetId& done : state.done) {
    OnLoaded(aModel, done, state.version);
  }
}

void
RolloutCoordinator::OnLoaded(const core::ModelId& aModel,
                             const core::TargetId& aTarget,
                             std::uint64_t aVersion)
{
  std::uint64_t& known = m_rollouts[aModel].loaded[aTarget];
  if (aVersion > known) {
    known = aVersion;
    UpdateOutdated(aModel, aTarget);
    m_forwarder.OnWeightsLoaded(aTarget, { aModel, aVersion });
  }
}

void
RolloutCoordinator::PublishLoading()
{
  const core::Instant now = core::RuntimeClock::now();
  std::set<core::TargetId> loading;
  for (const auto& [model, rollout] : m_rollouts) {
    loading.insert(rollout.loading.begin(), rollout.loading.end());
    if (now - rollout.received_at < kRemoteStateLifetime && !HoldsLease()) {
      loading.insert(rollout.loading_elsewhere.begin(),
                     rollout.loading_elsewhere.end());
    }
  }
  if (loading != m_published) {
    m_published = loading;
    m_forwarder.SetLoading(std::move(loading));
  }
}

std::vector<core::RolloutTarget>
RolloutCoordinator::TargetsOf(const core::ModelId& aModel) const
{
  std::vector<core::RolloutTarget> targets;
  const auto found = m_rollouts.find(aModel);
  for (const auto& [id, target] : m_targets) {
    const auto version = VersionAt(target, aModel);
    if (!version) {
      continue;
    }
    core::RolloutTarget one;
    one.id = id;
    one.data_centre = target.data_centre;
    one.version = *version;
    if (const auto wanted = m_wanted.find(aModel); wanted != m_wanted.end()) {
      one.serves_until = wanted->second.StartDeadline(*version);
    }
    if (found != m_rollouts.end()) {
      const Rollout& rollout = found->second;
      one.is_loading = rollout.loading.contains(target.id);
      one.is_unanswered = rollout.unanswered.contains(target.id);
      if (const auto wait = rollout.not_before.find(target.id);
          wait != rollout.not_before.end()) {
        one.not_before = wait->second;
      }
    }
    targets.push_back(std::move(one));
  }
  return targets;
}

bool
RolloutCoordinator::HasWork() const
{
  return std::any_of(
    m_outdated.begin(), m_outdated.end(), [](const auto& aOutdated) {
      return !aOutdated.second.empty();
    });
}

asio::awaitable<void>
RolloutCoordinator::Run()
{
  constexpr auto kTuple = asio::as_tuple(asio::use_awaitable);
  for (;;) {
    const bool has_work = HasWork();
    m_wake.expires_after(has_work ? kBusyInterval : kIdleInterval);
    co_await m_wake.async_wait(kTuple);
    PublishLoading();
    if (HasWork()) {
      try {
        co_await RunStep();
      } catch (const PlatformError& error) {
        DecisionLog::WriteUnthrottled(
          LogLine("orders_lease_unwritten").Add("why", error.what()));
      }
    }
  }
}

asio::awaitable<bool>
RolloutCoordinator::WriteLease()
{
  const core::Instant started = core::RuntimeClock::now();
  const bool was_held = m_lease.Holds(started);
  const core::LeaseRow row{ m_lease.Self(),
                            m_store_clock.UpperBoundAt(started) };
  std::string key(kLeaseKey);
  const std::optional<std::uint64_t> version = co_await m_shared.Put(
    std::move(key), core::ToText(row), m_lease.RowVersion());
  if (!version) {
    co_return false;
  }
  m_lease.OnWritten(*version, started);
  if (!was_held) {
    DecisionLog::WriteUnthrottled(LogLine("orders_lease_taken")
                                    .Add("holder", m_lease.Self())
                                    .Add("token", m_lease.FencingToken()));
  }
  co_return true;
}

asio::awaitable<void>
RolloutCoordinator::RunStep()
{
  const core::Instant now = core::RuntimeClock::now();
  if (!m_lease.MayAcquire(now) || m_reach.IsYielding(now) ||
      m_forwarder.IsPartitioned()) {
    co_return;
  }
  if (m_lease.IsRenewalDue(now)) {
    if (!m_lease.WasLastHolder()) {
      const core::Duration pause =
        kNonHolderDelay + m_lease_delay + JitteredRetryDelay();
      co_await net::Sleep(pause);
      if (!m_lease.MayAcquire(core::RuntimeClock::now())) {
        co_return;
      }
    }
    const bool written = co_await WriteLease();
    if (!written) {
      co_return;
    }
  }
  for (const auto& [model, wanted] : m_wanted) {
    const auto next = core::NextToLoad(
      TargetsOf(model), wanted.Newest(), core::RuntimeClock::now());
    for (const core::TargetId& id : next) {
      m_rollouts[model].loading.insert(id);
      asio::co_spawn(
        m_context, LoadTarget(model, m_targets.at(id)), asio::detached);
    }
    if (!next.empty()) {
      PublishLoading();
      const core::ModelId written = model;
      co_await WriteStateInTurn(written);
      // m_wanted may have changed meanwhile.
      break;
    }
  }
}

core::Duration
RolloutCoordinator::PollInterval(const core::ModelId& aModel) const
{
  const auto rollout = m_rollouts.find(aModel);
  const std::size_t loading =
    rollout == m_rollouts.end()
      ? 0
      : rollout->second.loading.size() + rollout->second.unanswered.size();
  return core::RolloutPollInterval(loading);
}

asio::awaitable<void>
RolloutCoordinator::WriteStateInTurn(core::ModelId aModel)
{
  Rollout& rollout = m_rollouts[aModel];
  if (rollout.is_write_pending) {
    co_return; // It will include this change.
  }
  const core::Instant due = rollout.written_at + kStateInterval;
  const core::Duration wait = due - core::RuntimeClock::now();
  if (wait > core::Duration(0)) {
    rollout.is_write_pending = true;
    co_await net::Sleep(wait);
    rollout.is_write_pending = false;
  }
  co_await WriteState(aModel);
}

asio::awaitable<void>
RolloutCoordinator::WriteState(core::ModelId aModel)
{
  Rollout& rollout = m_rollouts[aModel];
  rollout.written_at = core::RuntimeClock::now();
  core::RolloutState state;
  state.version = m_wanted[aModel].Newest();
  state.loading = { rollout.loading.begin(), rollout.loading.end() };
  for (const auto& [id, version] : rollout.loaded) {
    if (version >= state.version) {
      state.done.push_back(id);
    }
  }
  try {
    std::string key = std::string(kStatePrefix) + aModel.Text();
    const std::optional<std::uint64_t> version = co_await m_shared.Put(
      std::move(key), core::ToText(state), rollout.row_version);
    if (version) {
      rollout.row_version = *version;
    }
  } catch (const PlatformError& error) {
    // The others then learn it from the targets' refusals and reports.
    DecisionLog::WriteUnthrottled(
      LogLine("rollout_unwritten").Add("why", error.what()));
  }
}

asio::awaitable<void>
RolloutCoordinator::LoadTarget(core::ModelId aModel,
                               core::RegisteredTarget aTarget)
{
  co_await net::Sleep(kNoticeTime);
  Loading loading;
  loading.started_at = core::RuntimeClock::now();
  bool is_loaded = false;
  while (!is_loaded &&
         core::RuntimeClock::now() - loading.started_at < kLoadTimeout &&
         m_lease.Holds(core::RuntimeClock::now())) {
    try {
      is_loaded = co_await TryLoad(aModel, aTarget, loading);
    } catch (const PlatformError& error) {
      if (error.Fault() == PlatformFault::kUnreachable) {
        OnNoResponse(aTarget.id);
      }
      DecisionLog::WriteUnthrottled(LogLine("target_unanswered")
                                      .Add("target", aTarget.id.View())
                                      .Add("why", error.what()));
    }
    if (!is_loaded) {
      const core::Duration pause = PollInterval(aModel);
      co_await net::Sleep(pause);
    }
  }
  Rollout& rollout = m_rollouts[aModel];
  rollout.loading.erase(aTarget.id);
  rollout.unanswered.erase(aTarget.id);
  if (!is_loaded) {
    rollout.not_before[aTarget.id] =
      core::RuntimeClock::now() + kTargetRetryDelay;
  }
  DecisionLog::WriteUnthrottled(
    LogLine(is_loaded ? "weights_loaded" : "weights_not_loaded")
      .Add("target", aTarget.id.View())
      .Add("model", aModel.View())
      .Add("took", core::RuntimeClock::now() - loading.started_at));
  PublishLoading();
  if (HoldsLease()) {
    co_await WriteStateInTurn(aModel);
  }
  Wake();
}

void
RolloutCoordinator::OnNoResponse(const core::TargetId& aTarget)
{
  const core::Instant now = core::RuntimeClock::now();
  const bool was_yielding = m_reach.IsYielding(now);
  m_reach.OnNoResponse(aTarget, now);
  if (m_reach.IsYielding(now) && !was_yielding) {
    DecisionLog::WriteUnthrottled(
      LogLine("orders_lease_yielded").Add("holder", m_lease.Self()));
  }
}

bool
RolloutCoordinator::SetUnanswered(const core::ModelId& aModel,
                                  const core::TargetId& aTarget,
                                  bool aIsUnanswered)
{
  Rollout& rollout = m_rollouts[aModel];
  auto& from = aIsUnanswered ? rollout.loading : rollout.unanswered;
  auto& into = aIsUnanswered ? rollout.unanswered : rollout.loading;
  if (from.erase(aTarget) == 0) {
    return false;
  }
  into.insert(aTarget);
  PublishLoading();
  // The number of targets that may load at once has changed.
  Wake();
  return true;
}

asio::awaitable<std::optional<OrderAnswer>>
RolloutCoordinator::SendOrder(const core::ModelId& aModel,
                              const core::RegisteredTarget& aTarget,
                              const WeightsReport& aReport,
                              Loading& aLoading)
{
  LoadOrder order;
  order.target = aTarget.id;
  order.wanted = { aModel, m_wanted[aModel].Newest() };
  order.orders_taken = aReport.orders_taken;
  // The same for all runs of this instance; the token tells them apart.
  order.holder = m_lease.Instance();
  order.fencing_token = m_lease.FencingToken();
  order.runs = aReport.requests == 0 ? RunsMode::kFinish : RunsMode::kContinue;
  aLoading.last_order = core::RuntimeClock::now();
  aLoading.orders_taken = aReport.orders_taken;
  try {
    const OrderAnswer answer =
      co_await m_orders.Load(aTarget.address, std::move(order));
    co_return answer;
  } catch (const PlatformError& error) {
    DecisionLog::WriteUnthrottled(LogLine("order_unanswered")
                                    .Add("target", aTarget.id.View())
                                    .Add("why", error.what()));
  }
  co_return std::nullopt;
}

asio::awaitable<bool>
RolloutCoordinator::TryLoad(const core::ModelId& aModel,
                            const core::RegisteredTarget& aTarget,
                            Loading& aLoading)
{
  const WeightsReport report = co_await m_orders.Report(aTarget.address);
  m_reach.OnResponse();
  const std::uint64_t wanted = m_wanted[aModel].Newest();
  const std::uint64_t version = VersionIn(report, aModel);
  if (version >= wanted) {
    OnLoaded(aModel, aTarget.id, version);
    co_return true;
  }
  const core::Instant now = core::RuntimeClock::now();
  if (report.is_busy) {
    if (SetUnanswered(aModel, aTarget.id, false)) {
      co_await WriteStateInTurn(aModel);
    }
    co_return false;
  }
  const bool is_empty = report.requests == 0;
  const bool may_order = is_empty || now - aLoading.started_at >= kDrainTime;
  const bool is_under_way = now - aLoading.last_order < kResendInterval &&
                            report.orders_taken == aLoading.orders_taken;
  if (is_under_way || !may_order || !m_lease.Holds(now + kOrderTimeout)) {
    co_return false;
  }
  const std::optional<OrderAnswer> answer =
    co_await SendOrder(aModel, aTarget, report, aLoading);
  if (!answer) {
    if (SetUnanswered(aModel, aTarget.id, true)) {
      co_await WriteStateInTurn(aModel);
    }
    co_return false;
  }
  if (answer == OrderAnswer::kAlreadyLoaded) {
    OnLoaded(aModel, aTarget.id, wanted);
    co_return true;
  }
  if (answer == OrderAnswer::kAccepted) {
    SetUnanswered(aModel, aTarget.id, false);
    co_await net::Sleep(kFirstPollDelay);
  } else {
    // Another order is running there or was accepted: poll again soon.
    aLoading.last_order = core::Instant{};
  }
  co_return false;
}

} // namespace jujubehead::node
