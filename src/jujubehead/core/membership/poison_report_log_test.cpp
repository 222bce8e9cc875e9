#include "jujubehead/core/membership/poison_report_log.hpp"

#include <CppUTest/TestHarness.h> // for TEST

using namespace jujubehead;
using core::CompletionReport;
using core::CrashReport;
using core::PoisonReportLog;
using core::ReportOrigin;
using core::RequestFingerprint;
using core::TargetKey;
using std::chrono::minutes;
using std::chrono::seconds;

namespace {

CrashReport
Crash(std::uint64_t aRequest, unsigned aTarget, core::Instant aNow)
{
  return {
    RequestFingerprint{ aRequest }, TargetKey{ aTarget }, {}, aNow, aNow
  };
}

} // namespace

TEST_GROUP(PoisonReportLog)
{
  core::Instant now{ minutes(60) };
  PoisonReportLog log;
};

TEST(PoisonReportLog, EachReceiverGetsEachReportOnce)
{
  CHECK(log.Put(Crash(1, 1, now), ReportOrigin::kBelow, now));
  const auto first = log.After(0, false);
  LONGS_EQUAL(1, first.reports.size());
  CHECK(log.Put(Crash(1, 2, now), ReportOrigin::kBelow, now));
  LONGS_EQUAL(1, log.After(first.next, false).reports.size());
  LONGS_EQUAL(2, log.After(0, false).reports.size());
}

// A report that came back would circulate for ever.
TEST(PoisonReportLog, AKnownReportIsNotAddedAgain)
{
  CHECK(log.Put(Crash(1, 1, now), ReportOrigin::kBelow, now));
  CHECK_FALSE(log.Put(Crash(1, 1, now), ReportOrigin::kPeer, now));
  const CompletionReport completion{ RequestFingerprint{ 1 }, now };
  CHECK(log.Put(completion, ReportOrigin::kBelow, now));
  CHECK_FALSE(log.Put(Crash(1, 1, now), ReportOrigin::kPeer, now));
  CHECK_FALSE(log.Put(completion, ReportOrigin::kBelow, now));
  CHECK(log.Put(CompletionReport{ RequestFingerprint{ 1 }, now + seconds(2) },
                ReportOrigin::kBelow,
                now));
  LONGS_EQUAL(1, log.Size());
}

// An instance that starts would take a request for poison that was answered
// after each crash.
TEST(PoisonReportLog, ACompletionReplacesTheCrashesBeforeIt)
{
  log.Put(Crash(1, 1, now), ReportOrigin::kBelow, now);
  log.Put(Crash(1, 2, now + seconds(2)), ReportOrigin::kBelow, now);
  log.Put(Crash(2, 2, now), ReportOrigin::kBelow, now);
  const CompletionReport completion{ RequestFingerprint{ 1 },
                                     now + seconds(1) };
  log.Put(completion, ReportOrigin::kBelow, now);
  LONGS_EQUAL(3, log.Size());
  CHECK_FALSE(log.Put(Crash(1, 3, now), ReportOrigin::kBelow, now));
}

TEST(PoisonReportLog, WhatAReaderSentIsNotSentToReaders)
{
  log.Put(Crash(1, 1, now), ReportOrigin::kPeer, now);
  log.Put(Crash(1, 2, now), ReportOrigin::kBelow, now);
  LONGS_EQUAL(1, log.After(0, true).reports.size());
  LONGS_EQUAL(2, log.After(0, false).reports.size());
}

TEST(PoisonReportLog, MessagesAndTheLogAreBounded)
{
  core::PoisonReportLogOptions options;
  options.max_in_message = 3;
  options.max_reports = 10;
  PoisonReportLog small(options);
  for (unsigned i = 0; i < 20; ++i) {
    small.Put(Crash(i, 1, now), ReportOrigin::kBelow, now);
  }
  LONGS_EQUAL(10, small.Size());
  const auto page = small.After(0, false);
  LONGS_EQUAL(3, page.reports.size());
  CHECK(page.has_more);
  LONGS_EQUAL(3, small.After(page.next, false).reports.size());
}

TEST(PoisonReportLog, OldReportsAreDropped)
{
  log.Put(Crash(1, 1, now), ReportOrigin::kBelow, now);
  log.Put(Crash(2, 1, now), ReportOrigin::kBelow, now + minutes(11));
  LONGS_EQUAL(1, log.Size());
}
