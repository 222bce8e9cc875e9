#include <atomic> // for atomic
#include <future> // for async
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
