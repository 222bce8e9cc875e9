#include "jujubehead/core/permit_scheduler.hpp"

#include <map>    // for map
#include <string> // for string, to_string

#include <CppUTest/TestHarness.h> // for TEST

using namespace jujubehead::core;
using namespace std::chrono_literals;

namespace {

const AccountId kAccount("account");
const AccountId kOtherAccount("other-account");
const InstanceId kEntry("entry");

struct Fixture
{
  PermitScheduler scheduler = PermitScheduler::ForEpoch(3, 4);
  Instant now{ 1h };
  int next = 0;

  Fixture()
  {
    scheduler.SetShare({ kAccount, 1, 4, 100 });
    scheduler.SetShare({ kOtherAccount, 3, 4, 100 });
  }

  RequestId SendRequest(const AccountId& aAccount, Duration aDeadline = 60s)
  {
    RequestId request("r" + std::to_string(next++));
    Resend(request, aAccount, aDeadline);
    return request;
  }

  void Resend(const RequestId& aRequest,
              const AccountId& aAccount,
              Duration aDeadline = 60s)
  {
    scheduler.Request({ aRequest, kEntry, aAccount, 0, now + aDeadline, 1, 7 },
                      now);
  }

  std::vector<PermitGranted> Granted()
  {
    std::vector<PermitGranted> granted;
    for (const auto& decision : scheduler.Decide(now)) {
      if (const auto* grant = std::get_if<PermitGranted>(&decision)) {
        granted.push_back(*grant);
      }
    }
    return granted;
  }
};

} // namespace

TEST_GROUP(PermitScheduler)
{
  Fixture fixture;
};

TEST(PermitScheduler, GrantsUpToTheLimitAndAgainAfterReleases)
{
  for (int i = 0; i < 6; ++i) {
    fixture.SendRequest(kAccount);
  }
  const auto first = fixture.Granted();
  CHECK_EQUAL(4, first.size());
  CHECK_EQUAL(0, fixture.Granted().size());
  fixture.scheduler.Release(first.front().permit, fixture.now);
  CHECK_EQUAL(1, fixture.Granted().size());
}

TEST(PermitScheduler, AResentGrantedRequestGetsTheSamePermit)
{
  const RequestId request = fixture.SendRequest(kAccount);
  const auto first = fixture.Granted();
  fixture.now += 1s;
  fixture.Resend(request, kAccount);
  const auto again = fixture.Granted();
  CHECK_EQUAL(1, again.size());
  CHECK(first.front().permit == again.front().permit);
  CHECK_EQUAL(1, fixture.scheduler.Held().size());
}

TEST(PermitScheduler, ANewOwnerReservesUnreportedPermits)
{
  fixture.scheduler.ReserveUnknown(4, fixture.now + 2s);
  fixture.SendRequest(kAccount);
  CHECK_EQUAL(0, fixture.Granted().size());

  const HeldPermit old{ { 2, 9 }, RequestId("old"), kEntry, kAccount };
  fixture.scheduler.ApplyHoldings(
    { kEntry, fixture.scheduler.Query().up_to, { old } }, fixture.now);
  CHECK_EQUAL(3, fixture.scheduler.Reserved());
  fixture.scheduler.Release(old.permit, fixture.now);
  CHECK_EQUAL(1, fixture.Granted().size());
}

TEST(PermitScheduler, ATargetReportFreesReservedSlots)
{
  fixture.scheduler.ReserveUnknown(4, fixture.now + 2s);
  fixture.scheduler.ApplyTargetReport({ fixture.now, {} });
  CHECK_EQUAL(4, fixture.scheduler.Reserved());
  fixture.scheduler.ApplyTargetReport(
    { fixture.now + 4s, { RequestId("unattributed") } });
  CHECK_EQUAL(1, fixture.scheduler.Reserved());
  fixture.scheduler.ApplyTargetReport({ fixture.now + 5s, {} });
  CHECK_EQUAL(0, fixture.scheduler.Reserved());
}

TEST(PermitScheduler, RefusesARequestThatCannotStartByItsDeadline)
{
  for (int i = 0; i < 4; ++i) {
    fixture.SendRequest(kAccount);
  }
  for (const PermitGranted& grant : fixture.Granted()) {
    fixture.scheduler.Started(grant.permit, fixture.now);
  }
  fixture.now += 10s;
  for (const HeldPermit& held : fixture.scheduler.Held()) {
    fixture.scheduler.Release(held.permit, fixture.now);
  }
  for (int i = 0; i < 8; ++i) {
    fixture.SendRequest(kAccount);
  }
  CHECK_EQUAL(4, fixture.Granted().size());
  fixture.SendRequest(kAccount, 2s);
  const auto decided = fixture.scheduler.Decide(fixture.now);
  CHECK_EQUAL(1, decided.size());
  const auto* refusal = std::get_if<PermitRefused>(&decided.front());
  CHECK(refusal != nullptr && refusal->reason == RefusalReason::kDeadline);
  CHECK(refusal->retry_after > 2s);
}

TEST(PermitScheduler, StoppingRefusesWaitingRequestsAndKeepsRunningOnes)
{
  for (int i = 0; i < 6; ++i) {
    fixture.SendRequest(kAccount);
  }
  CHECK_EQUAL(4, fixture.Granted().size());
  fixture.scheduler.StopAdmitting();
  CHECK_EQUAL(2, fixture.scheduler.Decide(fixture.now).size());
  CHECK_EQUAL(4, fixture.scheduler.Held().size());
}
