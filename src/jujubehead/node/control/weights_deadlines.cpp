#include "weights_deadlines.hpp"

#include <algorithm> // for max, min
#include <utility>   // for move

#include <boost/asio/as_tuple.hpp>      // for as_tuple
#include <boost/asio/co_spawn.hpp>      // for co_spawn
#include <boost/asio/detached.hpp>      // for detached
#include <boost/asio/use_awaitable.hpp> // for use_awaitable

#include "jujubehead/core/membership/hubs.hpp" // for RankOf

#include "../forward/decision_log.hpp" // for DecisionLog
#include "follow.hpp"                  // for SpreadPause

namespace jujubehead::node {
namespace {

namespace asio = boost::asio;

constexpr std::string_view kRecordPrefix = "weights_named/"; // then the model
/// Fraction of the allowed time in which requests may start on replaced
/// weights; the rest covers the transit of the message that ends them.
constexpr double kOldWeightsShare = 0.95;
/// Default ratio of the total time to the time in one stretch.
constexpr double kUsualTimeInAll = 1.4;
/// Delay per rank. A written row reaches the others within 0.2 s, as they read
/// batches every 0.15 s.
constexpr core::Duration kTurn = std::chrono::milliseconds(250);
/// Cap on the ranks waited for: more instances than this do not fail together
/// unless all do.
constexpr std::size_t kMostTurns = 8;
/// Extra delay when the naming time is only assumed, so that instances that
/// observed it write first.
constexpr core::Duration kAssumedWait = std::chrono::seconds(2);
constexpr core::Duration kRetryPause = std::chrono::milliseconds(500);

core::Duration
Times(core::Duration aTime, double aFactor)
{
  const double whole = static_cast<double>(aTime.count());
  return core::Duration(static_cast<core::Duration::rep>(whole * aFactor));
}

core::HeardTime
HeardTimeOf(const EntryOptions& aOptions)
{
  core::HeardTime time;
  time.in_one = Times(aOptions.weights_time, kOldWeightsShare);
  time.in_all = aOptions.weights_time_in_all > core::Duration(0)
                  ? Times(aOptions.weights_time_in_all, kOldWeightsShare)
                  : Times(time.in_one, kUsualTimeInAll);
  return time;
}

} // namespace

WeightsDeadlines::WeightsDeadlines(asio::io_context& aContext,
                                   const EntryOptions& aOptions,
                                   SharedRows& aShared,
                                   const core::RemoteClock& aStoreClock,
                                   const core::InstanceBook& aInstances,
                                   WeightsDeadlinesHooks aHooks)
  : m_context(aContext)
  , m_shared(aShared)
  , m_store_clock(aStoreClock)
  , m_instances(aInstances)
  , m_self(aOptions.instance_id.Text())
  , m_hooks(std::move(aHooks))
  , m_old(HeardTimeOf(aOptions))
  , m_wake(aContext)
{
}

void
WeightsDeadlines::Start()
{
  asio::co_spawn(m_context, Run(), asio::detached);
}

void
WeightsDeadlines::OnOperatorNews(const OperatorNews& aNews, bool aIsAll)
{
  bool is_new = false;
  for (const core::LoadedModel& wanted : aNews.wanted) {
    const bool is_newer =
      m_old.OnRead(wanted.model, wanted.version, aIsAll, aNews.told);
    if (!is_newer) {
      continue;
    }
    is_new = true;
    TakeNamings(wanted.model);
    m_wanted = m_old.Wanted(core::RuntimeClock::now());
    DecisionLog::WriteAlways(
      LogLine("weights_wanted")
        .Add("model", wanted.model.View())
        .Add("version", wanted.version)
        .Add("read", aIsAll ? "with all rows" : "as a change")
        .Add("older_end_in", OlderLeft(wanted.model)));
  }
  const bool is_back =
    !aNews.is_recalled && m_old.OnAnswer(aNews.asked, aNews.told);
  if (is_new || is_back) {
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
WeightsDeadlines::OnSharedNews(const SharedNews& aNews, bool aIsAll)
{
  bool is_told = aIsAll;
  for (const SharedRow& row : aNews.rows) {
    if (row.key.starts_with(kRecordPrefix)) {
      ReadRecord(core::ModelId(row.key.substr(kRecordPrefix.size())), row);
      is_told = true;
    }
  }
  if (aIsAll) {
    m_is_shared_read = true;
    m_old.OnRecordRead();
  }
  if (is_told) {
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
  recorded.namings = core::NamingRecordOf(aRow.value.value_or(""));
  TakeNamings(aModel);
}

void
WeightsDeadlines::TakeNamings(const core::ModelId& aModel)
{
  const core::Instant now = core::RuntimeClock::now();
  for (const auto& [version, named] : m_recorded[aModel].namings) {
    // The store's rows and its clock come in the same responses.
    const auto when = m_store_clock.EarliestOf(named, now);
    if (when && m_old.OnRecorded(aModel, version, *when, now)) {
      DecisionLog::WriteAlways(LogLine("weights_naming_read")
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
  (aIsNew ? m_hooks.on_wanted : m_hooks.on_moved)(m_wanted);
  for (const auto& [model, wanted] : m_wanted) {
    FindDue(model);
  }
  m_wake.cancel();
}

void
WeightsDeadlines::FindDue(const core::ModelId& aModel)
{
  Recorded& recorded = m_recorded[aModel];
  if (RecordOf(aModel) == recorded.namings) {
    recorded.is_due_since.reset();
  } else if (!recorded.is_due_since) {
    recorded.is_due_since = core::RuntimeClock::now();
  }
}

core::NamingRecord
WeightsDeadlines::RecordOf(const core::ModelId& aModel) const
{
  const auto found = m_recorded.find(aModel);
  core::NamingRecord record =
    found == m_recorded.end() ? core::NamingRecord{} : found->second.namings;
  for (const auto& [version, naming] : m_old.ToRecord(aModel)) {
    // Recorded values are never replaced: recomputed from widening clock bounds
    // they would differ each time, and instances would overwrite each other for
    // ever.
    if (const auto named = m_store_clock.LeastAt(naming.when)) {
      record.emplace(version, *named);
    }
  }
  while (record.size() > core::kMostNamings) {
    record.erase(record.begin());
  }
  return record;
}

core::Duration
WeightsDeadlines::Patience(const core::ModelId& aModel) const
{
  const std::size_t rank =
    core::RankOf(m_instances.All(), m_self, aModel.View());
  const core::Duration turn = kTurn * std::min(rank, kMostTurns);
  const core::NamingRecord& recorded = m_recorded.at(aModel).namings;
  for (const auto& [version, naming] : m_old.ToRecord(aModel)) {
    if (!naming.is_assumed && !recorded.contains(version)) {
      return turn;
    }
  }
  return turn + kAssumedWait;
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
      if (!m_is_shared_read || !recorded.is_due_since) {
        continue;
      }
      const core::Instant turn = *recorded.is_due_since + Patience(model);
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
    core::NamingRecord record = RecordOf(aModel);
    std::string key = std::string(kRecordPrefix) + aModel.Text();
    const std::optional<std::uint64_t> version = co_await m_shared.Put(
      std::move(key), core::ToText(record), m_recorded[aModel].version);
    if (version) {
      Recorded& recorded = m_recorded[aModel];
      recorded.version = std::max(recorded.version, *version);
      recorded.namings = std::move(record);
      FindDue(aModel);
      co_return;
    }
    why = "row changed since it was read";
  } catch (const PlatformError& error) {
    why = error.what();
  }
  // The current row arrives with the next update.
  DecisionLog::WriteAlways(LogLine("weights_naming_unwritten")
                             .Add("model", aModel.View())
                             .Add("why", why));
  const core::Duration pause = kRetryPause + SpreadPause();
  co_await net::Sleep(pause);
}

core::Duration
WeightsDeadlines::OlderLeft(const core::ModelId& aModel) const
{
  const core::Instant now = core::RuntimeClock::now();
  const core::WantedWeights& wanted = m_wanted.at(aModel);
  const core::Instant end = wanted.BeginUntil(wanted.Newest() - 1);
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
      [](const core::ModelId&, const core::WantedWeights& aWanted) {
        return static_cast<double>(aWanted.Newest());
      });
  add("jujubehead_older_weights_seconds",
      "For how long requests may begin on older weights.",
      [this](const core::ModelId& aModel, const core::WantedWeights&) {
        return std::chrono::duration<double>(OlderLeft(aModel)).count();
      });
  return gauges;
}

} // namespace jujubehead::node
