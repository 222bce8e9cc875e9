#include "jujubehead/core/routing/poison_requests.hpp"

#include <CppUTest/TestHarness.h> // for TEST

using namespace jujubehead;
using core::CompletionReport;
using core::CrashReport;
using core::RequestFingerprint;
using core::TargetKey;
using std::chrono::milliseconds;
using std::chrono::minutes;
using std::chrono::seconds;

namespace {

constexpr RequestFingerprint kRequest{ 7 };
constexpr RequestFingerprint kOther{ 8 };

} // namespace

TEST_GROUP(PoisonRequests)
{
  core::PoisonRequests poison;
  core::Instant start{ minutes(60) };
  unsigned targets = 0;

  /// A run of a request that crashed a target of its own.
  CrashReport Crash(core::Duration aSent,
                    core::Duration aCrashed,
                    RequestFingerprint aRequest = kRequest)
  {
    return { aRequest,
             TargetKey{ ++targets },
             core::DataCentreKey{ 1 },
             start + aSent,
             start + aCrashed };
  }
  /// Three runs, one after the other, the last of which crashed at 2.08 s.
  void CrashThree()
  {
    for (int i = 0; i < 3; ++i) {
      poison.OnReport(Crash(seconds(i), seconds(i) + milliseconds(80)),
                      start + seconds(i) + milliseconds(80));
    }
  }
  bool IsQuarantined(RequestFingerprint aRequest = kRequest)
  {
    return poison.QuarantinedUntil(aRequest).has_value();
  }
  /// Whether a copy may be sent, once that is recorded.
  bool MayProbe(core::Instant aNow)
  {
    const auto next = poison.NextQuarantine(kRequest, aNow);
    return next && poison.AllowsProbe(*next);
  }
};

TEST(PoisonRequests, ThreeCrashesOneAfterTheOtherBeginAQuarantine)
{
  CHECK(poison.IsEmpty());
  for (int i = 0; i < 3; ++i) {
    CHECK_FALSE(IsQuarantined());
    const auto outcome =
      poison.OnReport(Crash(seconds(i), seconds(i) + milliseconds(80)),
                      start + seconds(i) + milliseconds(90));
    CHECK(outcome.is_new);
    CHECK_EQUAL(i == 2, outcome.quarantine.has_value());
  }
  CHECK(IsQuarantined());
  CHECK_FALSE(MayProbe(start + seconds(3)));
  CHECK_FALSE(IsQuarantined(kOther));
  LONGS_EQUAL(1, poison.Quarantined());
}

// A rack is lost with copies of one request at three of its targets.
TEST(PoisonRequests, TargetsThatEndTogetherCountOnce)
{
  for (int i = 0; i < 3; ++i) {
    poison.OnReport(Crash(milliseconds(10 * i), milliseconds(900 + i)), start);
  }
  LONGS_EQUAL(1, poison.CrashCount(kRequest));
}

// Its caller sends several copies at once. No rack is in two data centres.
TEST(PoisonRequests, CopiesThatCrashTargetsInSeveralDataCentresCount)
{
  for (unsigned i = 0; i < 3; ++i) {
    CrashReport crash = Crash(milliseconds(10 * i), milliseconds(900 + i));
    crash.data_centre = core::DataCentreKey{ i };
    poison.OnReport(crash, start);
  }
  CHECK(IsQuarantined());
}

// Reports come from several instances, late, repeatedly and in any order.
TEST(PoisonRequests, TheOrderOfReportsDoesNotMatter)
{
  const CrashReport first = Crash(seconds(0), milliseconds(80));
  const CrashReport second = Crash(seconds(1), milliseconds(1080));
  const CrashReport third = Crash(seconds(2), milliseconds(2080));
  const core::Instant now = start + seconds(3);
  CHECK(poison.OnReport(third, now).is_new);
  CHECK(poison.OnReport(first, now).is_new);
  CHECK_FALSE(poison.OnReport(third, now).is_new);
  LONGS_EQUAL(2, poison.CrashCount(kRequest));
  CHECK(poison.OnReport(second, now).quarantine.has_value());
}

// An innocent request that is sent often is at one of the targets that end,
// again and again, and is answered by all others.
TEST(PoisonRequests, ACompleteAnswerClearsASuspect)
{
  for (int i = 0; i < 10; ++i) {
    const core::Instant crashed = start + seconds(i) + milliseconds(80);
    poison.OnReport(Crash(seconds(i), seconds(i) + milliseconds(80)), crashed);
    poison.OnReport(CompletionReport{ kRequest, crashed + milliseconds(50) },
                    crashed + milliseconds(50));
    CHECK_FALSE(IsQuarantined());
  }
  LONGS_EQUAL(0, poison.CrashCount(kRequest));
}

// The report of a crash may arrive after that of a later complete answer.
TEST(PoisonRequests, ACrashBeforeACompleteAnswerDoesNotCount)
{
  poison.OnReport(Crash(seconds(0), milliseconds(80)), start + seconds(1));
  poison.OnReport(CompletionReport{ kRequest, start + seconds(2) },
                  start + seconds(2));
  CHECK_FALSE(
    poison.OnReport(Crash(seconds(1), milliseconds(1080)), start + seconds(3))
      .is_new);
  LONGS_EQUAL(0, poison.CrashCount(kRequest));
}

// A run that began before the quarantine may yet be answered.
TEST(PoisonRequests, ACompleteAnswerEndsAQuarantine)
{
  CrashThree();
  const core::Instant now = start + seconds(4);
  CHECK(IsQuarantined());
  const auto outcome = poison.OnReport(CompletionReport{ kRequest, now }, now);
  CHECK(outcome.quarantine && outcome.quarantine->IsReleased());
  CHECK_FALSE(IsQuarantined());
}

// Each instance sends the next copy of a poison request when its quarantine
// ends, so that a fleet crashes as many targets as it has instances.
TEST(PoisonRequests, AQuarantineThatEndsAllowsAProbeOnlyOnceTheNextIsRecorded)
{
  CrashThree();
  const core::Instant later = start + seconds(63);
  CHECK_FALSE(poison.NextQuarantine(kRequest, start + seconds(62)));
  CHECK(IsQuarantined());
  CHECK(MayProbe(later));
  const auto next = poison.NextQuarantine(kRequest, later);
  LONGS_EQUAL(2, next->count);
  CHECK(next->until == later + minutes(5));
  poison.OnRecorded(*next, later);
  CHECK_FALSE(MayProbe(later));
  CHECK_FALSE(MayProbe(later + minutes(4)));
  CHECK(MayProbe(later + minutes(5)));
}

// A caller that sends a poison request for days must not crash a target now and
// then all the time.
TEST(PoisonRequests, AfterTwoProbesARequestIsRefusedForAsLongAsItIsSent)
{
  CrashThree();
  core::Instant now = start + seconds(63);
  int probes = 0;
  for (int i = 0; i < 100; ++i) {
    const auto next = poison.NextQuarantine(kRequest, now);
    CHECK(next.has_value());
    probes += poison.AllowsProbe(*next) ? 1 : 0;
    poison.OnRecorded(*next, now);
    now = next->until;
    poison.Tick(now);
    CHECK(IsQuarantined());
  }
  LONGS_EQUAL(2, probes);
}

// Its targets are repaired, or its caller gives up: a record that nobody renews
// is dropped.
TEST(PoisonRequests, AQuarantineOfARequestThatIsNotSentIsForgotten)
{
  CrashThree();
  poison.Tick(start + std::chrono::hours(24));
  CHECK(IsQuarantined());
  poison.Tick(start + std::chrono::hours(25));
  CHECK(poison.IsEmpty());
}

// The instance that sent the probe reads the record of its own claim after the
// complete answer.
TEST(PoisonRequests, ARecordFromBeforeACompleteAnswerHasNoEffect)
{
  CrashThree();
  const core::Instant now = start + seconds(63);
  const auto next = poison.NextQuarantine(kRequest, now);
  poison.OnRecorded(*next, now);
  poison.OnReport(CompletionReport{ kRequest, now + milliseconds(200) },
                  now + milliseconds(200));
  poison.OnRecorded(*next, now + milliseconds(400));
  CHECK_FALSE(IsQuarantined());
}

// The clock counts from the machine's boot: what others report, or recorded,
// from before it has negative times.
TEST(PoisonRequests, WhatHappenedBeforeAMachineBootedCounts)
{
  start = core::Instant{ seconds(5) } - minutes(3);
  CrashThree();
  CHECK(IsQuarantined());
  poison.OnRecorded({ kOther, start + minutes(4), 3 }, start + minutes(3));
  CHECK(IsQuarantined(kOther));
}

// An instance of a version that sends without a record, or that could not read
// the record, crashes a target after the end.
TEST(PoisonRequests, OneCrashAfterAQuarantineBeginsALongerOne)
{
  CrashThree();
  const core::Duration later = seconds(63);
  const auto outcome = poison.OnReport(Crash(later, later + milliseconds(80)),
                                       start + later + milliseconds(80));
  CHECK(outcome.quarantine.has_value());
  LONGS_EQUAL(2, outcome.quarantine->count);
  CHECK_FALSE(MayProbe(start + later + minutes(4)));
  CHECK(MayProbe(start + later + minutes(6)));
}

// Copies that were at targets already crash them, too.
TEST(PoisonRequests, RunsFromBeforeAQuarantineDoNotMakeItLonger)
{
  for (int i = 0; i < 5; ++i) {
    poison.OnReport(Crash(seconds(i), seconds(i) + milliseconds(80)),
                    start + seconds(i) + milliseconds(80));
  }
  CHECK(MayProbe(start + seconds(63)));
}

TEST(PoisonRequests, ASuspectIsForgottenAfterAWhile)
{
  poison.OnReport(Crash(seconds(0), milliseconds(80)), start);
  poison.Tick(start + minutes(11));
  CHECK(poison.IsEmpty());
}

// A request that is never answered with success is at targets that are lost
// now and then, over days.
TEST(PoisonRequests, CrashesFarApartDoNotAddUp)
{
  for (int i = 0; i < 5; ++i) {
    const core::Duration at = minutes(20 * i);
    poison.OnReport(Crash(at, at + milliseconds(80)), start + at + seconds(1));
    LONGS_EQUAL(1, poison.CrashCount(kRequest));
  }
}

// Operators remove the record of a quarantine that was a mistake.
TEST(PoisonRequests, ARemovedRecordEndsItsQuarantine)
{
  poison.OnRecorded({ kRequest, start + minutes(5), 2 }, start);
  poison.OnRecorded({ kRequest, core::Instant{}, 0 }, start + seconds(1));
  CHECK_FALSE(IsQuarantined());
  CHECK(poison.IsEmpty());
}

// A crash of a target with many requests must not push a quarantine out.
TEST(PoisonRequests, ManySuspectsDoNotPushAQuarantineOut)
{
  CrashThree();
  const core::PoisonRequestsOptions options;
  for (std::size_t i = 0; i < options.max_suspects + 10; ++i) {
    poison.OnReport(
      Crash(seconds(4), seconds(5), RequestFingerprint{ 100 + i }),
      start + seconds(5));
  }
  LONGS_EQUAL(options.max_suspects, poison.Suspects());
  CHECK(IsQuarantined());
}

TEST(PoisonRequests, ARecordedQuarantineCountsWithoutItsCrashes)
{
  poison.OnRecorded({ kRequest, start + minutes(5), 2 }, start);
  CHECK(IsQuarantined());
  CHECK_FALSE(MayProbe(start + minutes(4)));
  CHECK(MayProbe(start + minutes(6)));
}

TEST_GROUP(PoisonParts)
{
  core::PoisonRequests poison;
  core::Instant start{ minutes(60) };

  /// A request with a part was at a target that crashed.
  void Crash(RequestFingerprint aPart,
             unsigned aTarget,
             core::Duration aSent,
             core::Duration aCrashed,
             std::uint32_t aDepth = 2)
  {
    poison.OnReport(CrashReport{ aPart,
                                 TargetKey{ aTarget },
                                 core::DataCentreKey{ aTarget },
                                 start + aSent,
                                 start + aCrashed,
                                 aDepth },
                    start + aCrashed);
  }
  /// So were requests with it at several targets, one after the other.
  void CrashEach(RequestFingerprint aPart,
                 unsigned aFirst,
                 unsigned aLast,
                 std::uint32_t aDepth = 2)
  {
    for (unsigned target = aFirst; target <= aLast; ++target) {
      const auto sent = seconds(target);
      Crash(aPart, target, sent, sent + milliseconds(100), aDepth);
    }
  }
  bool IsQuarantined(RequestFingerprint aPart, core::Duration aAfter)
  {
    poison.Decide(start + aAfter);
    return poison.QuarantinedUntil(aPart).has_value();
  }
};

TEST(PoisonParts, ThreeSettledCrashesBeginAQuarantine)
{
  CrashEach(kRequest, 1, 3);
  CHECK_FALSE(IsQuarantined(kRequest, seconds(3) + milliseconds(200)));
  const auto begun = poison.Decide(start + seconds(4));
  LONGS_EQUAL(1, begun.size());
  CHECK(begun.front().kind == core::SuspectKind::kPart);
  CHECK(IsQuarantined(kRequest, seconds(4)));
}

// A part in common use is at many targets at a time, in all data centres.
TEST(PoisonParts, TargetsThatCrashTogetherCountOnce)
{
  for (unsigned target = 1; target <= 6; ++target) {
    Crash(kRequest, target, milliseconds(10), milliseconds(500 + target));
  }
  CHECK_FALSE(IsQuarantined(kRequest, seconds(10)));
  LONGS_EQUAL(1, poison.CrashCount(kRequest));
}

TEST(PoisonParts, TheOneWithMoreCrashesIsBlamed)
{
  CrashEach(kOther, 1, 3);
  CrashEach(kRequest, 1, 4);
  CHECK(IsQuarantined(kRequest, seconds(6)));
  CHECK_FALSE(IsQuarantined(kOther, seconds(60)));
  LONGS_EQUAL(0, poison.UnexplainedCrashes(kOther));
}

TEST(PoisonParts, NoVerdictBetweenEqualsBeforeTheFifthCrash)
{
  CrashEach(kRequest, 1, 4);
  CrashEach(kOther, 1, 4);
  CHECK_FALSE(IsQuarantined(kRequest, seconds(6)));
  CHECK_FALSE(IsQuarantined(kOther, seconds(6)));
  CrashEach(kRequest, 5, 5);
  CrashEach(kOther, 5, 5);
  CHECK(IsQuarantined(kRequest, seconds(7)) !=
        IsQuarantined(kOther, seconds(7)));
}

// All requests that hold the later part hold the earlier one.
TEST(PoisonParts, TheLaterPartIsBlamedForWhatBothExplain)
{
  CrashEach(kRequest, 1, 4, 1);
  CrashEach(kOther, 1, 4, 2);
  CHECK(IsQuarantined(kOther, seconds(6)));
  CHECK_FALSE(IsQuarantined(kRequest, seconds(60)));
}

TEST(PoisonParts, ACompleteAnswerClearsOrReleasesIt)
{
  CrashEach(kRequest, 1, 3);
  poison.OnReport(
    CompletionReport{ kRequest, start + seconds(3) + milliseconds(300) },
    start + seconds(4));
  CHECK_FALSE(IsQuarantined(kRequest, seconds(5)));
  CrashEach(kRequest, 5, 7);
  CHECK(IsQuarantined(kRequest, seconds(9)));
  CHECK(poison.NeedsCompletion(kRequest, start + seconds(10)));
  const auto outcome = poison.OnReport(
    CompletionReport{ kRequest, start + seconds(10) }, start + seconds(10));
  CHECK(outcome.quarantine && outcome.quarantine->IsReleased());
  CHECK_FALSE(IsQuarantined(kRequest, seconds(11)));
}

// The reports of the later part's crashes come one after the other, too.
TEST(PoisonParts, APartThatMayExplainMoreIsWaitedFor)
{
  CrashEach(kOther, 1, 4, 1);
  for (unsigned target = 1; target <= 4; ++target) {
    Crash(kRequest, target, seconds(1), seconds(target) + milliseconds(100));
  }
  CHECK_FALSE(IsQuarantined(kOther, seconds(8)));
  CHECK_FALSE(IsQuarantined(kRequest, seconds(8)));
}

// It says nothing of what came after it, however late it arrives.
TEST(PoisonParts, AnAnswerFromBeforeTheCrashesReleasesNothing)
{
  CrashEach(kRequest, 1, 3);
  CHECK(IsQuarantined(kRequest, seconds(5)));
  poison.OnReport(CompletionReport{ kRequest, start + milliseconds(900) },
                  start + seconds(6));
  CHECK(IsQuarantined(kRequest, seconds(7)));
}

// One request that is sent again and again holds its parts each time.
TEST(PoisonParts, ARequestInQuarantineExplainsTheCrashesOfItsParts)
{
  CrashEach(kOther, 1, 3, 0);
  CrashEach(kRequest, 1, 3);
  CHECK(IsQuarantined(kOther, seconds(6)));
  CHECK_FALSE(IsQuarantined(kRequest, seconds(6)));
  CrashEach(kRequest, 7, 8);
  CHECK(IsQuarantined(kRequest, seconds(10)));
}
