#include "stream_origin_exchange.hpp"

#include <CppUTest/TestHarness.h> // for TEST

#include "jujubehead/net/run_awaitable.hpp" // for RunAwaitable

using namespace jujubehead;
using node::StreamOriginExchange;

namespace {

constexpr core::StreamKey kStream{ 7 };
const core::ServiceId kService("models");

} // namespace

// One instance looks for a stream whose origin another one may keep.
TEST_GROUP(StreamOriginExchange)
{
  boost::asio::io_context context{ 1 };
  StreamOriginExchange asking{ context, "a" };
  StreamOriginExchange holder{ context, "b" };
  std::unique_ptr<net::HttpServer> door =
    net::HttpServer::Create(context, {}, [this](net::HttpExchange& aExchange) {
      return aExchange.Request().Path() == node::kStreamOriginPath
               ? holder.HandleFind(aExchange)
               : holder.HandleReport(aExchange);
    });

  void setup() override
  {
    core::KnownInstance self;
    self.id = "a";
    asking.SetInstances({ self, Holder() });
  }
  [[nodiscard]] core::KnownInstance Holder() const
  {
    core::KnownInstance instance;
    instance.id = "b";
    instance.address = "127.0.0.1:" + std::to_string(door->Port());
    return instance;
  }
  void Record(const std::string& aVersion)
  {
    StreamOriginExchange beginning(context, "c");
    beginning.SetInstances({ Holder() });
    beginning.Report({ { kStream, kService, aVersion } });
    context.restart();
    context.run_for(std::chrono::milliseconds(400));
  }
  std::optional<std::string> Find()
  {
    context.restart();
    return net::RunAwaitable(context, asking.Find(kStream, kService));
  }
};

// A version had just joined, and no other was left elsewhere, so that streams
// began at it at once; an instance that had not seen it yet went on with them
// at the one that it knew.
TEST(StreamOriginExchange, ARecordGoesBeforeTheOwnView)
{
  Record("v2");
  asking.SetSole({ { kService, "v1" } });
  CHECK(Find() == "v2");
}

TEST(StreamOriginExchange, AnothersViewGoesBeforeTheOwnOne)
{
  holder.SetSole({ { kService, "v2" } });
  asking.SetSole({ { kService, "v1" } });
  CHECK(Find() == "v2");
}

TEST(StreamOriginExchange, TheOwnViewCountsWhereNobodyAnswers)
{
  asking.SetSole({ { kService, "v1" } });
  CHECK(Find() == "v1");
  door.reset();
  CHECK(Find() == "v1");
  asking.SetSole({});
  CHECK_FALSE(Find().has_value());
}
