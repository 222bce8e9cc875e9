#include "jujubehead/core/membership/store_paths.hpp"

#include <set> // for set

#include <CppUTest/TestHarness.h> // for TEST

using namespace jujubehead::core;
using std::chrono::milliseconds;

TEST_GROUP(StorePaths)
{
  const Instant now = Instant(std::chrono::hours(1));
  StorePaths paths{ "store:1", "i1" };

  void SetThree()
  {
    paths.SetInstances({ "a:1", "b:1", "c:1" });
  }
};

TEST(StorePaths, CallsAreDirectWhileThatWorks)
{
  SetThree();
  STRCMP_EQUAL("store:1", paths.Next(now).c_str());
  paths.OnAnswer("store:1");
  STRCMP_EQUAL("store:1", paths.Next(now).c_str());
  CHECK(paths.IsDirect());
}

TEST(StorePaths, AfterAFailureCallsAreRelayed)
{
  SetThree();
  paths.OnFailure("store:1", now);
  CHECK_FALSE(paths.IsDirect());
  const std::string address = paths.Next(now);
  CHECK(address != "store:1");
  // It stays with a relay that works.
  paths.OnAnswer(address);
  STRCMP_EQUAL(address.c_str(), paths.Next(now + milliseconds(1)).c_str());
  CHECK_FALSE(paths.IsDirect());
}

TEST(StorePaths, EachFailureMovesOnToTheNextRelay)
{
  SetThree();
  paths.OnFailure("store:1", now);
  std::set<std::string> used;
  for (int i = 0; i < 3; ++i) {
    const std::string address = paths.Next(now);
    used.insert(address);
    paths.OnFailure(address, now);
  }
  LONGS_EQUAL(3, used.size());
}

TEST(StorePaths, ALateFailureOfAnEarlierRelayIsIgnored)
{
  SetThree();
  paths.OnFailure("store:1", now);
  const std::string first = paths.Next(now);
  paths.OnFailure(first, now);
  const std::string second = paths.Next(now);
  paths.OnFailure(first, now);
  STRCMP_EQUAL(second.c_str(), paths.Next(now).c_str());
}

TEST(StorePaths, OneCallAtATimeProbesTheDirectPath)
{
  SetThree();
  paths.OnFailure("store:1", now);
  CHECK(paths.Next(now + milliseconds(599)) != "store:1");
  STRCMP_EQUAL("store:1", paths.Next(now + milliseconds(600)).c_str());
  CHECK(paths.Next(now + milliseconds(601)) != "store:1");
  paths.OnAnswer("store:1");
  STRCMP_EQUAL("store:1", paths.Next(now + milliseconds(602)).c_str());
  CHECK(paths.IsDirect());
}

TEST(StorePaths, WithoutOtherInstancesAllCallsAreDirect)
{
  paths.OnFailure("store:1", now);
  STRCMP_EQUAL("store:1", paths.Next(now).c_str());
}

TEST(StorePaths, AChangeOfInstancesKeepsTheRelayInUse)
{
  SetThree();
  paths.OnFailure("store:1", now);
  const std::string address = paths.Next(now);
  paths.SetInstances({ "d:1", "e:1", "f:1", address });
  STRCMP_EQUAL(address.c_str(), paths.Next(now).c_str());
  paths.SetInstances({ "d:1" });
  STRCMP_EQUAL("d:1", paths.Next(now).c_str());
  paths.SetInstances({});
  STRCMP_EQUAL("store:1", paths.Next(now).c_str());
}

TEST(StorePaths, InstancesUseDifferentRelays)
{
  std::set<std::string> used;
  for (int i = 0; i < 32; ++i) {
    StorePaths one("store:1", "instance-" + std::to_string(i));
    one.SetInstances({ "a:1", "b:1", "c:1", "d:1" });
    one.OnFailure("store:1", now);
    used.insert(one.Next(now));
  }
  LONGS_EQUAL(4, used.size());
}
