#include "hub_update_codec.hpp"

#include <CppUTest/TestHarness.h> // for TEST

#include "jujubehead/core/routing/target_limit.hpp" // for TargetLimit

using namespace jujubehead;
using node::HubUpdate;

namespace {

const core::Instant kNow = core::Instant(std::chrono::hours(1));

} // namespace

TEST_GROUP(HubUpdateCodec)
{
  HubUpdate message;

  void setup() override
  {
    message.start = "i1/abc";
    message.parts.cursor = { 42, 40 };
    message.parts.has_more = true;
    message.parts.stores = {
      { core::StoreId("s1"), 7, core::kUnreachableAge, {} },
      { core::StoreId("s2"),
        8,
        std::chrono::milliseconds(30),
        std::chrono::microseconds(2500999) }
    };
    message.parts.changes = { { core::StoreId("s2"), "w1", "a", 800 },
                              { core::StoreId("s1"), "w2", "b", 100 },
                              { core::StoreId("s1"), "w1", "c", 100 } };
    message.clock_ms = 123456;
    message.has_loads = true;
    message.loads = { { core::KeyOf(core::TargetId("t1")),
                        { 12, 3, 12 },
                        kNow - std::chrono::milliseconds(40) } };
    message.rows = node::RowUpdate{ std::string("\xff\x00rows", 6),
                                    std::chrono::milliseconds(70),
                                    true };
    message.next_loads = 17;
  }
};

TEST(HubUpdateCodec, RoundTrip)
{
  const HubUpdate back =
    node::HubUpdateFromBytes(node::ToBytes(message, kNow), kNow);
  STRCMP_EQUAL("i1/abc", back.start.c_str());
  LONGS_EQUAL(42, back.parts.cursor.next);
  LONGS_EQUAL(40, back.parts.cursor.since);
  CHECK(back.parts.has_more);
  CHECK_FALSE(back.parts.is_snapshot);
  LONGS_EQUAL(123456, *back.clock_ms);
  LONGS_EQUAL(8, back.parts.stores.at(1).epoch);
  LONGS_EQUAL(6, back.rows->bytes.size());
  LONGS_EQUAL(3, back.loads.at(0).load.waiting);
  CHECK(back.loads.at(0).reported_at <= message.loads.at(0).reported_at);
  CHECK(back.rows->age >= message.rows->age);
  CHECK(back.rows->has_more);
  LONGS_EQUAL(17, back.next_loads);
  // Ages are rounded up, uptimes down.
  CHECK(back.parts.stores.at(1).age >= message.parts.stores.at(1).age);
  CHECK(back.parts.stores.at(1).uptime == std::chrono::milliseconds(2500));
  CHECK(back.parts.changes.at(0).store == core::StoreId("s2"));
  LONGS_EQUAL(800, back.parts.changes.at(0).tokens);
  STRCMP_EQUAL("w1", back.parts.changes.at(0).scope.c_str());
  STRCMP_EQUAL("w2", back.parts.changes.at(1).scope.c_str());
  STRCMP_EQUAL("w1", back.parts.changes.at(2).scope.c_str());
}

TEST(HubUpdateCodec, RejectsTruncatedOrMalformedBytes)
{
  const std::string bytes = node::ToBytes(message, kNow);
  for (std::size_t length = 0; length < bytes.size(); ++length) {
    CHECK_THROWS(std::exception,
                 node::HubUpdateFromBytes(
                   std::string_view(bytes).substr(0, length), kNow));
  }
  CHECK_THROWS(std::exception, node::HubUpdateFromBytes("{\"start\":1}", kNow));
  // A change that refers to a store not in the list.
  message.parts.changes.at(0).store = core::StoreId("s3");
  CHECK_THROWS(std::exception, node::ToBytes(message, kNow));
}

TEST(HubUpdateCodec, LoadTakesEightBytesAndCountsSaturate)
{
  core::TargetLoadReport full{ core::KeyOf(core::TargetId("t2")),
                               { 4000, 4000, 4000 },
                               kNow - std::chrono::hours(1) };
  const core::TargetLoadReport gone =
    core::GoneTargetReport(core::TargetId("t3"), kNow);
  const std::string bytes = node::LoadsToBytes({ full, gone }, kNow);
  LONGS_EQUAL(16, bytes.size());
  const auto back = node::LoadsFromBytes(bytes, kNow);
  CHECK(back.at(0).target == full.target);
  LONGS_EQUAL(251, back.at(0).load.running);
  LONGS_EQUAL(255, back.at(0).load.waiting);
  CHECK(back.at(0).reported_at == kNow - std::chrono::milliseconds(2550));
  CHECK_FALSE(back.at(0).is_gone);
  CHECK(back.at(1).is_gone && back.at(1).target == gone.target);
}

// During a rolling upgrade an older instance sends loads as a list.
TEST(HubUpdateCodec, IgnoresLoadsInAnotherEncoding)
{
  message.has_loads = false;
  const HubUpdate back =
    node::HubUpdateFromBytes(node::ToBytes(message, kNow), kNow);
  CHECK_FALSE(back.has_loads);
  CHECK(back.loads.empty());
  LONGS_EQUAL(42, back.parts.cursor.next);
}

TEST(HubUpdateCodec, LoadsRoundTripAndMalformedLoadsAreRejected)
{
  const auto back =
    node::LoadsFromBytes(node::LoadsToBytes(message.loads, kNow), kNow);
  CHECK(back.at(0).target == core::KeyOf(core::TargetId("t1")));
  LONGS_EQUAL(12, back.at(0).load.slots);
  CHECK_THROWS(std::exception, node::LoadsFromBytes("x", kNow));
}

TEST(HubUpdateCodec, LimitsRoundTrip)
{
  const auto back_of = [](std::optional<double> aLimit) {
    const auto loads = node::LoadsFromBytes(
      node::LoadsToBytes(
        { core::LimitReport(core::TargetId("t1"), aLimit, kNow) }, kNow),
      kNow);
    CHECK(loads.at(0).kind == core::ReportKind::kLimit);
    CHECK_FALSE(loads.at(0).is_gone);
    return loads.at(0).limit;
  };
  DOUBLES_EQUAL(1.23, *back_of(1.23), 1e-12);
  DOUBLES_EQUAL(3.0, *back_of(3.0), 1e-9);
  DOUBLES_EQUAL(655.34, *back_of(core::TargetLimit::kMaxPerSecond), 1e-9);
  CHECK_FALSE(back_of(std::nullopt).has_value());
}

TEST(HubUpdateCodec, BrittlenessRoundTrips)
{
  const auto back_of = [](std::optional<std::uint32_t> aMaxRejections) {
    const auto loads = node::LoadsFromBytes(
      node::LoadsToBytes(
        { core::BrittleReport(core::ServiceId("s"), aMaxRejections, kNow) },
        kNow),
      kNow);
    CHECK(loads.at(0).kind == core::ReportKind::kBrittle);
    CHECK(loads.at(0).target == core::KeyOf(core::ServiceId("s")));
    return loads.at(0).max_rejections;
  };
  UNSIGNED_LONGS_EQUAL(0, *back_of(0));
  UNSIGNED_LONGS_EQUAL(4, *back_of(4));
  UNSIGNED_LONGS_EQUAL(254, *back_of(1000));
  CHECK_FALSE(back_of(std::nullopt).has_value());
}

TEST(HubUpdateCodec, DemandsOfAccountsRoundTrip)
{
  const core::AccountDemand demand{ core::HashOf(core::AccountId("a")),
                                    0xFEDC,
                                    16000 };
  const auto loads = node::LoadsFromBytes(
    node::LoadsToBytes(
      { core::AccountReport(demand, kNow),
        core::AccountReport({ demand.account, 1, 1e9 }, kNow) },
      kNow),
    kNow);
  CHECK(loads.at(0).kind == core::ReportKind::kAccount);
  const core::AccountDemand back = core::DemandOf(loads.at(0));
  CHECK(back.account == demand.account);
  LONGS_EQUAL(0xFEDC, back.instance);
  DOUBLES_EQUAL(16000, back.tokens_per_second, 1e-9);
  // Demands beyond what two bytes hold saturate.
  DOUBLES_EQUAL(
    16.0 * 0xFFFF, core::DemandOf(loads.at(1)).tokens_per_second, 1);
}
