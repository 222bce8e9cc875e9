#include "jujubehead/core/routing/request_fingerprint.hpp"

#include <CppUTest/TestHarness.h> // for TEST

using namespace jujubehead;
using core::FingerprintInput;
using core::FingerprintOf;

namespace {

FingerprintInput
Request()
{
  return { core::AccountId("acme"), "POST", "a.example", "/chat?x=1", "hello" };
}

} // namespace

TEST_GROUP(RequestFingerprint){};

TEST(RequestFingerprint, TheSameContentGivesTheSameFingerprint)
{
  CHECK(FingerprintOf(Request()) == FingerprintOf(Request()));
}

// A request with another caller's, route's or body's fingerprint would be
// refused for what the other one did.
TEST(RequestFingerprint, EachFieldCountsAndNoneRunsIntoTheNext)
{
  const auto known = FingerprintOf(Request());
  FingerprintInput other = Request();
  other.account = core::AccountId("acme2");
  CHECK(FingerprintOf(other) != known);
  other = Request();
  other.method = "PUT";
  CHECK(FingerprintOf(other) != known);
  other = Request();
  other.host = "b.example";
  CHECK(FingerprintOf(other) != known);
  other = Request();
  other.target = "/chat?x=2";
  CHECK(FingerprintOf(other) != known);
  other = Request();
  other.body = "hello ";
  CHECK(FingerprintOf(other) != known);
  other = Request();
  other.target = "/chat?x=1h";
  other.body = "ello";
  CHECK(FingerprintOf(other) != known);
}

TEST(RequestFingerprint, TextIsSixteenHexDigits)
{
  const auto value = static_cast<core::RequestFingerprint>(0x0123456789abcdefU);
  STRCMP_EQUAL("0123456789abcdef", core::ToText(value).c_str());
}

// An account must not get requests of another one refused.
TEST(RequestFingerprint, PartsOfTwoAccountsDiffer)
{
  const auto known = core::PartFingerprintOf(core::AccountId("acme"), "5c1e");
  CHECK(core::PartFingerprintOf(core::AccountId("acme"), "5c1e") == known);
  CHECK(core::PartFingerprintOf(core::AccountId("acme"), "5c1f") != known);
  CHECK(core::PartFingerprintOf(core::AccountId("acme2"), "5c1e") != known);
  CHECK(core::PartFingerprintOf(core::AccountId("acme5"), "c1e") != known);
}
