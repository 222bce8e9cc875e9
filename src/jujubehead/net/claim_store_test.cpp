#include "jujubehead/net/claim_store.hpp"

#include <CppUTest/TestHarness.h> // for TEST

#include <map>    // for map
#include <vector> // for vector

#include <boost/asio/co_spawn.hpp>      // for co_spawn
#include <boost/asio/detached.hpp>      // for detached
#include <boost/asio/post.hpp>          // for post
#include <boost/asio/use_awaitable.hpp> // for use_awaitable

#include "fake_platform.hpp"                // for FakeTableService
#include "jujubehead/net/run_awaitable.hpp" // for RunAwaitable

using namespace jujubehead;
using net::Claim;
using net::ClaimOutcome;

namespace {

/// Lets others run before a write takes effect, as a network does.
class DistantTableService : public net::FakeTableService
{
public:
  boost::asio::awaitable<net::TransactOutcome> Transact(
    net::Transaction aTransaction) override
  {
    co_await boost::asio::post(boost::asio::use_awaitable);
    co_return co_await FakeTableService::Transact(std::move(aTransaction));
  }
};

} // namespace

TEST_GROUP(ClaimStore)
{
  boost::asio::io_context context;
  DistantTableService service;
  std::int64_t now_ms = 1000;
  std::unique_ptr<net::ClaimStore> claims = Make();
  std::unique_ptr<net::ClaimStore> others = Make();

  std::unique_ptr<net::ClaimStore> Make(core::ClaimRules aRules = {})
  {
    return net::ClaimStore::Create(
      context, service, [this] { return now_ms; }, aRules);
  }

  static core::ClaimKey Key(const std::string& aKey,
                            const std::string& aAccount = "a")
  {
    return { core::AccountId(aAccount), aKey };
  }

  Claim Take(net::ClaimStore & aStore, core::ClaimKey aKey)
  {
    return net::RunAwaitable(context, aStore.Take(std::move(aKey)));
  }
};

TEST(ClaimStore, OnlyTheFirstOfAKeyMayRun)
{
  CHECK(Take(*claims, Key("k")).outcome == ClaimOutcome::kClaimed);
  CHECK(Take(*others, Key("k")).outcome == ClaimOutcome::kDuplicate);
  CHECK(Take(*others, Key("k", "b")).outcome == ClaimOutcome::kClaimed);
}

TEST(ClaimStore, ALostAnswerIsSettledByTheClaimsOwnToken)
{
  service.lose_answers = 10;
  CHECK(Take(*claims, Key("k")).outcome == ClaimOutcome::kClaimed);
  CHECK(Take(*others, Key("k")).outcome == ClaimOutcome::kDuplicate);
}

TEST(ClaimStore, NothingRunsWhileTheServiceIsAway)
{
  core::ClaimRules rules;
  rules.settle_timeout = std::chrono::milliseconds(20);
  const auto hasty = Make(rules);
  service.down = true;
  CHECK(Take(*hasty, Key("k")).outcome == ClaimOutcome::kUnavailable);
}

TEST(ClaimStore, AClaimGivenBackMayBeTakenAgain)
{
  const Claim claim = Take(*claims, Key("k"));
  boost::asio::co_spawn(
    context, claims->GiveBack(claim), boost::asio::detached);
  context.restart();
  context.run();
  CHECK(Take(*others, Key("k")).outcome == ClaimOutcome::kClaimed);
}

TEST(ClaimStore, GivingBackALostClaimLeavesTheWinnersInPlace)
{
  Claim claim = Take(*claims, Key("k"));
  claim.token += 1;
  boost::asio::co_spawn(
    context, claims->GiveBack(claim), boost::asio::detached);
  context.restart();
  context.run();
  CHECK(Take(*others, Key("k")).outcome == ClaimOutcome::kDuplicate);
}

TEST(ClaimStore, AnExpiredClaimIsReplacedByOneOnly)
{
  Take(*claims, Key("k"));
  now_ms += 8LL * 24 * 60 * 60 * 1000;
  CHECK(Take(*others, Key("k")).outcome == ClaimOutcome::kClaimed);
  CHECK(Take(*claims, Key("k")).outcome == ClaimOutcome::kDuplicate);
}

TEST(ClaimStore, ManyAtOnceGoInFewWritesAndOneWinsEachKey)
{
  constexpr int kCount = 200;
  std::vector<Claim> taken;
  for (int i = 0; i < kCount; ++i) {
    net::ClaimStore& store = i % 2 == 0 ? *claims : *others;
    boost::asio::co_spawn(context,
                          store.Take(Key(std::to_string(i / 2))),
                          [&](const std::exception_ptr&, const Claim& aClaim) {
                            taken.push_back(aClaim);
                          });
  }
  context.restart();
  context.run();
  UNSIGNED_LONGS_EQUAL(kCount, taken.size());
  std::map<std::string, int> winners;
  for (const Claim& claim : taken) {
    winners[claim.key.idempotency_key] +=
      claim.outcome == ClaimOutcome::kClaimed ? 1 : 0;
  }
  for (const auto& [key, count] : winners) {
    LONGS_EQUAL(1, count);
  }
  CHECK(service.writes < kCount / 4);
}
