#include "jujubehead/net/engine_client.hpp"

#include <CppUTest/TestHarness.h> // for TEST

#include <boost/asio/io_context.hpp> // for io_context

#include "fake_http_client.hpp" // for FakeHttpClient
#include "net_test_tools.hpp"   // for RunIn

#include "jujubehead/net/store_client.hpp" // for StoreClient

namespace core = jujubehead::core;
namespace net = jujubehead::net;
using boost::asio::awaitable;
using core::CacheEventKind;

namespace {

constexpr const char* kKey = "00112233445566778899aabbccddeeff";

} // namespace

TEST_GROUP(EngineClient)
{
  boost::asio::io_context context;
  net::FakeHttpClient http;
  net::EngineClient engine{ http, "127.0.0.1:1" };
  net::StoreClient store{ http, "127.0.0.1:2" };
};

TEST(EngineClient, ReadsTheLoadReport)
{
  http.Next(200,
            R"({"as_of_ms":5,"order_seen":7,"running":["r1","r2"],"waiting":3,
                "free_blocks":1,"total_blocks":9,"model":"m",
                "versions":["v1"],"adapters":[],"loading":true})");
  net::test::RunIn(context, [&]() -> awaitable<void> {
    const net::EngineLoad load = co_await engine.Load();
    LONGS_EQUAL(5, load.as_of_ms);
    UNSIGNED_LONGS_EQUAL(7, load.order_seen);
    UNSIGNED_LONGS_EQUAL(2, load.running.size());
    STRCMP_EQUAL("v1", load.versions.at(0).c_str());
    CHECK(load.loading);
  });
}

TEST(EngineClient, LeavesOutEventsThatAreNotUnderstood)
{
  http.Next(200,
            std::string(R"({"last":4,"events":[
              {"seq":1,"kind":"stored","key":")") +
              kKey + R"(","bytes":10},
              {"seq":2,"kind":"stored","key":"no key"},
              {"seq":3,"kind":"painted"},
              {"seq":4,"kind":"cleared"}]})");
  net::test::RunIn(context, [&]() -> awaitable<void> {
    const net::CacheEventPage page = co_await engine.EventsAfter(0);
    UNSIGNED_LONGS_EQUAL(4, page.last);
    UNSIGNED_LONGS_EQUAL(2, page.events.size());
    STRCMP_EQUAL(kKey, page.events[0].keys.at(0).Hex().c_str());
    CHECK(page.events[1].kind == CacheEventKind::kCleared);
  });
  STRCMP_EQUAL("/v1/cache_events?after=0", http.Calls()[0].target.c_str());
}

TEST(EngineClient, ReadsCopiesInTheEventsOfAStore)
{
  http.Next(200,
            std::string(R"({"last":1,"events":[{"seq":1,"kind":"stored",
              "handle":"h","generation":"12","keys":[")") +
              kKey + R"("]}]})");
  net::test::RunIn(context, [&]() -> awaitable<void> {
    const net::CacheEventPage page = co_await store.EventsAfter(0);
    const auto copy = page.events.at(0).copy;
    CHECK(copy == (core::CopyId{ "h", 12 }));
  });
}

TEST(EngineClient, AReplyThatMakesNoSenseCountsAsDispatched)
{
  bool dispatched = false;
  for (const char* const body : { "{", "[]", R"({"as_of_ms":"x"})" }) {
    http.Next(200, body);
    net::test::RunIn(context, [&]() -> awaitable<void> {
      try {
        co_await engine.Load();
      } catch (const net::HttpCallError& error) {
        dispatched = error.Dispatched();
      }
    });
    CHECK(dispatched);
    dispatched = false;
  }
}

TEST(EngineClient, TellsRefusalsApart)
{
  http.Next(409, R"({"error":{"code":"old_fencing"}})");
  http.Next(409, R"({"error":{"code":"evicted"}})");
  http.Next(507, R"({"error":{"code":"full"}})");
  http.Next(500, "what");
  net::test::RunIn(context, [&]() -> awaitable<void> {
    const net::LoadVersionOrder load{ "v2" };
    const auto order = co_await engine.Give(3, load);
    CHECK(std::get<net::EngineRefusal>(order) ==
          net::EngineRefusal::kOldFencing);
    const auto evicted = co_await engine.Export(net::ExportOrder());
    CHECK(std::get<net::EngineRefusal>(evicted) ==
          net::EngineRefusal::kEvicted);
    const auto full = co_await engine.Export(net::ExportOrder());
    CHECK(std::get<net::EngineRefusal>(full) == net::EngineRefusal::kStoreFull);
    const auto other = co_await engine.Export(net::ExportOrder());
    CHECK(std::get<net::EngineRefusal>(other) == net::EngineRefusal::kOther);
  });
  STRCMP_EQUAL(R"({"fencing":3,"order":"load_version","version":"v2"})",
               http.Calls()[0].body.c_str());
}
