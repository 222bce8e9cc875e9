#include "standin/entry_deployment.hpp"

#include <thread> // for sleep_for

#include <CppUTest/TestHarness.h> // for TEST

using namespace jujubehead;
using nlohmann::json;
using standin::EntryDeployment;
using std::chrono::milliseconds;

namespace {

constexpr std::size_t kInstances = 4;
constexpr std::size_t kStreams = 12;
constexpr unsigned kOk = 200;
constexpr unsigned kUnavailable = 503;
/// Events until a stream breaks, and its last one.
constexpr int kBreakAfter = 2;
constexpr const char* kLastEvent = "id: 8";
/// Until a version counts as the only one, and until streams begin at one that
/// has joined.
constexpr std::chrono::seconds kSoleTime{ 21 };
constexpr milliseconds kSettleTime{ 4500 };
/// Time in which instances pass on what they know of a stream.
constexpr milliseconds kExchangeTime{ 300 };

bool
Has(const net::HttpResponse& aResponse, const char* aText)
{
  return aResponse.body.find(aText) != std::string::npos;
}

bool
IsMixed(const net::HttpResponse& aResponse)
{
  return Has(aResponse, " of v1") && Has(aResponse, " of v2");
}

} // namespace

// Targets of a service run two versions of their software, whose events do not
// fit together.
TEST_GROUP(SoftwareVersions)
{
  std::unique_ptr<EntryDeployment> deployment;
  int sent = 0;

  void Start(const std::vector<std::string>& aVersions)
  {
    deployment = EntryDeployment::Start({ .targets = aVersions.size(),
                                          .instances = kInstances,
                                          .software_versions = aVersions });
  }
  /// Streams of a target break off after some events.
  void SetBreaks(const std::string& aTarget, bool aBreaks)
  {
    deployment->SetFault(aTarget,
                         "break_after",
                         aBreaks ? json{ { "events", kBreakAfter } }
                                 : json::object());
  }
  net::HttpResponse SendAt(std::size_t aInstance, net::HttpHeaders aLines)
  {
    lines_id = "r" + std::to_string(++sent);
    aLines.Add("X-Attempt-Id", lines_id);
    aLines.Add("Authorization", "Token key-1");
    aLines.Add("X-Model", "m1");
    aLines.Add("X-Prompt-Prefix", "p" + std::to_string(sent) + ":10,q:5");
    return deployment->CallAt(aInstance, "POST", "/chat/x", aLines, "hello");
  }
  /// Begins streams at an instance until one has broken off at model0.
  /// @return its id.
  std::string BreakStreamAt(std::size_t aInstance)
  {
    SetBreaks("model0", true);
    for (int i = 0; i < 100; ++i) {
      const net::HttpResponse response = SendAt(aInstance, {});
      CHECK_FALSE(IsMixed(response));
      if (response.status == 0 && Has(response, " of v1")) {
        break;
      }
    }
    SetBreaks("model0", false);
    std::this_thread::sleep_for(kExchangeTime);
    return lines_id;
  }
  /// The caller takes a stream up at another instance, which goes on with it or
  /// refuses it.
  net::HttpResponse TakeUpAt(std::size_t aInstance, const std::string& aId)
  {
    net::HttpHeaders lines;
    lines.Add("Last-Event-Id", std::to_string(kBreakAfter));
    lines.Add("Resumes", aId);
    net::HttpResponse response = SendAt(aInstance, lines);
    CHECK(response.status == kOk || response.status == kUnavailable);
    return response;
  }
  /// The caller goes on with a stream of v1 at another instance.
  /// @return whether the rest came; the stream was refused if not.
  bool GoOnAt(std::size_t aInstance, const std::string& aId)
  {
    const net::HttpResponse response = TakeUpAt(aInstance, aId);
    CHECK_FALSE(Has(response, " of v2"));
    return response.status == kOk && Has(response, kLastEvent);
  }
  std::string lines_id; ///< Of the last request.
};

// The target of a stream ends, and the instance goes on with it at the next
// one, which runs another version.
TEST(SoftwareVersions, OneAnswerHasEventsOfOneVersion)
{
  Start({ "v1", "v2", "v2" });
  SetBreaks("model0", true);
  bool has_broken = false;
  for (std::size_t i = 0; i < 100; ++i) {
    const net::HttpResponse response = SendAt(i % kInstances, {});
    CHECK_FALSE(IsMixed(response));
    has_broken = has_broken || response.status == 0;
  }
  CHECK(has_broken);
}

// A caller whose stream broke off goes on with it at an instance that does not
// know where it began.
TEST(SoftwareVersions, ACallersNextTryGoesOnAtTheVersionThatBeganAtAnyInstance)
{
  Start({ "v1", "v2" });
  std::size_t gone_on = 0;
  for (std::size_t i = 0; i < kStreams; ++i) {
    const std::string id = BreakStreamAt(i % kInstances);
    gone_on += GoOnAt((i + 1 + i / 4) % kInstances, id) ? 1 : 0;
  }
  CHECK(2 * gone_on >= kStreams);
}

// The instance that began a stream is gone, with what it knew.
TEST(SoftwareVersions, StreamsOutliveTheInstanceThatBeganThem)
{
  Start({ "v1", "v2" });
  std::size_t gone_on = 0;
  constexpr std::size_t kRounds = 4;
  for (std::size_t i = 0; i < kRounds; ++i) {
    const std::string id = BreakStreamAt(i);
    deployment->RestartAt(i);
    gone_on += GoOnAt(i, id) ? 1 : 0; // It knows less than any other.
  }
  CHECK(2 * gone_on >= kRounds);
}

// Where nobody knows which version began a stream, it must not go on at any.
TEST(SoftwareVersions, AnUnknownStreamIsRefused)
{
  Start({ "v1", "v2" });
  for (std::size_t i = 0; i < kStreams; ++i) {
    CHECK_FALSE(GoOnAt(i % kInstances, "unknown"));
  }
}

// Its second target is gone as well: the first event's attempt is named again.
TEST(SoftwareVersions, AStreamGoesOnMoreThanOnce)
{
  Start({ "v1", "v2" });
  const std::string id = BreakStreamAt(0);
  CHECK(GoOnAt(1, id));
  CHECK(GoOnAt(2, id));
}

TEST(SoftwareVersions, StreamsGoOnWhereAllTargetsRunOneVersion)
{
  Start({ "v1", "v1" });
  std::size_t gone_on = 0;
  for (std::size_t i = 0; i < kStreams; ++i) {
    SetBreaks("model1", true);
    const std::string id = BreakStreamAt(i % kInstances);
    SetBreaks("model1", false);
    gone_on += GoOnAt((i + 1) % kInstances, id) ? 1 : 0;
  }
  CHECK(2 * gone_on >= kStreams);
}

// A release while one instance stands still: its copy of the versions still
// names the former one as the only one, and it went on there with a stream that
// had begun at the new one.
TEST(SoftwareVersions, AnInstanceThatStoodStillDoesNotGoOnAtAFormerVersion)
{
  deployment = EntryDeployment::Start({ .targets = 1,
                                        .instances = kInstances,
                                        .software_versions = { "v1", "v2" } });
  std::this_thread::sleep_for(kSoleTime);
  constexpr std::size_t kLate = kInstances - 1;
  deployment->HoldControl(kLate, 3 * kSettleTime);
  deployment->AddTarget("model1");
  std::this_thread::sleep_for(kSettleTime);
  SetBreaks("model1", true);
  bool has_broken = false;
  for (int i = 0; i < 200 && !has_broken; ++i) {
    const net::HttpResponse response = SendAt(0, {});
    has_broken = response.status == 0 && Has(response, " of v2");
  }
  CHECK(has_broken);
  const std::string id = lines_id;
  std::this_thread::sleep_for(kExchangeTime);
  SetBreaks("model1", false);
  CHECK_FALSE(Has(TakeUpAt(kLate, id), " of v1"));
}
