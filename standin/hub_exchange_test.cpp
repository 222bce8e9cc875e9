#include "jujubehead/node/control/hub_exchange.hpp"

#include <algorithm> // for any_of
#include <map>       // for map
#include <memory>    // for unique_ptr

#include <CppUTest/TestHarness.h> // for TEST
#include <boost/asio/post.hpp>    // for post

#include "jujubehead/net/run_awaitable.hpp" // for RunAwaitable
#include "platform/operator_rows.hpp"       // for OperatorRows
#include "platform/part_store_client.hpp"   // for PartStoreClient
#include "platform/registry_rows.hpp"       // for RegistryRows
#include "platform/row_store_client.hpp"    // for RowStoreClient
#include "platform/shared_table.hpp"        // for SharedTable
#include "standin/stand_in.hpp"             // for StandIn

using namespace jujubehead;

namespace {

namespace asio = boost::asio;

constexpr core::Duration kShortWait = std::chrono::milliseconds(20);
constexpr std::chrono::seconds kMostTime{ 20 };

/// What the control thread of one instance has to do with hubs.
struct Instance
{
  Instance(asio::io_context& aContext,
           const std::string& aStore,
           const std::string& aId)
    : context(aContext)
    , client(net::HttpClient::Create(aContext))
    , paths(aStore, aId)
    , rows(*client, paths)
    , operators(rows)
    , registry(rows)
    , shared(rows)
    , calls(*client)
    , role(aId)
    , stores(aContext, calls, role, Hooks())
    , poison(aContext,
             role,
             [this](std::vector<core::PoisonReport> aReports) {
               poison_reports.insert(
                 poison_reports.end(), aReports.begin(), aReports.end());
             })
    , hubs(aContext, role, stores, rows, paths, poison, HooksOfHubs())
    , door(net::HttpServer::Create(
        aContext,
        {},
        [this](net::HttpExchange& aExchange) { return Handle(aExchange); }))
  {
  }

  asio::awaitable<void> Handle(net::HttpExchange& aExchange)
  {
    const std::string_view path = aExchange.Request().Path();
    if (path == node::kHubLoadsPath) {
      return hubs.HandleLoads(aExchange);
    }
    return path == node::kPoisonReportsPath ? poison.Handle(aExchange)
                                            : hubs.Handle(aExchange);
  }
  node::StoreWatchHooks Hooks()
  {
    node::StoreWatchHooks hooks;
    hooks.on_pages = [this](const std::vector<core::StorePage>& aPages) {
      for (const core::StorePage& one : aPages) {
        parts.OnPage(one.store, one.page, one.as_of);
      }
    };
    hooks.on_failure = [this](const core::StoreId& aStore) {
      parts.OnNoResponse(aStore);
    };
    return hooks;
  }
  node::HubHooks HooksOfHubs()
  {
    node::HubHooks hooks;
    hooks.on_synced = [this](core::Instant aTold) { heard = aTold; };
    hooks.exchange_loads =
      [this](const std::vector<core::TargetLoadReport>& aTold,
             std::function<void(std::vector<core::TargetLoadReport>)> aGive) {
        for (const core::TargetLoadReport& one : aTold) {
          told_loads.push_back(one);
        }
        asio::post(context,
                   [give = std::move(aGive), own = own_loads] { give(own); });
      };
    return hooks;
  }
  [[nodiscard]] std::string Address() const
  {
    return "127.0.0.1:" + std::to_string(door->Port());
  }

  asio::io_context& context;
  std::unique_ptr<net::HttpClient> client;
  core::StorePaths paths;
  platform::RowStoreClient rows;
  platform::OperatorRows operators;
  platform::RegistryRows registry;
  platform::SharedTable shared;
  platform::PartStoreClient calls;
  core::HubRole role;
  core::PartDirectory parts;
  core::Instant heard{};
  std::vector<core::TargetLoadReport> own_loads;
  std::vector<core::TargetLoadReport> told_loads;
  std::vector<core::PoisonReport> poison_reports; ///< Of others.
  node::StoreWatch stores;
  node::PoisonExchange poison;
  node::HubExchange hubs;
  std::unique_ptr<net::HttpServer> door;
};

} // namespace

TEST_GROUP(HubExchange)
{
  asio::io_context context{ 1 };
  standin::StandIn store = standin::StandIn::Rows(context);
  standin::StandIn part_store = standin::StandIn::Parts(context);
  Instance one{ context, store.Authority(), "one" };
  Instance other{ context, store.Authority(), "other" };
  Instance* hub = &one;
  Instance* follower = &other;

  void setup() override
  {
    const std::vector<core::KnownInstance> all = {
      { "one", one.Address() }, { "other", other.Address() }
    };
    core::HubOptions options;
    options.max_without_hubs = 1;
    options.readers = 1;
    options.standbys = 0;
    one.role.Update(all, options);
    other.role.Update(all, options);
    if (other.role.Level() == core::HubLevel::kReader) {
      std::swap(hub, follower);
    }
    CHECK(hub->role.Level() == core::HubLevel::kReader);
    CHECK(follower->role.Level() == core::HubLevel::kFollower);
  }

  void ReadAll(Instance & aInstance)
  {
    for (const char* table : { "op", "servers", "jujubehead" }) {
      net::RunAwaitable(context, aInstance.rows.ReadAll(table));
    }
  }
  std::uint64_t Put(const char* aKey, const char* aValue)
  {
    return *net::RunAwaitable(context,
                              hub->rows.Put("op", { aKey, aValue, 0 }));
  }
  void HubReads(std::uint64_t aAfter)
  {
    net::RunAwaitable(context, hub->rows.ReadChanges("op", aAfter, kShortWait));
    net::RunAwaitable(context,
                      hub->rows.ReadChanges("servers", aAfter, kShortWait));
  }
  bool Await(const std::function<bool()>& aCondition,
             std::chrono::milliseconds aMostTime = kMostTime)
  {
    const auto until = std::chrono::steady_clock::now() + aMostTime;
    context.restart();
    while (!aCondition() && std::chrono::steady_clock::now() < until) {
      context.run_one_for(std::chrono::milliseconds(20));
    }
    return aCondition();
  }
  [[nodiscard]] std::uint64_t StoreCalls() const
  {
    return store.Stats().at("calls").get<std::uint64_t>();
  }
};

TEST(HubExchange, OneThatIsFedTakesChangesFromTheHub)
{
  ReadAll(*hub);
  ReadAll(*follower);
  follower->hubs.Start();
  CHECK(Await([&] { return follower->rows.HasHubFeed(); }));
  const std::uint64_t version = Put("a", "one");
  HubReads(0);
  const std::uint64_t calls = StoreCalls();
  const platform::RowPage page =
    net::RunAwaitable(context, follower->rows.ReadChanges("op", 0, kMostTime));
  STRCMP_EQUAL("one", page.rows.at(0).value->c_str());
  LONGS_EQUAL(version, page.version);
  LONGS_EQUAL(calls, StoreCalls());
  // It knows how old the hub's word is.
  const core::Duration age = core::RuntimeClock::now() - page.answered_at;
  CHECK(age >= core::Duration(0) && age < kMostTime);
}

TEST(HubExchange, AHubThatDoesNotHearTheStoreFeedsNobody)
{
  ReadAll(*hub);
  ReadAll(*follower);
  follower->hubs.Start();
  CHECK(Await([&] { return follower->rows.HasHubFeed(); }));
  // Nobody reads for the hub any more: what it knows grows old.
  CHECK(Await([&] { return !follower->rows.HasHubFeed(); }));
  const std::uint64_t calls = StoreCalls();
  net::RunAwaitable(context, follower->rows.ReadChanges("op", 0, kShortWait));
  CHECK(StoreCalls() > calls);
}

TEST(HubExchange, AnAnswerWithoutChangesSaysWhenTheStoreWasHeard)
{
  ReadAll(*hub);
  ReadAll(*follower);
  const core::Instant read = core::RuntimeClock::now();
  follower->hubs.Start();
  CHECK(Await([&] { return follower->heard != core::Instant{}; }));
  CHECK(follower->heard <= read);
}

// Requests read parts of the newest weights that are known while the operators'
// store was heard of late; so one that has not read of newer ones has not
// heard.
TEST(HubExchange, OneThatHasYetToReadAChangeHasNotHeardTheStore)
{
  ReadAll(*hub);
  ReadAll(*follower);
  follower->hubs.Start();
  CHECK(Await([&] { return follower->heard != core::Instant{}; }));
  const std::uint64_t version = Put("a", "one");
  HubReads(0);
  CHECK(Await([&] { return follower->rows.Cursors() == hub->rows.Cursors(); }));
  const core::Instant before = follower->heard;
  HubReads(version);
  const core::Instant later =
    core::RuntimeClock::now() + std::chrono::milliseconds(600);
  CHECK(Await([&] { return core::RuntimeClock::now() > later; }));
  CHECK(follower->heard == before);
  net::RunAwaitable(context, follower->rows.ReadChanges("op", 0, kMostTime));
  net::RunAwaitable(context,
                    follower->rows.ReadChanges("servers", 0, kShortWait));
  HubReads(version);
  CHECK(Await([&] { return follower->heard > before; }));
}

TEST(HubExchange, WhatTheHubWatchesOfAStoreReachesTheOthers)
{
  const core::StoreId id("parts");
  core::DeclaredStore declared;
  declared.id = id;
  declared.address = part_store.Authority();
  hub->stores.SetStores({ declared });
  follower->stores.SetStores({ declared });
  follower->hubs.Start();
  CHECK(Await([&] {
    return follower->parts.IsReachable(id, core::RuntimeClock::now());
  }));
  LONGS_EQUAL(hub->parts.EpochOf(id), follower->parts.EpochOf(id));
}

TEST(HubExchange, LoadsThatOneHeardReachTheOthers)
{
  const core::Instant now = core::RuntimeClock::now();
  hub->own_loads = {
    { core::KeyOf(core::TargetId("t1")), { 12, 5, 12 }, now }
  };
  follower->own_loads = {
    { core::KeyOf(core::TargetId("t2")), { 12, 9, 12 }, now }
  };
  hub->hubs.Start();
  follower->hubs.Start();
  const auto knows = [](const Instance& aInstance, const char* aTarget) {
    return std::any_of(aInstance.told_loads.begin(),
                       aInstance.told_loads.end(),
                       [&](const core::TargetLoadReport& aLoad) {
                         return aLoad.target ==
                                core::KeyOf(core::TargetId(aTarget));
                       });
  };
  CHECK(Await([&] { return knows(*follower, "t1") && knows(*hub, "t2"); }));
}

// Hot spots: a target is busy by the requests of all instances, so what is
// reported to one hub has to reach those that ask another.
TEST(HubExchange, LoadsReportedToOneHubReachTheOtherHubs)
{
  const std::vector<core::KnownInstance> all = { { "one", one.Address() },
                                                 { "other", other.Address() } };
  core::HubOptions options;
  options.max_without_hubs = 1;
  options.readers = 2;
  one.role.Update(all, options);
  other.role.Update(all, options);
  CHECK(one.role.HasFollowers() && other.role.HasFollowers());
  const core::Instant now = core::RuntimeClock::now();
  one.own_loads = { { core::KeyOf(core::TargetId("t1")), { 12, 5, 12 }, now } };
  one.hubs.Start();
  other.hubs.Start();
  CHECK(Await([&] {
    return std::any_of(other.told_loads.begin(),
                       other.told_loads.end(),
                       [](const core::TargetLoadReport& aLoad) {
                         return aLoad.target ==
                                  core::KeyOf(core::TargetId("t1")) &&
                                aLoad.load.waiting == 5;
                       });
  }));
}

TEST(HubExchange, OneThatIsNoHubSaysSo)
{
  net::HttpCall call;
  call.authority = follower->Address();
  call.target =
    std::string(node::kHubUpdatesPath) + "?start=&after=0&since=0&rows=";
  const auto response =
    net::RunAwaitable(context, hub->client->Fetch(std::move(call)));
  LONGS_EQUAL(503, response.status);
}

// An instance that starts takes all rows from a hub, page by page: read from
// the operators' store by each of a thousand instances, they were most of what
// a day cost.
TEST(HubExchange, AnInstanceThatStartsTakesAllRowsFromTheHub)
{
  constexpr int kRows = 2000; // Several pages.
  for (int i = 0; i < kRows; ++i) {
    const std::string key = "k" + std::to_string(i);
    Put(key.c_str(), "value");
  }
  ReadAll(*hub);
  const std::uint64_t calls = StoreCalls();
  follower->hubs.Start();
  CHECK(Await([&] { return follower->rows.HasHubFeed(); }));
  const platform::RowPage page =
    net::RunAwaitable(context, follower->rows.ReadAll("op"));
  LONGS_EQUAL(kRows, page.rows.size());
  LONGS_EQUAL(calls, StoreCalls());
  STRCMP_EQUAL(hub->rows.Cursors().c_str(), follower->rows.Cursors().c_str());
}

TEST(HubExchange, ARelayPassesOnRowsPartsAndLoads)
{
  Instance third{ context, store.Authority(), "third" };
  const std::vector<core::KnownInstance> all = { { "one", one.Address() },
                                                 { "other", other.Address() },
                                                 { "third", third.Address() } };
  core::HubOptions options;
  options.max_without_hubs = 1;
  options.readers = 1;
  options.standbys = 0;
  std::map<core::HubLevel, Instance*> by_level;
  for (Instance* instance : { &one, &other, &third }) {
    instance->role.Update(all, options);
    by_level[instance->role.Level()] = instance;
  }
  LONGS_EQUAL(3, by_level.size());
  Instance& reader = *by_level[core::HubLevel::kReader];
  Instance& relay = *by_level[core::HubLevel::kRelay];
  Instance& last = *by_level[core::HubLevel::kFollower];
  core::DeclaredStore declared;
  declared.id = core::StoreId("parts");
  declared.address = part_store.Authority();
  for (Instance* instance : { &reader, &relay, &last }) {
    instance->stores.SetStores({ declared });
  }
  const core::Instant now = core::RuntimeClock::now();
  const core::TargetKey busy = core::KeyOf(core::TargetId("t1"));
  last.own_loads = { { busy, { 12, 5, 12 }, now } };
  ReadAll(reader);
  for (Instance* instance : { &reader, &relay, &last }) {
    instance->hubs.Start();
  }
  CHECK(Await([&] { return last.rows.HasHubFeed(); }));
  STRCMP_EQUAL(reader.rows.Cursors().c_str(), last.rows.Cursors().c_str());
  CHECK(Await([&] {
    return last.parts.IsReachable(declared.id, core::RuntimeClock::now());
  }));
  CHECK(Await([&] {
    return std::any_of(reader.told_loads.begin(),
                       reader.told_loads.end(),
                       [&](const auto& aLoad) { return aLoad.target == busy; });
  }));
  // Of the store's events, only the reader's own watch reached it.
  CHECK(relay.hubs.Counters().polls_answered > 0);
  CHECK(relay.hubs.Counters().received > 0);
}

namespace {

core::CrashReport
CrashOf(std::uint64_t aRequest)
{
  const core::Instant now = core::RuntimeClock::now();
  return { core::RequestFingerprint{ aRequest },
           core::TargetKey{ 1 },
           core::DataCentreKey{ 1 },
           now - std::chrono::milliseconds(100),
           now };
}

bool
HasReport(const Instance& aInstance, std::uint64_t aRequest)
{
  return std::any_of(
    aInstance.poison_reports.begin(),
    aInstance.poison_reports.end(),
    [&](const core::PoisonReport& aReport) {
      return std::get<core::CrashReport>(aReport).fingerprint ==
             core::RequestFingerprint{ aRequest };
    });
}

} // namespace

// A crash that one instance alone saw would cost a target at each other one.
TEST(HubExchange, CrashReportsGoUpAndDownTheTree)
{
  Instance third{ context, store.Authority(), "third" };
  const std::vector<core::KnownInstance> all = { { "one", one.Address() },
                                                 { "other", other.Address() },
                                                 { "third", third.Address() } };
  core::HubOptions options;
  options.max_without_hubs = 1;
  options.readers = 1;
  options.standbys = 0;
  std::map<core::HubLevel, Instance*> by_level;
  for (Instance* instance : { &one, &other, &third }) {
    instance->role.Update(all, options);
    by_level[instance->role.Level()] = instance;
    instance->hubs.Start();
  }
  by_level[core::HubLevel::kFollower]->poison.Report(CrashOf(1));
  by_level[core::HubLevel::kReader]->poison.Report(CrashOf(2));
  CHECK(Await([&] {
    return HasReport(*by_level[core::HubLevel::kReader], 1) &&
           HasReport(*by_level[core::HubLevel::kRelay], 1) &&
           HasReport(*by_level[core::HubLevel::kFollower], 2);
  }));
  // Each gets what others reported, and gets it once.
  LONGS_EQUAL(1, by_level[core::HubLevel::kReader]->poison_reports.size());
  LONGS_EQUAL(2, by_level[core::HubLevel::kRelay]->poison_reports.size());
}

// Few instances have no tree. One that was away gets what it missed.
TEST(HubExchange, WithoutATreeCrashReportsGoToAllOthers)
{
  const auto update = [&](const std::string& aAddress) {
    one.role.Update({ { "one", one.Address() }, { "other", aAddress } });
  };
  update("127.0.0.1:1");
  one.poison.Report(CrashOf(1));
  CHECK_FALSE(
    Await([&] { return HasReport(other, 1); }, std::chrono::milliseconds(200)));
  update(other.Address());
  one.poison.Report(CrashOf(2));
  CHECK(Await([&] { return HasReport(other, 1) && HasReport(other, 2); }));
}

// An instance keeps nothing over a restart under the same name.
TEST(HubExchange, OneThatRestartsGetsAllCrashReportsAgain)
{
  one.role.Update({ { "one", one.Address() }, { "other", other.Address() } });
  one.poison.Report(CrashOf(1));
  CHECK(Await([&] { return HasReport(other, 1); }));
  Instance restarted{ context, store.Authority(), "other" };
  one.role.Update(
    { { "one", one.Address() }, { "other", restarted.Address() } });
  one.poison.Report(CrashOf(2));
  CHECK(Await([&] { return HasReport(restarted, 1); }));
  CHECK(HasReport(restarted, 2));
}

TEST(HubExchange, MalformedCrashReportsAreRefused)
{
  net::HttpCall call;
  call.authority = hub->Address();
  call.method = "POST";
  call.target = std::string(node::kPoisonReportsPath);
  call.body = "\x81\x01";
  const auto response =
    net::RunAwaitable(context, follower->client->Fetch(std::move(call)));
  LONGS_EQUAL(400, response.status);
}
