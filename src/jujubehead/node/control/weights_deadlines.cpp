#include "weights_deadlines.hpp"

#include <algorithm> // for max, min
#include <utility>   // for move

#include <boost/asio/as_tuple.hpp>      // for as_tuple
#include <boost/asio/co_spawn.hpp>      // for co_spawn
#include <boost/asio/detached.hpp>      // for detached
#include <boost/asio/use_awaitable.hpp> // for use_awaitable

#include "jujubehead/core/membership/hubs.hpp" // for RankOf

#include "../forward/decision_log.hpp" // for DecisionLog
#include "follow.hpp"                  // for JitteredRetryDelay

namespace jujubehead::node {
namespace {

namespace asio = boost::asio;

constexpr std::string_view kRecordPrefix = "weights_named/"; // then the model
/// Fraction of the allowed time in which requests may start on replaced
/// weights; the rest covers the transit of the message that ends them.
constexpr double kOldWeightsShare = 0.95;
/// Default ratio of the total time to the time in one stretch.
constexpr double kDefaultTotalRatio = 1.4;
/// Delay per rank. A written row reaches the others within 0.2 s, as they read
/// batches every 0.15 s.
constexpr core::Duration kRankDelay = std::chrono::milliseconds(250);
/// Cap on the ranks waited for: more instances than this do not fail together
/// unless all do.
constexpr std::size_t kMaxRanks = 8;
/// Extra delay when the naming time is only assumed, so that instances that
/// observed it write first.
constexpr core::Duration kAssumedDelay = std::chrono::seconds(2);
constexpr core::Duration kRetryPause = std::chrono::milliseconds(500);

core::Duration
Scale(core::Duration aTime, double aFactor)
{
  const double whole = static_cast<double>(aTime.count());
  return core::Duration(static_cast<core::Duration::rep>(whole * aFactor));
}

core::AvailableTimeLimits
AllowedTimes(const EntryOptions& aOptions)
{
  core::AvailableTimeLimits time;
  time.max_continuous = Scale(aOptions.weights_time, kOldWeightsShare);
  time.max_total = aOptions.weights_time_in_all > core::Duration(0)
                     ? Scale(aOptions.weights_time_in_all, kOldWeightsShare)
                     : Scale(time.max_continuous, kDefaultTotalRatio);
  return time;
}

} // namespace

WeightsDeadlines::WeightsDeadlines(asio::io_context& aContext,
                                   const EntryOptions& aOptions,
                                   SharedRows& aShared,
                                   const core::RemoteClock& aStoreClock,
                                   const core::InstanceDirectory& aInstances,
                                   WeightsDeadlinesHooks aHooks)
  : m_context(aContext)
  , m_shared(aShared)
  , m_store_clock(aStoreClock)
  , m_instances(aInstances)
  , m_self(aOptions.instance_id.Text())
  , m_hooks(std::move(aHooks))
  , m_old(AllowedTimes(aOptions))
  , m_wake(aContext)
{
}

void
WeightsDeadlines::Start()
{
  asio::co_spawn(m_context, Run(), asio::detached);
}

void
WeightsDeadlines::OnOperatorUpdate(const OperatorUpdate& aUpdate, bool aIsAll)
{
  bool is_new = false;
  for (const core::LoadedModel& wanted : aUpdate.wanted) {
    const bool is_newer =
      m_old.OnRead(wanted.model, wanted.version, aIsAll, aUpdate.answered_at);
    if (!is_newer) {
      continue;
    }
    is_new = true;
    ApplyNamings(wanted.model);
    m_wanted = m_old.Wanted(core::RuntimeClock::now());
    DecisionLog::WriteUnthrottled(
      LogLine("weights_wanted")
        .Add("model", wanted.model.View())
        .Add("version", wanted.version)
        .Add("read", aIsAll ? "with all rows" : "as a change")
        .Add("older_end_in", OlderTimeLeft(wanted.model)));
  }
  const bool is_restored =
    !aUpdate.is_from_cache &&
    m_old.OnAnswer(aUpdate.requested_at, aUpdate.answered_at);
  if (is_new || is_restored) {
    Update(is_new);
  }
}

void
WeightsDeadlines::OnOperatorFailure()
{
  m_old.OnFailure(core::RuntimeClock::now());
  Update(false);
}

void
WeightsDeadlines::OnSharedUpdate(const SharedUpdate& aUpdate, bool aIsAll)
{
  bool has_records = aIsAll;
  for (const SharedRow& row : aUpdate.rows) {
    if (row.key.starts_with(kRecordPrefix)) {
      ReadRecord(core::ModelId(row.key.substr(kRecordPrefix.size())), row);
      has_records = true;
    }
  }
  if (aIsAll) {
    m_is_shared_read = true;
    m_old.OnRecordLoaded();
  }
  if (has_records) {
    Update(false);
  }
}

void
WeightsDeadlines::ReadRecord(const core::ModelId& aModel, const SharedRow& aRow)
{
  Recorded& recorded = m_recorded[aModel];
  if (aRow.version <= recorded.version) {
    return;
  }
  recorded.version = aRow.value ? aRow.version : 0;
  recorded.namings = core::AnnouncementRecordOf(aRow.value.value_or(""));
  ApplyNamings(aModel);
}

void
WeightsDeadlines::ApplyNamings(const core::ModelId& aModel)
{
  const core::Instant now = core::RuntimeClock::now();
  for (const auto& [version, named] : m_recorded[aModel].namings) {
    // The store's rows and its clock come in the same responses.
    const auto when = m_store_clock.EarliestTimeOf(named, now);
    if (when && m_old.OnRecorded(aModel, version, *when, now)) {
      DecisionLog::WriteUnthrottled(LogLine("weights_naming_read")
                                      .Add("model", aModel.View())
                                      .Add("version", version)
                                      .Add("named_ago", now - *when));
    }
  }
}

void
WeightsDeadlines::Update(bool aIsNew)
{
  m_wanted = m_old.Wanted(core::RuntimeClock::now());
  (aIsNew ? m_hooks.on_newer_version : m_hooks.on_deadlines_changed)(m_wanted);
  for (const auto& [model, wanted] : m_wanted) {
    UpdateDue(model);
  }
  m_wake.cancel();
}

void
WeightsDeadlines::UpdateDue(const core::ModelId& aModel)
{
  Recorded& recorded = m_recorded[aModel];
  if (RecordOf(aModel) == recorded.namings) {
    recorded.due_since.reset();
  } else if (!recorded.due_since) {
    recorded.due_since = core::RuntimeClock::now();
  }
}

core::AnnouncementRecord
WeightsDeadlines::RecordOf(const core::ModelId& aModel) const
{
  const auto found = m_recorded.find(aModel);
  core::AnnouncementRecord record = found == m_recorded.end()
                                      ? core::AnnouncementRecord{}
                                      : found->second.namings;
  for (const auto& [version, naming] : m_old.AnnouncementsOf(aModel)) {
    // Recorded values are never replaced: recomputed from widening clock bounds
    // they would differ each time, and instances would overwrite each other for
    // ever.
    if (const auto named = m_store_clock.LowerBoundAt(naming.when)) {
      record.emplace(version, *named);
    }
  }
  while (record.size() > core::kMaxAnnouncements) {
    record.erase(record.begin());
  }
  return record;
}

core::Duration
WeightsDeadlines::WriteDelay(const core::ModelId& aModel) const
{
  const std::size_t rank =
    core::RankOf(m_instances.All(), m_self, aModel.View());
  const core::Duration turn = kRankDelay * std::min(rank, kMaxRanks);
  const core::AnnouncementRecord& recorded = m_recorded.at(aModel).namings;
  for (const auto& [version, naming] : m_old.AnnouncementsOf(aModel)) {
    if (!naming.is_assumed && !recorded.contains(version)) {
      return turn;
    }
  }
  return turn + kAssumedDelay;
}

asio::awaitable<void>
WeightsDeadlines::Run()
{
  constexpr auto kTuple = asio::as_tuple(asio::use_awaitable);
  for (;;) {
    const core::Instant now = core::RuntimeClock::now();
    core::Instant next = core::Instant::max();
    std::optional<core::ModelId> due;
    for (const auto& [model, recorded] : m_recorded) {
      if (!m_is_shared_read || !recorded.due_since) {
        continue;
      }
      const core::Instant turn = *recorded.due_since + WriteDelay(model);
      next = std::min(next, turn);
      if (turn <= now) {
        due = model;
      }
    }
    if (due) {
      co_await Write(*due);
    } else {
      m_wake.expires_at(next);
      co_await m_wake.async_wait(kTuple);
    }
  }
}

asio::awaitable<void>
WeightsDeadlines::Write(core::ModelId aModel)
{
  std::string why;
  try {
    core::AnnouncementRecord record = RecordOf(aModel);
    std::string key = std::string(kRecordPrefix) + aModel.Text();
    const std::optional<std::uint64_t> version = co_await m_shared.Put(
      std::move(key), core::ToText(record), m_recorded[aModel].version);
    if (version) {
      Recorded& recorded = m_recorded[aModel];
      recorded.version = std::max(recorded.version, *version);
      recorded.namings = std::move(record);
      UpdateDue(aModel);
      co_return;
    }
    why = "row changed since it was read";
  } catch (const PlatformError& error) {
    why = error.what();
  }
  // The current row arrives with the next update.
  DecisionLog::WriteUnthrottled(LogLine("weights_naming_unwritten")
                                  .Add("model", aModel.View())
                                  .Add("why", why));
  const core::Duration pause = kRetryPause + JitteredRetryDelay();
  co_await net::Sleep(pause);
}

core::Duration
WeightsDeadlines::OlderTimeLeft(const core::ModelId& aModel) const
{
  const core::Instant now = core::RuntimeClock::now();
  const core::DesiredWeights& wanted = m_wanted.at(aModel);
  const core::Instant end = wanted.StartDeadline(wanted.Newest() - 1);
  return std::max(end - now, core::Duration(0));
}

std::vector<Gauge>
WeightsDeadlines::Gauges() const
{
  std::vector<Gauge> gauges;
  const auto add = [&](const char* aName, const char* aHelp, auto aValueOf) {
    for (const auto& [model, wanted] : m_wanted) {
      gauges.push_back(
        { aName, aHelp, "model", model.Text(), aValueOf(model, wanted) });
    }
  };
  add("jujubehead_weights_wanted",
      "Newest version of a model's weights.",
      [](const core::ModelId&, const core::DesiredWeights& aWanted) {
        return static_cast<double>(aWanted.Newest());
      });
  add("jujubehead_older_weights_seconds",
      "For how long requests may begin on older weights.",
      [this](const core::ModelId& aModel, const core::DesiredWeights&) {
        return std::chrono::duration<double>(OlderTimeLeft(aModel)).count();
      });
  return gauges;
}

} // namespace jujubehead::node
