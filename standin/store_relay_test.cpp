#include "jujubehead/node/control/store_relay.hpp"

#include <memory> // for unique_ptr

#include <CppUTest/TestHarness.h> // for TEST
#include <boost/asio/ip/tcp.hpp>  // for tcp

#include "jujubehead/net/run_awaitable.hpp"     // for RunAwaitable
#include "jujubehead/node/control/platform.hpp" // for PlatformError
#include "platform/row_store_client.hpp"        // for RowStoreClient
#include "standin/stand_in.hpp"                 // for StandIn

using namespace jujubehead;

namespace {

namespace asio = boost::asio;

constexpr core::Duration kShortWait = std::chrono::milliseconds(20);

/// An address that is taken and on which nobody listens.
class DeadAddress
{
public:
  explicit DeadAddress(asio::io_context& aContext)
    : m_socket(aContext)
  {
    m_socket.open(asio::ip::tcp::v4());
    m_socket.bind({ asio::ip::address_v4::loopback(), 0 });
  }
  [[nodiscard]] std::string Text() const
  {
    return "127.0.0.1:" + std::to_string(m_socket.local_endpoint().port());
  }

private:
  asio::ip::tcp::socket m_socket;
};

/// One instance's calls to the store.
struct Caller
{
  Caller(asio::io_context& aContext,
         std::string aStraight,
         const std::string& aSelf)
    : client(net::HttpClient::Create(aContext))
    , paths(std::move(aStraight), aSelf)
    , rows(*client, paths)
  {
  }

  std::unique_ptr<net::HttpClient> client;
  core::StorePaths paths;
  platform::RowStoreClient rows;
};

} // namespace

TEST_GROUP(StoreRelay)
{
  asio::io_context context{ 1 };
  standin::StandIn store = standin::StandIn::Rows(context);
  Caller near_one{ context, store.Authority(), "near" };
  DeadAddress nobody{ context };
  Caller cut_off{ context, nobody.Text(), "cut-off" };
  node::StoreRelay relay{ context, near_one.paths, near_one.rows };
  std::unique_ptr<net::HttpServer> door =
    net::HttpServer::Create(context, {}, [this](net::HttpExchange& aExchange) {
      return relay.Handle(aExchange);
    });

  void setup() override
  {
    cut_off.paths.SetInstances({ "127.0.0.1:" + std::to_string(door->Port()) });
  }

  platform::RowPage ReadAll(Caller & aCaller)
  {
    return net::RunAwaitable(context, aCaller.rows.ReadAll("op"));
  }
  std::optional<std::uint64_t> Put(
    Caller & aCaller, const char* aValue, std::uint64_t aExpected)
  {
    return net::RunAwaitable(
      context, aCaller.rows.Put("op", { "a", aValue, aExpected }));
  }
  /// The straight way fails once, which a caller learns by trying it.
  void LearnThatItIsCutOff()
  {
    CHECK_THROWS(node::PlatformError, ReadAll(cut_off));
    CHECK_FALSE(cut_off.paths.IsDirect());
  }
  void LoseTheStore()
  {
    near_one.paths.OnFailure(store.Authority(), core::RuntimeClock::now());
  }
};

TEST(StoreRelay, AnInstanceThatIsCutOffReadsAndWritesThroughAnother)
{
  const auto first = Put(near_one, "one", 0);
  CHECK(first.has_value());
  LearnThatItIsCutOff();
  const platform::RowPage page = ReadAll(cut_off);
  CHECK_FALSE(page.is_from_cache);
  STRCMP_EQUAL("one", page.rows.at(0).value->c_str());
  const auto second = Put(cut_off, "two", *first);
  CHECK(second.has_value());
  // A condition that does not hold is told as the store told it.
  CHECK_FALSE(Put(cut_off, "three", *first).has_value());
  const platform::RowPage changes = net::RunAwaitable(
    context, cut_off.rows.ReadChanges("op", *first, kShortWait));
  STRCMP_EQUAL("two", changes.rows.at(0).value->c_str());
}

TEST(StoreRelay, WhileNobodyReachesTheStoreAReadIsRecalled)
{
  Put(near_one, "one", 0);
  ReadAll(near_one);
  LoseTheStore();
  LearnThatItIsCutOff();
  const platform::RowPage page = ReadAll(cut_off);
  CHECK(page.is_from_cache);
  STRCMP_EQUAL("one", page.rows.at(0).value->c_str());
  // Only a whole table is recalled: a change may have come meanwhile.
  CHECK_THROWS(
    node::PlatformError,
    net::RunAwaitable(context, cut_off.rows.ReadChanges("op", 0, kShortWait)));
  CHECK_THROWS(node::PlatformError, Put(cut_off, "two", page.version));
}

TEST(StoreRelay, WhatWasNeverReadIsNotRecalled)
{
  LoseTheStore();
  LearnThatItIsCutOff();
  CHECK_THROWS(node::PlatformError, ReadAll(cut_off));
}

TEST(StoreRelay, ARowThatWentIsNotRecalled)
{
  const auto version = Put(near_one, "one", 0);
  ReadAll(near_one);
  const platform::Row gone{ "a", std::nullopt, *version };
  net::RunAwaitable(context, near_one.rows.Put("op", gone));
  net::RunAwaitable(context,
                    near_one.rows.ReadChanges("op", *version, kShortWait));
  LoseTheStore();
  LearnThatItIsCutOff();
  LONGS_EQUAL(0, ReadAll(cut_off).rows.size());
}
