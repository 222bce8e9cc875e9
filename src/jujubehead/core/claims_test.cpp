#include "jujubehead/core/claims.hpp"

#include <map>    // for map
#include <random> // for mt19937_64
#include <set>    // for set

#include <CppUTest/TestHarness.h> // for TEST

#include <rapidcheck.h> // for check

using namespace jujubehead::core;
using namespace std::chrono_literals;

namespace {

/// A row store whose writes may be lost, late or unanswered.
class FaultyStore
{
public:
  explicit FaultyStore(std::uint64_t aSeed)
    : m_random(aSeed)
  {
  }

  /// @param aAssumeCommitted the faulty variant: reports an unknown outcome as
  /// committed.
  ClaimsOutcome Write(const WriteClaims& aWrite, bool aAssumeCommitted)
  {
    switch (m_random() % 5) {
      case 0:
        return ClaimsNotWritten{};
      case 1:
        Apply(aWrite);
        break;
      case 2:
        m_delayed.push_back(aWrite);
        break;
      default:
        return Apply(aWrite);
    }
    if (aAssumeCommitted) {
      return ClaimsCommitted{};
    }
    return ClaimsUnknown{};
  }

  ClaimRead Read(const ClaimKey& aKey)
  {
    ApplySomeDelayed();
    if (m_random() % 4 == 0) {
      return { true, false, "" };
    }
    const auto found = m_rows.find(aKey);
    return found == m_rows.end() ? ClaimRead{ false, false, "" }
                                 : ClaimRead{ false, true, found->second };
  }

private:
  void ApplySomeDelayed()
  {
    if (!m_delayed.empty() && m_random() % 2 == 0) {
      Apply(m_delayed.front());
      m_delayed.erase(m_delayed.begin());
    }
  }

  ClaimsOutcome Apply(const WriteClaims& aWrite)
  {
    ClaimsConflict conflict;
    for (std::size_t i = 0; i < aWrite.rows.size(); ++i) {
      if (m_rows.contains(aWrite.rows[i].key)) {
        conflict.indices.push_back(i);
      }
    }
    if (!conflict.indices.empty()) {
      return conflict;
    }
    for (const ClaimRow& row : aWrite.rows) {
      m_rows.emplace(row.key, row.token);
    }
    return ClaimsCommitted{};
  }

  std::mt19937_64 m_random;
  std::map<ClaimKey, std::string> m_rows;
  std::vector<WriteClaims> m_delayed;
};

struct RunCounts
{
  std::map<std::string, int> runs; ///< By idempotency key.
  int settled = 0;
};

void
Answer(Claims& aClaims,
       FaultyStore& aStore,
       const ClaimAction& aAction,
       bool aAssumeCommitted,
       Instant aNow,
       RunCounts& aCounts)
{
  if (const auto* write = std::get_if<WriteClaims>(&aAction)) {
    aClaims.OnWritten(
      write->transaction, aStore.Write(*write, aAssumeCommitted), aNow);
  } else if (const auto* read = std::get_if<ReadClaim>(&aAction)) {
    aClaims.OnRead(read->transaction, aStore.Read(read->key), aNow);
  } else {
    ++aCounts.settled;
    if (const auto* won = std::get_if<ClaimWon>(&aAction)) {
      ++aCounts.runs[won->token.substr(0, won->token.find('/'))];
    }
  }
}

/// Sends the same requests to three instances.
/// @return which requests ran.
RunCounts
RunDuplicates(std::uint64_t aSeed, int aKeys, bool aAssumeCommitted)
{
  FaultyStore store(aSeed);
  std::vector<Claims> instances;
  RunCounts counts;
  Instant now{ 1h };
  for (int i = 0; i < 3; ++i) {
    instances.push_back(Claims::Create());
    for (int key = 0; key < aKeys; ++key) {
      const std::string name = "k" + std::to_string(key);
      instances.back().Claim(
        { { AccountId("a"), name }, name + "/" + std::to_string(i), 1 }, now);
    }
  }
  for (int step = 0; step < 2000; ++step) {
    now += 5ms;
    Claims& claims = instances[static_cast<std::size_t>(step) % 3];
    claims.Tick(now);
    for (const ClaimAction& action : claims.TakeActions()) {
      Answer(claims, store, action, aAssumeCommitted, now, counts);
    }
  }
  return counts;
}

bool
RunsAtMostOnce(bool aAssumeCommitted)
{
  for (std::uint64_t seed = 0; seed < 200; ++seed) {
    for (const auto& [key, runs] :
         RunDuplicates(seed, 7, aAssumeCommitted).runs) {
      if (runs > 1) {
        return false;
      }
    }
  }
  return true;
}

} // namespace

TEST_GROUP(Claims){};

TEST(Claims, ARequestRunsAtMostOnceAndEveryAttemptIsSettled)
{
  const bool ok = rc::check("at most once", [](std::uint64_t aSeed) {
    const int keys = *rc::gen::inRange(1, 12);
    const RunCounts counts = RunDuplicates(aSeed, keys, false);
    for (const auto& [key, runs] : counts.runs) {
      RC_ASSERT(runs <= 1);
    }
    RC_ASSERT(counts.settled == 3 * keys);
  });
  CHECK(ok);
}

TEST(Claims, TreatingALostResponseAsACommitIsDetected)
{
  CHECK(RunsAtMostOnce(false));
  CHECK_FALSE(RunsAtMostOnce(true));
}

TEST(Claims, BatchesClaimsAndReadsOnlyConflictingOnes)
{
  Claims claims = Claims::Create();
  Instant now{ 1h };
  for (int i = 0; i < 30; ++i) {
    const std::string name = std::to_string(i);
    claims.Claim({ { AccountId("a"), name }, "token" + name, 1 }, now);
  }
  now += 10ms;
  claims.Tick(now);
  const auto actions = claims.TakeActions();
  LONGS_EQUAL(1, actions.size());
  const auto& write = std::get<WriteClaims>(actions.front());
  LONGS_EQUAL(30, write.rows.size());

  claims.OnWritten(write.transaction, ClaimsConflict{ { 4 } }, now);
  claims.Tick(now + 10ms);
  const auto next = claims.TakeActions();
  LONGS_EQUAL(2, next.size());
  CHECK(std::holds_alternative<ReadClaim>(next.at(0)));
  LONGS_EQUAL(29, std::get<WriteClaims>(next.at(1)).rows.size());
}

TEST(Claims, AnOutageFailsTheClaimAsNotClaimed)
{
  Claims claims = Claims::Create();
  Instant now{ 1h };
  claims.Claim({ { AccountId("a"), "k" }, "token", 1 }, now);
  int refused = 0;
  for (int i = 0; i < 1000; ++i) {
    now += 10ms;
    claims.Tick(now);
    for (const ClaimAction& action : claims.TakeActions()) {
      if (const auto* write = std::get_if<WriteClaims>(&action)) {
        claims.OnWritten(write->transaction, ClaimsNotWritten{}, now);
      } else if (const auto* failed = std::get_if<ClaimFailed>(&action)) {
        CHECK_FALSE(failed->may_be_claimed);
        ++refused;
      }
    }
  }
  LONGS_EQUAL(1, refused);
  LONGS_EQUAL(0, claims.Pending());
}
