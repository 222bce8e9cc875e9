#include "jujubehead/node/stream_progress.hpp"

#include <CppUTest/TestHarness.h> // for TEST

#include <stdexcept> // for invalid_argument

using jujubehead::node::StreamProgress;
using jujubehead::node::UsageOf;

namespace {

std::string
Delta(const std::string& aId, const std::string& aDelta)
{
  return R"({"id":")" + aId +
         R"(","created":5,"choices":[{"index":0,"delta":)" + aDelta + "}]}";
}

const std::string kRole = R"({"role":"assistant","content":""})";
const std::string kHello = R"({"content":"hello "})";
const std::string kFinish =
  R"({"id":"b","created":9,"choices":[{"index":0,"delta":{},"finish_reason":"stop"}]})";

} // namespace

TEST_GROUP(StreamProgress)
{
  StreamProgress progress;
};

TEST(StreamProgress, CountsTokensAndPassesEventsOnUnchanged)
{
  const std::string role = Delta("a", kRole);
  const std::string token = Delta("a", kHello);
  CHECK(progress.Take(role) == role);
  LONGS_EQUAL(0, progress.Tokens());
  CHECK(progress.Take(token) == token);
  LONGS_EQUAL(1, progress.Tokens());
  CHECK_FALSE(progress.IsDone());
  CHECK(progress.Take("[DONE]") == "[DONE]");
  CHECK(progress.IsDone());
}

TEST(StreamProgress, AResumedStreamKeepsTheFirstIdAndRepeatsNoRole)
{
  progress.Take(Delta("a", kRole));
  progress.Take(Delta("a", kHello));
  progress.Resume();
  CHECK_FALSE(progress.Take(Delta("b", kRole)).has_value());
  const auto next = progress.Take(Delta("b", kHello));
  CHECK(next->find(R"("id":"a")") != std::string_view::npos);
  LONGS_EQUAL(2, progress.Tokens());
}

// What two software versions write does not fit together.
TEST(StreamProgress, AStreamDoesNotGoOnAtAnotherSoftwareVersion)
{
  const auto event = [](const char* aVersion) {
    return R"({"id":"a","system_fingerprint":")" + std::string(aVersion) +
           R"(","choices":[{"index":0,"delta":{"content":"hello "}}]})";
  };
  progress.Take(event("fp_1"));
  progress.Resume();
  CHECK_THROWS(std::invalid_argument, progress.Take(event("fp_2")));
  CHECK_THROWS(std::invalid_argument, progress.Take(Delta("b", kHello)));
  LONGS_EQUAL(1, progress.Tokens());
  progress.Resume();
  CHECK(progress.Take(event("fp_1")).has_value());
  LONGS_EQUAL(2, progress.Tokens());
}

TEST(StreamProgress, AStreamCutAfterItsLastTokenIsOnlyFinished)
{
  progress.Take(Delta("a", kHello));
  progress.Take(kFinish);
  progress.Resume();
  CHECK_FALSE(progress.Take(kFinish).has_value());
  CHECK(progress.Take(R"({"id":"b","choices":[],"usage":{"prompt_tokens":7}})")
          .has_value());
  LONGS_EQUAL(7, progress.Usage()->prompt_tokens);
  CHECK(progress.Take("[DONE]").has_value());
}

TEST(StreamProgress, AnythingButPlainTextCannotBeResumed)
{
  CHECK(progress.CanResume());
  progress.Take(Delta("a", R"({"tool_calls":[{"index":0}]})"));
  CHECK_FALSE(progress.CanResume());
}

TEST(StreamProgress, MoreThanOneChoiceCannotBeResumed)
{
  progress.Take(R"({"id":"a","choices":[{"index":1,"text":"x"}]})");
  CHECK_FALSE(progress.CanResume());
}

TEST(StreamProgress, WhatIsNoEventIsAnError)
{
  CHECK_THROWS(std::invalid_argument, progress.Take("<html>"));
}

TEST(StreamProgress, UsageTellsCachedAndImportedTokens)
{
  const auto usage = UsageOf(
    R"({"usage":{"prompt_tokens":100,"completion_tokens":2,
        "prompt_tokens_details":{"cached_tokens":64}},
        "jujubehead":{"recomputed_tokens":20,"imported_tokens":16}})");
  LONGS_EQUAL(64, usage->cached_tokens);
  LONGS_EQUAL(20, usage->recomputed_tokens);
  LONGS_EQUAL(16, usage->imported_tokens);
  CHECK_FALSE(UsageOf("[]").has_value());
}
