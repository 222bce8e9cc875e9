#include <atomic> // for atomic
#include <future> // for async
#include <map>    // for map
#include <thread> // for sleep_for

#include <CppUTest/TestHarness.h> // for TEST

#include "standin/entry_deployment.hpp"

using namespace jujubehead;
using nlohmann::json;
using standin::EntryDeployment;
using standin::EntryDeploymentOptions;

namespace {

constexpr std::size_t kTargets = 3;
constexpr std::size_t kInstances = 3;
/// Time in which an instance has to notice that its paths are cut.
constexpr std::chrono::seconds kContactTime{ 3 };

EntryDeploymentOptions
OptionsWithPathViews()
{
  EntryDeploymentOptions options;
  options.targets = kTargets;
  options.instances = kInstances;
  options.has_path_views = true;
  return options;
}

} // namespace

TEST_GROUP(PartitionedInstance)
{
  std::unique_ptr<EntryDeployment> deployment =
    EntryDeployment::Start(OptionsWithPathViews());
  std::atomic<int> requests = 0;

  /// Sends a call that may run once, or a prompt.
  net::HttpResponse Send(const std::string& aPath, const std::string& aBody)
  {
    const std::string number = std::to_string(++requests);
    net::HttpHeaders lines;
    lines.Add("X-Attempt-Id", "r" + number);
    lines.Add("Authorization", "Token key-1");
    lines.Add("X-Deadline-Ms", "3000");
    if (aPath.starts_with("/chat/")) {
      lines.Add("X-Model", "m1");
      lines.Add("X-Token-Usage", "1460,80");
      lines.Add("X-Prompt-Prefix", "aa:800,b" + number + ":9");
    }
    return deployment->CallAt(0, "POST", aPath, lines, aBody);
  }

  /// @return all runs that the targets of a kind saw.
  json Runs(const std::string& aKind)
  {
    json runs = json::array();
    for (std::size_t i = 0; i < kTargets; ++i) {
      const json stats = deployment->Stats(aKind + std::to_string(i));
      for (const json& run : stats.at("runs")) {
        runs.push_back(run);
      }
    }
    return runs;
  }
  void SetFaultOfAll(
    const std::string& aKind, const std::string& aFault, const json& aBody)
  {
    for (std::size_t i = 0; i < kTargets; ++i) {
      deployment->SetFault(aKind + std::to_string(i), aFault, aBody);
    }
  }
  /// Cuts the paths, and sends until the instance takes them for lost.
  void Partition(const std::string& aCut)
  {
    deployment->SetCut(0, aCut);
    SendWhileNoticing();
    CHECK(deployment->Total(0, node::Counter::kTunnels) > 0);
  }

  /// @return how many of some requests of each kind are answered.
  int CountAnswered(int aRequests)
  {
    int answered = 0;
    for (int i = 0; i < aRequests; ++i) {
      answered += Send("/once/x", "a").status == 200 ? 1 : 0;
      answered += Send("/chat/x", "hello").status == 200 ? 1 : 0;
    }
    return answered;
  }

  /// Sends requests for the time in which the cut has to be noticed.
  void SendWhileNoticing()
  {
    const auto end = std::chrono::steady_clock::now() + kContactTime;
    while (std::chrono::steady_clock::now() < end) {
      CountAnswered(1);
    }
  }

  void CheckAnswersDuring(const std::string& aCut)
  {
    constexpr int kRequests = 15;
    LONGS_EQUAL(2 * kRequests, CountAnswered(kRequests));
    deployment->SetCut(0, aCut);
    SendWhileNoticing();
    const int answered = CountAnswered(kRequests);
    CHECK_TEXT(answered >= 2 * kRequests * 9 / 10,
               std::to_string(answered).c_str());
    deployment->SetCut(0, "none");
    SendWhileNoticing();
    LONGS_EQUAL(2 * kRequests, CountAnswered(kRequests));
  }
};

// An instance knew one path to a target, its own: when that was silent, all its
// requests failed while the other instances reached every target.
TEST(PartitionedInstance, AnswersWhileItsPathsAreSilent)
{
  CheckAnswersDuring("silent");
}

TEST(PartitionedInstance, AnswersWhileNothingPassesToTargets)
{
  CheckAnswersDuring("to_target");
}

TEST(PartitionedInstance, AnswersWhileItsConnectionsAreReset)
{
  CheckAnswersDuring("reset");
}

TEST(PartitionedInstance, AnswersWhileNewConnectionsAreRefused)
{
  CheckAnswersDuring("closed");
}

// Connections that are reset and refused looked like targets that had crashed:
// requests under way at a partitioned instance counted as poison, and all
// instances refused their copies.
TEST(PartitionedInstance, ItsBrokenRequestsAreNoPoison)
{
  const std::string body = "sent again and again";
  std::atomic<bool> is_ending = false;
  const auto call = [&] {
    while (!is_ending) {
      Send("/chat/x", body);
    }
  };
  auto one = std::async(std::launch::async, call);
  auto other = std::async(std::launch::async, call);
  constexpr int kCuts = 25;
  for (int i = 0; i < kCuts; ++i) {
    deployment->SetCut(0, "reset");
    std::this_thread::sleep_for(std::chrono::milliseconds(60));
    deployment->SetCut(0, "none");
    std::this_thread::sleep_for(std::chrono::milliseconds(60));
  }
  is_ending = true;
  one.wait();
  other.wait();
  LONGS_EQUAL(0, deployment->Total(0, node::Counter::kTargetCrashes));
  LONGS_EQUAL(200, Send("/chat/x", body).status);
}

// A second way to a target must not become a second send of what may run once.
TEST(PartitionedInstance, ACallThatMayRunOnceRunsOnce)
{
  constexpr unsigned kUnavailable = 503;
  constexpr int kCalls = 200;
  std::map<std::string, unsigned> statuses;
  for (int i = 0; i < kCalls; ++i) {
    if (i % 20 == 0) {
      deployment->SetCut(0, i % 40 == 0 ? "none" : "reset");
    }
    const unsigned status = Send("/once/x", "a").status;
    statuses["r" + std::to_string(requests)] = status;
  }
  std::map<std::string, int> runs;
  for (const json& run : Runs("service")) {
    ++runs[run["lines"]["X-Attempt-Id"].get<std::string>()];
  }
  for (const auto& [id, status] : statuses) {
    CHECK_TEXT(runs[id] <= (status == kUnavailable ? 0 : 1), id.c_str());
  }
  CHECK(deployment->Total(0, node::Counter::kTunnels) > 0);
}

// Work that goes on at a target after its caller has left, as a peer keeps the
// connection, takes capacity from others.
TEST(PartitionedInstance, WorkEndsSoonAfterTheCallerLeft)
{
  Partition("silent");
  SetFaultOfAll("service", "mute", { { "ms", 3000 } });
  deployment->CallAndLeave(
    "POST /once/x HTTP/1.1\r\nHost: a.example\r\nX-Attempt-Id: left\r\n"
    "Authorization: Token key-1\r\nContent-Length: 0\r\n\r\n",
    std::chrono::milliseconds(300));
  const auto left = std::chrono::steady_clock::now();
  CHECK(deployment->Await([&] {
    int cut = 0;
    for (std::size_t i = 0; i < kTargets; ++i) {
      cut +=
        deployment->Stats("service" + std::to_string(i)).at("cut").get<int>();
    }
    return cut == 1;
  }));
  CHECK(std::chrono::steady_clock::now() - left <
        std::chrono::milliseconds(500));
}

// A target works until the deadline that it is given: what the connection
// through a peer took must be off it.
TEST(PartitionedInstance, TheDeadlineIsWhatIsLeft)
{
  constexpr int kCallerMs = 3000;
  Partition("silent");
  LONGS_EQUAL(200, Send("/once/x", "a").status);
  const json lines = Runs("service").back()["lines"];
  const int ms = std::stoi(lines["X-Deadline-Ms"].get<std::string>());
  CHECK(ms > 0 && ms < kCallerMs);
}

// A stream that breaks within an event goes on after the last whole one, and an
// end that a peer passes on must not look like an orderly one.
TEST(PartitionedInstance, AStreamThatBreaksGoesOnElsewhere)
{
  Partition("silent");
  SetFaultOfAll("model", "break_after", { { "events", 3 } });
  deployment->SetFault("model2", "break_after", { { "events", 100 } });
  const std::uint64_t resumes = deployment->Total(0, node::Counter::kResumes);
  std::string whole;
  for (int i = 1; i <= 8; ++i) {
    const std::string number = std::to_string(i);
    whole.append("id: ").append(number).append("\ndata: token");
    whole.append(number).append("\n\n");
  }
  int broken = 0;
  for (int i = 0; i < 12; ++i) {
    const auto response = Send("/chat/x", "hello");
    if (response.status == 200) {
      STRCMP_EQUAL(whole.c_str(), response.body.c_str());
    } else {
      ++broken; // Both targets that it may run on broke off.
    }
  }
  CHECK(deployment->Total(0, node::Counter::kResumes) > resumes);
  CHECK(broken < 12);
}

// A connection through a peer is no second arrival: it must not use up the
// retries, which all instances share.
TEST(PartitionedInstance, ATunnelIsNoRetry)
{
  Partition("silent");
  const std::uint64_t before = deployment->Total(0, node::Counter::kRetries);
  LONGS_EQUAL(40, CountAnswered(20));
  LONGS_EQUAL(before, deployment->Total(0, node::Counter::kRetries));
}

// The instance that took the request reports its crash, and not the peer, too:
// a request must not count as poison after half of the crashes.
TEST(PartitionedInstance, ACrashBehindAPeerCountsOnce)
{
  Partition("silent");
  SetFaultOfAll("service", "crash_on", { { "body", "poison" } });
  const std::size_t before = deployment->Crashes();
  Send("/once/x", "poison");
  CHECK(deployment->Await([&] { return deployment->Crashes() > before; }));
  LONGS_EQUAL(before + 1, deployment->Crashes());
  std::uint64_t counted = 0;
  for (std::size_t i = 0; i < kInstances; ++i) {
    counted += deployment->Total(i, node::Counter::kTargetCrashes);
  }
  LONGS_EQUAL(1, counted);
}

// Its row outlives an instance. While none of those in the rows replied, no
// crash was confirmed, and a poison request went on from target to target.
TEST(PartitionedInstance, ACrashCountsWhenAllOtherInstancesAreGone)
{
  deployment->Stop(1);
  deployment->Stop(2);
  SetFaultOfAll("service", "crash_on", { { "body", "poison" } });
  const std::size_t before = deployment->Crashes();
  Send("/once/x", "poison");
  CHECK(deployment->Await([&] { return deployment->Crashes() > before; }));
  LONGS_EQUAL(1, deployment->Total(0, node::Counter::kTargetCrashes));
}

// Without another instance either, paths that are cut look like crashes.
TEST(PartitionedInstance, LostPathsAreNoCrashesWhenAllOtherInstancesAreGone)
{
  deployment->Stop(1);
  deployment->Stop(2);
  deployment->SetCut(0, "reset");
  SendWhileNoticing();
  LONGS_EQUAL(0, deployment->Total(0, node::Counter::kTargetCrashes));
}

// A peer that ends or is cut off itself must not take the others' requests
// with it.
TEST(PartitionedInstance, APeerThatIsCutOffTooIsLeftForAnother)
{
  Partition("silent");
  deployment->SetCut(1, "silent");
  SendWhileNoticing();
  CHECK(CountAnswered(15) >= 27);
}

// All connections of a partitioned data centre may be refused: what its other
// instances say of a target was taken for a proof that the target is gone.
TEST(PartitionedInstance, APartitionedPeerDoesNotProveThatATargetIsGone)
{
  deployment.reset();
  EntryDeploymentOptions options = OptionsWithPathViews();
  options.instances = 4;
  options.data_centres = { "dc-2", "dc-2", "dc-2" };
  deployment = EntryDeployment::Start(options);
  for (std::size_t i = 0; i < options.data_centres.size(); ++i) {
    deployment->SetCut(i, "reset");
  }
  SendWhileNoticing();
  CHECK(CountAnswered(15) >= 27);
  LONGS_EQUAL(0, deployment->Total(0, node::Counter::kTargetCrashes));
}
