#include "jujubehead/core/permit_book.hpp"

#include <map>    // for map
#include <string> // for string, to_string

#include <CppUTest/TestHarness.h> // for TEST

using namespace jujubehead::core;
using namespace std::chrono_literals;

namespace {

const AccountId kHome("home");
const AccountId kPanel("panel");
const InstanceId kEntry("entry");

struct Bench
{
  PermitBook book = PermitBook::ForEpoch(3, 4);
  Instant now{ 1h };
  int next = 0;

  Bench()
  {
    book.SetShare({ kHome, 1, 4, 100 });
    book.SetShare({ kPanel, 3, 4, 100 });
  }

  RequestId Ask(const AccountId& aAccount, Duration aDeadline = 60s)
  {
    RequestId request("r" + std::to_string(next++));
    Repeat(request, aAccount, aDeadline);
    return request;
  }

  void Repeat(const RequestId& aRequest,
              const AccountId& aAccount,
              Duration aDeadline = 60s)
  {
    book.Request({ aRequest, kEntry, aAccount, 0, now + aDeadline, 1, 7 }, now);
  }

  std::vector<PermitGranted> Granted()
  {
    std::vector<PermitGranted> granted;
    for (const auto& decision : book.Decide(now)) {
      if (const auto* grant = std::get_if<PermitGranted>(&decision)) {
        granted.push_back(*grant);
      }
    }
    return granted;
  }
};

} // namespace

TEST_GROUP(PermitBook)
{
  Bench bench;
};

TEST(PermitBook, GrantsUpToTheLimitAndAgainAsPlacesComeBack)
{
  for (int i = 0; i < 6; ++i) {
    bench.Ask(kHome);
  }
  const auto first = bench.Granted();
  CHECK_EQUAL(4, first.size());
  CHECK_EQUAL(0, bench.Granted().size());
  bench.book.Release(first.front().permit, bench.now);
  CHECK_EQUAL(1, bench.Granted().size());
}

TEST(PermitBook, ARepeatOfAGrantedRequestGetsTheSamePermit)
{
  const RequestId request = bench.Ask(kHome);
  const auto first = bench.Granted();
  bench.now += 1s;
  bench.Repeat(request, kHome);
  const auto again = bench.Granted();
  CHECK_EQUAL(1, again.size());
  CHECK(first.front().permit == again.front().permit);
  CHECK_EQUAL(1, bench.book.Held().size());
}

TEST(PermitBook, ANewOwnerReservesWhatNobodyToldOf)
{
  bench.book.ReserveUnknown(4, bench.now + 2s);
  bench.Ask(kHome);
  CHECK_EQUAL(0, bench.Granted().size());

  const HeldPermit old{ { 2, 9 }, RequestId("old"), kEntry, kHome };
  bench.book.AcceptHolding({ kEntry, bench.book.Query().up_to, { old } },
                           bench.now);
  CHECK_EQUAL(3, bench.book.Reserved());
  bench.book.Release(old.permit, bench.now);
  CHECK_EQUAL(1, bench.Granted().size());
}

TEST(PermitBook, TheTargetsOwnReportSetsPlacesFree)
{
  bench.book.ReserveUnknown(4, bench.now + 2s);
  bench.book.ObserveTargetReport({ bench.now, {} });
  CHECK_EQUAL(4, bench.book.Reserved());
  bench.book.ObserveTargetReport({ bench.now + 4s, { RequestId("stray") } });
  CHECK_EQUAL(1, bench.book.Reserved());
  bench.book.ObserveTargetReport({ bench.now + 5s, {} });
  CHECK_EQUAL(0, bench.book.Reserved());
}

TEST(PermitBook, RefusesEarlyWhatCannotStartInTime)
{
  for (int i = 0; i < 4; ++i) {
    bench.Ask(kHome);
  }
  for (const PermitGranted& grant : bench.Granted()) {
    bench.book.Started(grant.permit, bench.now);
  }
  bench.now += 10s;
  for (const HeldPermit& held : bench.book.Held()) {
    bench.book.Release(held.permit, bench.now);
  }
  for (int i = 0; i < 8; ++i) {
    bench.Ask(kHome);
  }
  CHECK_EQUAL(4, bench.Granted().size());
  bench.Ask(kHome, 2s);
  const auto decided = bench.book.Decide(bench.now);
  CHECK_EQUAL(1, decided.size());
  const auto* refusal = std::get_if<PermitRefused>(&decided.front());
  CHECK(refusal != nullptr && refusal->reason == RefusalReason::kDeadline);
  CHECK(refusal->retry_after > 2s);
}

TEST(PermitBook, AStopRefusesWhatWaitsAndKeepsWhatRuns)
{
  for (int i = 0; i < 6; ++i) {
    bench.Ask(kHome);
  }
  CHECK_EQUAL(4, bench.Granted().size());
  bench.book.StopAdmitting();
  CHECK_EQUAL(2, bench.book.Decide(bench.now).size());
  CHECK_EQUAL(4, bench.book.Held().size());
}
