#include "jujubehead/core/routing/probe_grants.hpp"

#include <CppUTest/TestHarness.h> // for TEST

using namespace jujubehead;
using core::ProbeGrants;
using core::RequestFingerprint;
using std::chrono::minutes;
using std::chrono::seconds;

namespace {

constexpr RequestFingerprint kRequest{ 7 };

} // namespace

TEST_GROUP(ProbeGrants)
{
  ProbeGrants grants;
  core::Instant now{ minutes(60) };
  core::Quarantine begun{ kRequest, now + minutes(5), 2 };
};

// A caller that sends many copies a second must not cause a write for each.
TEST(ProbeGrants, CopiesThatComeDuringAClaimMakeNoOtherOne)
{
  CHECK(grants.TryToClaim(kRequest, now));
  CHECK_FALSE(grants.TryToClaim(kRequest, now));
  CHECK_FALSE(grants.TryToClaim(kRequest, now + seconds(4)));
  CHECK(grants.TryToClaim(RequestFingerprint{ 8 }, now));
  CHECK(grants.TryToClaim(kRequest, now + ProbeGrants::kClaimInterval));
}

TEST(ProbeGrants, AGrantIsForOneRequest)
{
  CHECK_FALSE(grants.Take(kRequest, now).has_value());
  grants.Put(begun);
  CHECK(grants.Take(kRequest, now).has_value());
  CHECK_FALSE(grants.Take(kRequest, now).has_value());
}

// No target was available, or the caller left.
TEST(ProbeGrants, AGrantThatWasNotUsedIsLeftToTheNextCopy)
{
  grants.Put(begun);
  grants.Put(*grants.Take(kRequest, now));
  CHECK(grants.Take(kRequest, now + minutes(4)).has_value());
}

// The next quarantine has a probe of its own, at whichever instance.
TEST(ProbeGrants, AGrantEndsWithItsQuarantine)
{
  grants.Put(begun);
  CHECK_FALSE(grants.Take(kRequest, begun.until).has_value());
}
