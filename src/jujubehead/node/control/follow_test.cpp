#include "follow.hpp"

#include <CppUTest/TestHarness.h>       // for TEST
#include <boost/asio/co_spawn.hpp>      // for co_spawn
#include <boost/asio/detached.hpp>      // for detached
#include <boost/asio/io_context.hpp>    // for io_context
#include <boost/asio/post.hpp>          // for post
#include <boost/asio/use_awaitable.hpp> // for use_awaitable

using namespace jujubehead;
using std::chrono::milliseconds;

namespace {

namespace asio = boost::asio;

struct Update
{
  std::uint64_t cursor = 0;
};

/// A feed that always has a change, as the registry of many targets does.
class BusyFeed final : public node::Feed<Update>
{
public:
  asio::awaitable<Update> ReadAll() override { co_return Update{ 1 }; }
  asio::awaitable<Update> ReadChanges(std::uint64_t aAfter,
                                      core::Duration) override
  {
    ++reads;
    co_await asio::post(asio::use_awaitable);
    co_return Update{ aAfter + 1 };
  }

  int reads = 0;
};

/// @return the reads of changes within 300 ms.
int
ReadsWith(const node::FollowOptions& aOptions)
{
  asio::io_context context{ 1 };
  BusyFeed feed;
  node::FollowHooks<Update> hooks;
  hooks.on_update = [](const Update&, bool) {};
  asio::co_spawn(
    context, node::Follow<Update>(feed, aOptions, hooks), asio::detached);
  context.run_for(milliseconds(300));
  return feed.reads;
}

} // namespace

TEST_GROUP(Follow){};

// An instance that no hub feeds reads the registry itself. Without a pause it
// would read as often as any of thousands of targets reports.
TEST(Follow, PausesBetweenReadsWhileNotSettled)
{
  node::FollowOptions options;
  options.name = "test";
  options.timing = [] {
    return node::FollowTiming{ milliseconds(0), milliseconds(50) };
  };
  options.is_settled = [] { return false; };
  CHECK(ReadsWith(options) <= 7);
  options.unsettled_pause = milliseconds(100);
  CHECK(ReadsWith(options) <= 4);
}

TEST(Follow, PausesBetweenReadsOnceSettled)
{
  node::FollowOptions options;
  options.name = "test";
  options.timing = [] {
    return node::FollowTiming{ milliseconds(0), milliseconds(50) };
  };
  options.unsettled_pause = std::chrono::seconds(10);
  const int reads = ReadsWith(options);
  CHECK(reads >= 2 && reads <= 7);
}
