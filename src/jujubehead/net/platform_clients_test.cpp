#include "jujubehead/net/member_list.hpp"
#include "jujubehead/net/object_store.hpp"

#include "jujubehead/net/fake_http_client.hpp" // for FakeHttpClient
#include "jujubehead/net/run_awaitable.hpp"    // for RunAwaitable

#include <CppUTest/TestHarness.h> // for TEST

using namespace jujubehead::net;

TEST_GROUP(ObjectStore)
{
  boost::asio::io_context context;
  FakeHttpClient client;
  std::unique_ptr<ObjectStore> store =
    ObjectStore::Create(client, "127.0.0.1:9", "b");
};

TEST(ObjectStore, GetsBytesOrNothing)
{
  client.Next(200, "bytes");
  client.Next(404, "absent");
  CHECK(RunAwaitable(context, store->Get("k/1")) == "bytes");
  CHECK_FALSE(RunAwaitable(context, store->Get("k/2")).has_value());
  CHECK_EQUAL(std::string("/b/k/1"), client.Calls()[0].target);
}

TEST(ObjectStore, WritesUnlessPresent)
{
  client.Next(200, "");
  client.Next(412, "");
  const auto put = [&] {
    return RunAwaitable(context, store->PutIfAbsent("k", "v"));
  };
  CHECK(put() == PutOutcome::kWritten);
  CHECK(put() == PutOutcome::kPresent);
  CHECK(client.Calls()[0].headers.Find("If-None-Match") == "*");
  CHECK_EQUAL(std::string("v"), client.Calls()[0].body);
}

TEST(ObjectStore, AFailureThrows)
{
  client.Next(503, "");
  client.NextFails(true);
  CHECK_THROWS(ObjectStoreError, RunAwaitable(context, store->Get("k")));
  CHECK_THROWS(ObjectStoreError,
               RunAwaitable(context, store->PutIfAbsent("k", "v")));
}

TEST_GROUP(MemberList){};

TEST(MemberList, ReadsMembersOfEachKind)
{
  const Members list = ParseMembers(R"({"as_of_ms":5,"members":[
    {"id":"i1","kind":"instance","address":"127.0.0.1:1",
     "peer_address":"127.0.0.1:2","data_centre":"d1","state":"live"},
    {"id":"t1","kind":"target","address":"127.0.0.1:3","data_centre":"d2",
     "model":"m","checks_fencing":true,"state":"leaving"},
    {"id":"s1","kind":"service","address":"127.0.0.1:4","service":"sync"}]})");
  CHECK_EQUAL(3U, list.members.size());
  CHECK_EQUAL(5, list.as_of_ms);
  CHECK_EQUAL(std::string("127.0.0.1:2"), list.members[0].peer_address);
  CHECK(list.members[1].checks_fencing);
  CHECK(list.members[1].leaving);
  CHECK_EQUAL(std::string("service:sync"), list.members[2].model.Text());
}

TEST(MemberList, LeavesOutWhatItDoesNotUnderstand)
{
  const Members list = ParseMembers(R"({"as_of_ms":5,"members":[7,
    {"id":"x","kind":"balloon","address":"127.0.0.1:1"},
    {"id":"y","kind":"store"},{"id":7,"kind":"store","address":"a"}]})");
  CHECK(list.members.empty());
  CHECK_THROWS(MemberListError, ParseMembers("[]"));
  CHECK_THROWS(MemberListError, ParseMembers("{"));
}

TEST(MemberList, AFailureThrows)
{
  boost::asio::io_context context;
  FakeHttpClient client;
  const auto list = MemberList::Create(client, "127.0.0.1:9");
  client.Next(500, "");
  client.NextFails(false);
  CHECK_THROWS(MemberListError, RunAwaitable(context, list->Read()));
  CHECK_THROWS(MemberListError, RunAwaitable(context, list->Read()));
}
