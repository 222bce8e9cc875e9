#include "jujubehead/core/routing/quarantine_records.hpp"

#include <CppUTest/TestHarness.h> // for TEST

using namespace jujubehead;
using core::Quarantine;
using core::QuarantineRecords;
using core::RequestFingerprint;
using std::chrono::hours;
using std::chrono::milliseconds;
using std::chrono::minutes;
using std::chrono::seconds;

namespace {

constexpr RequestFingerprint kRequest{ 0xabc };
constexpr const char* kKey = "quarantine/0000000000000abc";

std::size_t
First(std::string_view /*aKey*/)
{
  return 0;
}

std::size_t
Third(std::string_view /*aKey*/)
{
  return 2;
}

} // namespace

TEST_GROUP(QuarantineRecords)
{
  core::Instant now{ minutes(60) };
  core::RemoteClock clock;
  QuarantineRecords records{ clock };

  void setup() override
  {
    clock.OnReading(5000, now, now);
  }
};

TEST(QuarantineRecords, TheFirstInstanceWritesAndTheNextOneWhenItFails)
{
  records.OnQuarantine({ kRequest, now + minutes(10), 1 }, now);
  const auto write = records.NextWrite(First, now);
  CHECK(write.has_value());
  STRCMP_EQUAL(kKey, write->key.c_str());
  LONGS_EQUAL(0, write->expected_version);
  CHECK_FALSE(records.NextWrite(Third, now).has_value());
  CHECK(records.NextWrite(Third, now + seconds(2)).has_value());
  records.OnRow(kKey, write->value, 9, now);
  CHECK_FALSE(records.NextWrite(Third, now + seconds(2)).has_value());
}

// An outage of the store ends, and all instances know of the quarantine.
TEST(QuarantineRecords, FewInstancesWriteHoweverManyThereAre)
{
  records.OnQuarantine({ kRequest, now + minutes(10), 1 }, now);
  const auto writers_of = [&](std::size_t aInstances) {
    int writers = 0;
    for (std::size_t rank = 0; rank < aInstances; ++rank) {
      const auto rank_of = [&](std::string_view) { return rank; };
      writers += records.NextWrite(rank_of, now + minutes(1)) ? 1 : 0;
    }
    return writers;
  };
  const int writers = writers_of(100);
  CHECK(writers > 1);
  CHECK_EQUAL(writers, writers_of(200));
  CHECK_EQUAL(writers, writers_of(400));
}

// An instance that starts has a clock of its own and no other source.
TEST(QuarantineRecords, AnInstanceThatStartsReadsTheEndOnItsOwnClock)
{
  records.OnQuarantine({ kRequest, now + minutes(10), 3 }, now);
  const auto write = records.NextWrite(First, now);
  core::RemoteClock other_clock;
  const core::Instant other_now{ minutes(3) };
  other_clock.OnReading(65000, other_now, other_now); // A minute later.
  QuarantineRecords other(other_clock);
  const auto read = other.OnRow(kKey, write->value, 9, other_now);
  CHECK(read.has_value());
  CHECK(read->fingerprint == kRequest);
  LONGS_EQUAL(3, read->count);
  CHECK(read->until >= other_now + minutes(9));
  CHECK(read->until < other_now + minutes(9) + seconds(5));
}

TEST(QuarantineRecords, ALaterEndReplacesTheRow)
{
  records.OnQuarantine({ kRequest, now + minutes(10), 1 }, now);
  records.OnRow(kKey, records.NextWrite(First, now)->value, 9, now);
  records.OnQuarantine({ kRequest, now + minutes(21), 1 }, now + minutes(11));
  const auto write = records.NextWrite(First, now + minutes(11));
  CHECK(write.has_value());
  LONGS_EQUAL(9, write->expected_version);
}

// Who starts must still read the record of a quarantine whose end has passed,
// and it goes when nobody renews it.
TEST(QuarantineRecords, ARowIsRemovedADayAfterItsQuarantineIsOver)
{
  records.OnQuarantine({ kRequest, now + minutes(10), 1 }, now);
  records.OnRow(kKey, records.NextWrite(First, now)->value, 9, now);
  const core::Instant end = now + minutes(10);
  CHECK_FALSE(records.NextWrite(First, end).has_value());
  CHECK_FALSE(records.NextWrite(First, end + hours(23)).has_value());
  const auto removal = records.NextWrite(First, end + hours(25));
  CHECK(removal.has_value());
  CHECK_FALSE(removal->value.has_value());
  LONGS_EQUAL(9, removal->expected_version);
  const auto removed = records.OnRow(kKey, std::nullopt, 10, end + hours(25));
  CHECK(removed && removed->IsReleased());
  CHECK_FALSE(records.NextWrite(First, end + hours(26)).has_value());
}

// All instances claim the probe of a quarantine that ends.
TEST(QuarantineRecords, OneInstanceBeginsTheNextQuarantine)
{
  records.OnQuarantine({ kRequest, now + minutes(1), 1 }, now);
  records.OnRow(kKey, records.NextWrite(First, now)->value, 9, now);
  const auto next = [&] {
    return core::Quarantine{ kRequest, now + minutes(5), 2 };
  };
  CHECK_FALSE(records.NextQuarantineWrite(next(), now).has_value());
  now += minutes(2);
  const auto write = records.NextQuarantineWrite(next(), now);
  CHECK(write && write->value);
  LONGS_EQUAL(9, write->expected_version);
  const auto begun = records.OnRow(kKey, write->value, 10, now);
  CHECK(begun.has_value());
  LONGS_EQUAL(2, begun->count);
  CHECK_FALSE(records.NextQuarantineWrite(next(), now).has_value());
  // One that has not learned of the probe yet counts it.
  now += minutes(6);
  const auto third = records.NextQuarantineWrite(next(), now);
  LONGS_EQUAL(3, records.OnRow(kKey, third->value, 11, now)->count);
}

// The store was away during the quarantine.
TEST(QuarantineRecords, TheNextQuarantineNeedsNoRowOfTheOneBefore)
{
  const auto write =
    records.NextQuarantineWrite({ kRequest, now + minutes(5), 2 }, now);
  CHECK(write && write->value);
  LONGS_EQUAL(0, write->expected_version);
}

// Its request was answered after all: who starts must not read it.
TEST(QuarantineRecords, ARowIsRemovedAtOnceWhenItsRequestIsNoPoison)
{
  records.OnQuarantine({ kRequest, now + minutes(10), 1 }, now);
  records.OnRow(kKey, records.NextWrite(First, now)->value, 9, now);
  records.OnQuarantine({ kRequest, core::Instant{}, 1 }, now + seconds(1));
  const auto removal = records.NextWrite(First, now + seconds(1));
  CHECK(removal && !removal->value);
}

TEST(QuarantineRecords, RowsThatAreNoRecordsAreLeftAlone)
{
  CHECK_FALSE(QuarantineRecords::IsKey("instances/i1"));
  CHECK(QuarantineRecords::IsKey(kKey));
  CHECK_FALSE(records.OnRow("quarantine/x", "17", 3, now).has_value());
  CHECK_FALSE(records.OnRow(kKey, "soon", 3, now).has_value());
  CHECK_FALSE(records.NextWrite(First, now + milliseconds(1)).has_value());
}

// Requests and parts have rows of their own, as a former version knows requests
// only.
TEST(QuarantineRecords, PartsHaveTheirOwnRows)
{
  records.OnQuarantine(
    { kRequest, now + minutes(10), 1, core::SuspectKind::kPart }, now);
  const auto write = records.NextWrite(First, now);
  CHECK(write.has_value());
  STRCMP_EQUAL("quarantined-part/0000000000000abc", write->key.c_str());
  CHECK(QuarantineRecords::IsKey(write->key));
  QuarantineRecords other(clock);
  const auto read = other.OnRow(write->key, write->value, 9, now);
  CHECK(read && read->kind == core::SuspectKind::kPart);
  CHECK(read->fingerprint == kRequest);
  const auto removed = other.OnRow(write->key, std::nullopt, 10, now);
  CHECK(removed && removed->kind == core::SuspectKind::kPart);
}
