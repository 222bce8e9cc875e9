#include "poison_report_codec.hpp"

#include <CppUTest/TestHarness.h> // for TEST

using namespace jujubehead;
using std::chrono::milliseconds;
using std::chrono::minutes;

TEST_GROUP(PoisonReportCodec){};

// Instances' clocks have no common origin.
TEST(PoisonReportCodec, TimesArriveOnTheReadersClock)
{
  const core::Instant now{ minutes(60) };
  const core::RequestFingerprint request{ 0xfedcba9876543210U };
  const std::vector<core::PoisonReport> reports = {
    core::CrashReport{ request,
                       core::TargetKey{ 0xfedcba98U },
                       core::DataCentreKey{ 0x89abcdefU },
                       now - milliseconds(300),
                       now - milliseconds(200),
                       2 },
    core::CompletionReport{ request, now - milliseconds(100) }
  };
  const core::Instant other{ minutes(2) };
  const auto read = node::PoisonReportsFromBytes(
    node::PoisonReportsToBytes(reports, now), other - milliseconds(20), other);
  LONGS_EQUAL(2, read.size());
  const auto& crash = std::get<core::CrashReport>(read[0]);
  CHECK(crash.fingerprint == request);
  CHECK(crash.target == core::TargetKey{ 0xfedcba98U });
  CHECK(crash.data_centre == core::DataCentreKey{ 0x89abcdefU });
  UNSIGNED_LONGS_EQUAL(2, crash.depth);
  CHECK(crash.sent == other - milliseconds(300));
  CHECK(crash.crashed == other - milliseconds(200));
  const auto& completion = std::get<core::CompletionReport>(read[1]);
  CHECK(completion.fingerprint == request);
  CHECK(completion.completed == other - milliseconds(120));
}

TEST(PoisonReportCodec, MalformedBytesThrow)
{
  CHECK_THROWS(std::exception, node::PoisonReportsFromBytes("\xff", {}, {}));
  CHECK_THROWS(std::exception,
               node::PoisonReportsFromBytes("\x81\x01", {}, {}));
}
