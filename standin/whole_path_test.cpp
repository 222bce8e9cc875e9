#include "standin/deployment.hpp"

#include <CppUTest/TestHarness.h> // for TEST

#include <chrono> // for milliseconds
#include <thread> // for thread

#include "jujubehead/core/account_key.hpp" // for HashKey

using namespace jujubehead;
using Json = nlohmann::json;

namespace {

constexpr std::size_t kLimit = 2;

std::string
TableText()
{
  const std::string limit = std::to_string(kLimit);
  return "account,model,version,adapter,weight,max_running,max_waiting,"
         "priority,"
         "deadline_ms,recompute_price,key_hash\n"
         "*,m,v1,,1," +
         limit + ",64,0,60000,200,\n" + "a,m,,,1,,,,,," +
         core::HashKey("secret", "c2FsdHNhbHQ") + "\n" + "b,m,,,1,,,,,," +
         core::HashKey("other", "c2FsdHNhbHU") + "\n" +
         "*,service:sync,,,1,8,64,0,60000,0,\n"
         "a,service:sync,,,1,,,,,,\n";
}

net::HttpHeaders
KeyOf(const std::string& aKey)
{
  net::HttpHeaders headers;
  headers.Add("Authorization", "Bearer " + aKey);
  return headers;
}

std::string
Body(const std::string& aText, int aTokens, bool aStream)
{
  return Json{
    { "model", "m" },
    { "messages", { { { "role", "user" }, { "content", aText } } } },
    { "max_tokens", aTokens },
    { "stream", aStream }
  }.dump();
}

std::string
StreamedText(const std::string& aEvents)
{
  std::string text;
  std::size_t at = 0;
  while ((at = aEvents.find("data: {", at)) != std::string::npos) {
    at += 6;
    const Json event =
      Json::parse(aEvents.substr(at, aEvents.find('\n', at) - at));
    for (const Json& choice : event.value("choices", Json::array())) {
      text += choice.value("delta", Json::object()).value("content", "");
    }
  }
  return text;
}

std::string
WholeText(const std::string& aBody)
{
  return Json::parse(aBody)["choices"][0]["message"]["content"];
}

const std::string kChat = "/v1/chat/completions";

} // namespace

TEST_GROUP(WholePath)
{
  std::unique_ptr<standin::Deployment> deployment;
  net::HttpHeaders key = KeyOf("a.secret");

  void setup() override
  {
    standin::DeploymentOptions options;
    options.engine.model = "m";
    options.engine.decode_per_step = std::chrono::milliseconds(3);
    options.table = TableText();
    deployment = standin::Deployment::Start(options);
  }

  net::HttpResponse Chat(std::size_t aInstance, const std::string& aBody)
  {
    return deployment->Call(aInstance, "POST", kChat, key, aBody);
  }

  std::string RunningEngine()
  {
    for (const char* name : { "engine0", "engine1" }) {
      if (deployment->Stats(name)["running"] != 0) {
        return name;
      }
    }
    return "";
  }
};

TEST(WholePath, TheSameAnswerWholeAndStreamedThroughAnyInstance)
{
  const auto whole = Chat(0, Body("hello", 20, false));
  const auto streamed = Chat(1, Body("hello", 20, true));
  UNSIGNED_LONGS_EQUAL(200, whole.status);
  STRCMP_EQUAL(WholeText(whole.body).c_str(),
               StreamedText(streamed.body).c_str());
  CHECK(streamed.body.ends_with("data: [DONE]\n\n"));
}

TEST(WholePath, AStreamGoesOnByteExactWhenItsTargetCrashes)
{
  const std::string body = Body("crash under me", 200, true);
  const std::string wanted = StreamedText(Chat(0, body).body);
  std::string crashed;
  std::thread crasher([&] {
    deployment->Await([&] { return !(crashed = RunningEngine()).empty(); });
    deployment->SetFault(crashed, "crash_now", Json::object());
  });
  const auto resumed = Chat(1, body);
  crasher.join();
  CHECK_FALSE(crashed.empty());
  STRCMP_EQUAL(wanted.c_str(), StreamedText(resumed.body).c_str());
  CHECK(resumed.body.ends_with("data: [DONE]\n\n"));
}

TEST(WholePath, NoTargetRunsMoreThanItsTableRowAllows)
{
  const auto replies =
    deployment->CallMany(24, kChat, key, [](std::size_t aIndex) {
      return Body("request " + std::to_string(aIndex), 5, false);
    });
  for (const auto& reply : replies) {
    UNSIGNED_LONGS_EQUAL(200, reply.status);
  }
  for (const char* name : { "engine0", "engine1" }) {
    const Json stats = deployment->Stats(name);
    CHECK(stats["max_held_seen"].get<std::size_t>() <= kLimit);
    CHECK(stats["max_held_seen"].get<std::size_t>() > 0);
  }
}

TEST(WholePath, AnotherAccountsContextIsNotFound)
{
  constexpr std::size_t kBytes = 16384;
  const std::string text(kBytes, 'x');
  const auto cached_tokens = [](const net::HttpResponse& aReply) {
    return Json::parse(
             aReply.body)["usage"]["prompt_tokens_details"]["cached_tokens"]
      .get<int>();
  };
  LONGS_EQUAL(0, cached_tokens(Chat(0, Body(text, 1, false))));
  CHECK(deployment->Await(
    [&] { return cached_tokens(Chat(1, Body(text, 1, false))) > 0; }));
  key = KeyOf("b.other");
  LONGS_EQUAL(0, cached_tokens(Chat(1, Body(text, 1, false))));
}

TEST(WholePath, AnOrderSentTwiceRunsOnce)
{
  key.Add("Idempotency-Key", "order-1");
  const auto first =
    deployment->Call(0, "POST", "/services/sync/orders", key, "{}");
  const auto second =
    deployment->Call(1, "POST", "/services/sync/orders", key, "{}");
  UNSIGNED_LONGS_EQUAL(200, first.status);
  UNSIGNED_LONGS_EQUAL(409, second.status);
  LONGS_EQUAL(1, deployment->Stats("service")["calls_total"].get<int>());
}

TEST(WholePath, AnOrderWhoseAnswerIsLostIsNotRunAgain)
{
  deployment->SetFault("service", "lose_answers", { { "count", 1 } });
  key.Add("Idempotency-Key", "order-2");
  const auto lost =
    deployment->Call(0, "POST", "/services/sync/orders", key, "{}");
  STRCMP_EQUAL(
    "unknown",
    Json::parse(lost.body)["error"]["run_state"].get<std::string>().c_str());
  const auto again =
    deployment->Call(1, "POST", "/services/sync/orders", key, "{}");
  UNSIGNED_LONGS_EQUAL(409, again.status);
  LONGS_EQUAL(1, deployment->Stats("service")["calls_total"].get<int>());
}

TEST(WholePath, WithoutTheTableServicePromptsAreServedAndOrdersRefused)
{
  deployment->SetFault("table", "down", Json::object());
  UNSIGNED_LONGS_EQUAL(200, Chat(0, Body("hello", 2, false)).status);
  key.Add("Idempotency-Key", "order-3");
  const auto refused =
    deployment->Call(0, "POST", "/services/sync/orders", key, "{}");
  UNSIGNED_LONGS_EQUAL(503, refused.status);
  STRCMP_EQUAL(
    "not_run",
    Json::parse(refused.body)["error"]["run_state"].get<std::string>().c_str());
  LONGS_EQUAL(0, deployment->Stats("service")["calls_total"].get<int>());
}

TEST(WholePath, AnInstanceThatStartsWithoutTheTableServiceServesByItsPeers)
{
  deployment->SetFault("table", "down", Json::object());
  const std::size_t late = deployment->AddInstance();
  CHECK(deployment->Await([&] {
    return deployment->Call(late, "GET", "/readyz", {}, "").status == 200;
  }));
  UNSIGNED_LONGS_EQUAL(200, Chat(late, Body("hello", 2, false)).status);
}

TEST(WholePath, AWrongKeyOrModelIsRefusedInTheApisOwnShape)
{
  UNSIGNED_LONGS_EQUAL(404,
                       deployment
                         ->Call(0,
                                "POST",
                                kChat,
                                key,
                                R"({"model":"none","messages":
                                    [{"role":"user","content":"x"}]})")
                         .status);
  key = KeyOf("a.wrong");
  const auto refused = Chat(0, Body("hello", 1, false));
  UNSIGNED_LONGS_EQUAL(401, refused.status);
  CHECK(Json::parse(refused.body)["error"].contains("message"));
}
