#include "jujubehead/core/routing/account_shares.hpp"

#include <array> // for array

#include <CppUTest/TestHarness.h> // for TEST

using namespace jujubehead::core;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

const AccountId kLarge("large");
const AccountId kSmall("small");
const InstanceId kOther("instance-2");

} // namespace

TEST_GROUP(AccountShares)
{
  AccountShares m_shares;
  Instant m_now{ seconds(100) };

  /// Ten requests a second for ten seconds.
  void Load(const AccountId& aAccount, double aTokens)
  {
    Instant now = m_now;
    for (int i = 0; i < 100; ++i) {
      now += milliseconds(100);
      m_shares.OnRequest(aAccount, aTokens, now);
    }
  }
  void EndLoad()
  {
    m_now += seconds(10);
  }
};

TEST(AccountShares, LevelsAreMaxMinFair)
{
  DOUBLES_EQUAL(4, MaxMinLevel(std::array{ 1.0, 2.0, 10.0, 10.0 }, 11), 1e-9);
  DOUBLES_EQUAL(10, MaxMinLevel(std::array{ 1.0, 10.0 }, 20), 1e-9);
  DOUBLES_EQUAL(2, MaxMinLevel(std::array{ 5.0, 5.0 }, 4), 1e-9);
  DOUBLES_EQUAL(0, MaxMinLevel({}, 4), 1e-9);
}

// A large account's burst had requests of small ones refused as often as its
// own.
TEST(AccountShares, ASmallAccountIsServedInFullBesideALargeOne)
{
  Load(kLarge, 900);
  Load(kSmall, 100);
  EndLoad();
  DOUBLES_EQUAL(1, m_shares.ShareFor(kSmall, 0.6, m_now), 1e-9);
  // 0.6 of 10,000 tokens a second, less the small account's 1,000.
  DOUBLES_EQUAL(5.0 / 9, m_shares.ShareFor(kLarge, 0.6, m_now), 0.02);
  DOUBLES_EQUAL(1, m_shares.ShareFor(AccountId("new"), 0.6, m_now), 1e-9);
}

TEST(AccountShares, NothingIsRefusedWhileThereIsRoom)
{
  Load(kLarge, 900);
  EndLoad();
  DOUBLES_EQUAL(1, m_shares.ShareFor(kLarge, 1, m_now), 1e-9);
  DOUBLES_EQUAL(0, m_shares.ShareFor(kLarge, 0, m_now), 1e-9);
}

// Counting admitted requests alone would let retries win room.
TEST(AccountShares, RetriesGainNothing)
{
  Load(kLarge, 500);
  Load(kSmall, 500);
  EndLoad();
  const double once = m_shares.ShareFor(kSmall, 0.5, m_now);
  m_now = Instant{ seconds(100) };
  m_shares = {};
  Load(kLarge, 500);
  Load(kSmall, 4 * 500);
  EndLoad();
  // There is room for half of what is asked for without the retries.
  const double four_times = m_shares.ShareFor(kSmall, 0.5 * 2 / 5, m_now);
  DOUBLES_EQUAL(once, 4 * four_times, 0.02);
}

// Callers of an account reach many instances.
TEST(AccountShares, DemandsAtOtherInstancesCount)
{
  Load(kLarge, 100);
  Load(kSmall, 100);
  EndLoad();
  DOUBLES_EQUAL(0.5, m_shares.ShareFor(kLarge, 0.5, m_now), 0.02);
  m_shares.OnReport({ HashOf(kLarge), 7, 8000 }, m_now);
  m_now += milliseconds(200);
  CHECK(m_shares.ShareFor(kSmall, 0.5, m_now) > 0.99);
  CHECK(m_shares.ShareFor(kLarge, 0.5, m_now) < 0.5);
  // An older report of that instance arrives later.
  m_shares.OnReport({ HashOf(kLarge), 7, 1 }, m_now - seconds(1));
  m_now += milliseconds(200);
  CHECK(m_shares.ShareFor(kLarge, 0.5, m_now) < 0.5);
  // The instance is gone.
  const Instant later = m_now + seconds(60);
  m_shares.Tick(later);
  CHECK(m_shares.Report(kOther, later).empty());
}

TEST(AccountShares, ReportsTheLargestDemands)
{
  for (int i = 0; i < 10; ++i) {
    Load(AccountId("account-" + std::to_string(i)), 10 + i);
  }
  EndLoad();
  const auto report = m_shares.Report(kOther, m_now);
  LONGS_EQUAL(AccountShares::kMaxReported, report.size());
  CHECK(report[0].account == HashOf(AccountId("account-9")));
  DOUBLES_EQUAL(190, report[0].tokens_per_second, 10);
}
