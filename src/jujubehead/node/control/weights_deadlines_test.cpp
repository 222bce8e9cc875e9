#include "weights_deadlines.hpp"

#include <functional> // for function
#include <memory>     // for unique_ptr

#include <boost/asio/post.hpp> // for post

#include <CppUTest/TestHarness.h> // for TEST

using namespace jujubehead;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

namespace asio = boost::asio;

const core::ModelId kModel("m1");
constexpr std::size_t kInstances = 9;
/// Offset of the store's clock from this process's.
constexpr core::RemoteMs kAhead = 70000;

core::RemoteMs
StoreMs()
{
  const auto now = core::RuntimeClock::now().time_since_epoch();
  return kAhead + std::chrono::duration_cast<milliseconds>(now).count();
}

std::string
Name(std::size_t aIndex)
{
  return "i" + std::to_string(aIndex);
}

/// Rows shared by the instances.
struct Rows
{
  std::map<std::string, node::SharedRow> rows;
  std::uint64_t version = 0;
  std::size_t writes = 0;
  std::function<void(const node::SharedRow&)> on_written;
};

class FakeShared final : public node::SharedRows
{
public:
  explicit FakeShared(Rows& aRows)
    : m_rows(aRows)
  {
  }
  asio::awaitable<node::SharedUpdate> ReadAll() override
  {
    co_return node::SharedUpdate{};
  }
  asio::awaitable<node::SharedUpdate> ReadChanges(std::uint64_t,
                                                  core::Duration) override
  {
    co_return node::SharedUpdate{};
  }
  [[nodiscard]] std::optional<core::Instant> CurrentAsOf() const override
  {
    return std::nullopt;
  }
  asio::awaitable<std::optional<std::uint64_t>> Put(
    std::string aKey,
    std::optional<std::string> aValue,
    std::uint64_t aExpectedVersion) override
  {
    node::SharedRow& row = m_rows.rows[aKey];
    if (row.version != aExpectedVersion) {
      co_return std::nullopt;
    }
    row.key = std::move(aKey);
    row.value = std::move(aValue);
    row.version = ++m_rows.version;
    ++m_rows.writes;
    const node::SharedRow written = row;
    m_rows.on_written(written);
    co_return written.version;
  }

private:
  Rows& m_rows;
};

/// One run of an instance.
struct Instance
{
  Instance(asio::io_context& aContext, Rows& aRows, std::size_t aIndex)
    : shared(aRows)
    , book(core::KnownInstance{ Name(aIndex), Name(aIndex) })
  {
    options.instance_id = core::InstanceId(Name(aIndex));
    for (std::size_t i = 0; i < kInstances; ++i) {
      book.OnRow(Name(i), Name(i), 1, core::RuntimeClock::now());
    }
    const core::Instant now = core::RuntimeClock::now();
    clock.OnReading(StoreMs(), now, now);
    node::WeightsDeadlinesHooks hooks;
    hooks.on_newer_version = [this](const node::WantedByModel& aWanted) {
      wanted = aWanted;
    };
    hooks.on_deadlines_changed = hooks.on_newer_version;
    deadlines = std::make_unique<node::WeightsDeadlines>(
      aContext, options, shared, clock, book, std::move(hooks));
    deadlines->Start();
  }

  void DeliverOperatorRows(std::uint64_t aVersion, bool aIsAll) const
  {
    node::OperatorUpdate update;
    update.requested_at = core::RuntimeClock::now();
    update.answered_at = update.requested_at;
    update.wanted.push_back({ kModel, aVersion });
    deadlines->OnOperatorUpdate(update, aIsAll);
  }
  void DeliverSharedRows(const Rows& aRows) const
  {
    node::SharedUpdate update;
    for (const auto& [key, row] : aRows.rows) {
      update.rows.push_back(row);
    }
    deadlines->OnSharedUpdate(update, true);
  }
  [[nodiscard]] core::Instant End() const
  {
    return wanted.at(kModel).StartDeadline(1);
  }

  node::EntryOptions options;
  FakeShared shared;
  core::RemoteClock clock;
  core::InstanceDirectory book;
  node::WantedByModel wanted;
  std::unique_ptr<node::WeightsDeadlines> deadlines;
};

bool
IsNear(core::Instant aOne, core::Instant aOther)
{
  return aOne - aOther < milliseconds(100) && aOther - aOne < milliseconds(100);
}

} // namespace

TEST_GROUP(WeightsDeadlines)
{
  asio::io_context context{ 1 };
  Rows rows;
  std::vector<std::unique_ptr<Instance>> instances;

  void setup() override
  {
    rows.on_written = [this](const node::SharedRow& aRow) {
      asio::post(context, [this, aRow] {
        for (const auto& instance : instances) {
          node::SharedUpdate update;
          update.rows.push_back(aRow);
          instance->deadlines->OnSharedUpdate(update, false);
        }
      });
    };
  }
  void teardown() override
  {
    core::RuntimeClock::Resume();
  }

  /// Starts instances from aFrom on, lets them read all rows, and names version
  /// 2.
  void NameVersion2(std::size_t aFrom)
  {
    for (std::size_t i = aFrom; i < kInstances; ++i) {
      instances.push_back(std::make_unique<Instance>(context, rows, i));
      instances.back()->DeliverOperatorRows(1, true);
      instances.back()->DeliverSharedRows(rows);
    }
    for (const auto& instance : instances) {
      instance->DeliverOperatorRows(2, false);
    }
  }
};

TEST(WeightsDeadlines, OnlyOneInstanceRecordsNaming)
{
  NameVersion2(0);
  context.run_for(milliseconds(700));
  LONGS_EQUAL(1, rows.writes);
  for (const auto& instance : instances) {
    CHECK(IsNear(instance->End(), instances.front()->End()));
  }
}

TEST(WeightsDeadlines, NextInstanceRecordsWhenFirstOnesAreGone)
{
  NameVersion2(3);
  context.run_for(milliseconds(1500));
  LONGS_EQUAL(1, rows.writes);
}

TEST(WeightsDeadlines, LastRemainingInstanceRecords)
{
  NameVersion2(kInstances - 1);
  context.run_for(milliseconds(2300));
  LONGS_EQUAL(1, rows.writes);
}

TEST(WeightsDeadlines, LaterInstanceUsesRecordedNaming)
{
  NameVersion2(0);
  context.run_for(milliseconds(300));
  const core::Instant end = instances.front()->End();
  instances.clear();
  Instance later(context, rows, 3);
  later.DeliverOperatorRows(2, true);
  // No requests before the record is read: the deadline may have passed.
  CHECK(later.End() < core::RuntimeClock::now());
  later.DeliverSharedRows(rows);
  CHECK(IsNear(later.End(), end));
}

TEST(WeightsDeadlines, WithoutRecordHalfOfTheTimeIsAssumedAndRecorded)
{
  Instance first(context, rows, 0);
  first.DeliverOperatorRows(2, true);
  first.DeliverSharedRows(rows);
  const core::Instant half = core::RuntimeClock::now() + milliseconds(4750);
  CHECK(IsNear(first.End(), half));
  context.run_for(milliseconds(4500));
  LONGS_EQUAL(1, rows.writes);
  Instance second(context, rows, 1);
  second.DeliverOperatorRows(2, true);
  second.DeliverSharedRows(rows);
  CHECK(IsNear(second.End(), half));
}

TEST(WeightsDeadlines, RecordedNamingIsNotRewrittenHoursLater)
{
  NameVersion2(0);
  context.run_for(milliseconds(300));
  LONGS_EQUAL(1, rows.writes);
  core::RuntimeClock::Pause();
  for (int hour = 0; hour < 5; ++hour) {
    core::RuntimeClock::Advance(std::chrono::hours(1));
    for (const auto& instance : instances) {
      instance->deadlines->OnOperatorFailure();
    }
    context.restart();
    context.run_for(milliseconds(20));
  }
  LONGS_EQUAL(1, rows.writes);
}

TEST(WeightsDeadlines, AnswerAfterIsolatedFailureRestoresDeadline)
{
  Instance one(context, rows, 0);
  one.DeliverOperatorRows(1, true);
  one.DeliverSharedRows(rows);
  one.DeliverOperatorRows(2, false);
  const core::Instant end = one.End();
  core::RuntimeClock::Pause();
  core::RuntimeClock::Advance(seconds(6));
  const core::Instant before = core::RuntimeClock::now();
  core::RuntimeClock::Advance(milliseconds(100));
  one.deadlines->OnOperatorFailure();
  one.deadlines->OnOperatorFailure();
  core::RuntimeClock::Advance(milliseconds(100));
  one.deadlines->OnOperatorFailure();
  CHECK(one.End() > end);
  // A hub's update may predate these calls.
  node::OperatorUpdate update;
  update.requested_at = before;
  update.answered_at = before;
  one.deadlines->OnOperatorUpdate(update, false);
  CHECK(one.End() == end);
}
