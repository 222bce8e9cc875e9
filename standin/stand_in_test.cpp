#include "standin/stand_in.hpp"

#include <exception> // for exception_ptr
#include <utility>   // for move

#include <boost/asio/co_spawn.hpp> // for co_spawn

#include "jujubehead/net/http_client.hpp" // for HttpClient

// After Asio, whose operators new its macros would break.
#include <CppUTest/TestHarness.h> // for TEST

using namespace jujubehead;
using namespace jujubehead::standin;
using nlohmann::json;
namespace asio = boost::asio;

TEST_GROUP(StandIn)
{
  asio::io_context context{ 1 };
  std::unique_ptr<net::HttpClient> client = net::HttpClient::Create(context);

  net::HttpResponse Call(const StandIn& aTo,
                         const std::string& aMethod,
                         const std::string& aTarget,
                         const json& aBody = json::object())
  {
    net::HttpCall call;
    call.authority = aTo.Authority();
    call.method = aMethod;
    call.target = aTarget;
    call.body = aMethod == "GET" ? std::string() : aBody.dump();
    net::HttpResponse response;
    std::exception_ptr failure;
    bool done = false;
    asio::co_spawn(
      context,
      [&]() -> asio::awaitable<void> {
        response = co_await client->Fetch(call);
      },
      [&](std::exception_ptr aFailure) {
        failure = std::move(aFailure);
        done = true;
      });
    context.restart();
    while (!done) {
      context.run_one();
    }
    if (failure != nullptr) {
      std::rethrow_exception(failure);
    }
    return response;
  }

  json Complete(const StandIn& aEngine, json aBody)
  {
    aBody["model"] = "jujube-large";
    aBody["jujubehead"]["request_id"] = "r1";
    const auto response = Call(aEngine, "POST", "/v1/completions", aBody);
    LONGS_EQUAL(200, response.status);
    return json::parse(response.body);
  }

  static json Context(const std::string& aSalt)
  {
    return { { "salt", aSalt },
             { "block_bytes", 40 },
             { "keys", json::array({ "k1", "k2" }) } };
  }
};

TEST(StandIn, AnEngineStreamsWhatItAnswersWhole)
{
  const StandIn engine = StandIn::Engine(context, {});
  json body{ { "prompt", "list" }, { "max_tokens", 5 } };
  const std::string whole =
    Complete(engine, body)["choices"][0]["text"].get<std::string>();
  body["stream"] = true;
  const auto response = Call(engine, "POST", "/v1/completions", body);
  std::string text;
  std::string_view rest = response.body;
  while (!rest.starts_with("data: [DONE]")) {
    const std::size_t end = rest.find("\n\n");
    const json event = json::parse(rest.substr(6, end - 6));
    text += event["choices"][0]["text"].get<std::string>();
    rest.remove_prefix(end + 2);
  }
  STRCMP_EQUAL(whole.c_str(), text.c_str());
}

TEST(StandIn, ContextGoesFromOneEngineOverAStoreToAnother)
{
  const StandIn store = StandIn::Store(context, {});
  const StandIn first = StandIn::Engine(context, {});
  const StandIn second = StandIn::Engine(context, {});
  json body{ { "prompt", std::string(80, 'p') },
             { "jujubehead", { { "context", Context("s") } } } };
  const json computed = Complete(first, body);
  const auto exported = Call(first,
                             "POST",
                             "/v1/kv/export",
                             { { "fencing", 1 },
                               { "keys", json::array({ "k1", "k2" }) },
                               { "store", store.Authority() },
                               { "handle", "h" },
                               { "generation", 3 } });
  LONGS_EQUAL(2, json::parse(exported.body)["blocks"].get<int>());
  body["jujubehead"]["import"] = { { "store", store.Authority() },
                                   { "handle", "h" },
                                   { "generation", 3 },
                                   { "blocks", 2 } };
  const json imported = Complete(second, body);
  CHECK(imported["choices"] == computed["choices"]);
  const json& usage = imported["usage"];
  LONGS_EQUAL(20, usage["jujubehead"]["imported_tokens"].get<int>());
  LONGS_EQUAL(20, usage["prompt_tokens_details"]["cached_tokens"].get<int>());
  LONGS_EQUAL(0, usage["jujubehead"]["recomputed_tokens"].get<int>());
}

TEST(StandIn, AWriteWhoseAnswerIsLostHasItsEffect)
{
  StandIn service = StandIn::Service(context, {});
  service.SetFault("lose_answers", { { "count", 1 } });
  CHECK_THROWS(net::HttpCallError, Call(service, "POST", "/sync"));
  LONGS_EQUAL(1, service.Stats()["calls_total"].get<int>());
  LONGS_EQUAL(200, Call(service, "POST", "/sync").status);
}

TEST(StandIn, ACrashedEngineIsDownUntilItsRestart)
{
  StandIn engine = StandIn::Engine(context, {});
  engine.SetFault("crash_on", { { "text", "poison" } });
  CHECK_THROWS(
    net::HttpCallError,
    Call(engine, "POST", "/v1/completions", { { "prompt", "poison" } }));
  CHECK_THROWS(net::HttpCallError, Call(engine, "GET", "/v1/load"));
  engine.ClearFaults();
  Complete(engine, { { "prompt", "good" } });
  LONGS_EQUAL(1, engine.Stats()["crashes"].get<int>());
}

TEST(StandIn, TheMembershipListLags)
{
  StandIn members = StandIn::Members(
    context, json::array({ { { "id", "t1" }, { "kind", "target" } } }));
  members.SetFault("lag", { { "ms", 600000 } });
  Call(members, "PUT", "/admin/members/t2", { { "kind", "target" } });
  const auto late = Call(members, "GET", "/v1/members");
  LONGS_EQUAL(1, json::parse(late.body)["members"].size());
  members.ClearFaults();
  const auto fresh = Call(members, "GET", "/v1/members");
  LONGS_EQUAL(2, json::parse(fresh.body)["members"].size());
}

TEST(StandIn, AnObjectIsKeptAndReadBack)
{
  const StandIn objects = StandIn::Objects(context);
  LONGS_EQUAL(404, Call(objects, "GET", "/bucket/a").status);
  Call(objects, "PUT", "/bucket/a", "text");
  STRCMP_EQUAL("\"text\"", Call(objects, "GET", "/bucket/a").body.c_str());
}
