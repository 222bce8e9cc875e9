#include "jujubehead/node/authenticator.hpp"

#include <CppUTest/TestHarness.h> // for TEST

#include "jujubehead/core/account_key.hpp" // for HashKey

using namespace jujubehead;

namespace {

core::Table
TableWith(const std::string& aSecret)
{
  return core::Table::FromCsv(
           "t",
           "account,model,version,adapter,weight,max_running,max_waiting,"
           "priority,deadline_ms,recompute_price,key_hash\n"
           "*,m,v1,,1,8,8,0,1000,0,\n"
           "a,m,,,1,,,,,," +
             core::HashKey(aSecret, "c2FsdHNhbHQ") + "\n")
    .value();
}

} // namespace

TEST_GROUP(Authenticator)
{
  node::Authenticator authenticator;
  core::Table table = TableWith("one");
};

TEST(Authenticator, FindsTheAccountOfItsKeyOnly)
{
  CHECK(authenticator.Authenticate(table, "Bearer a.one") ==
        core::AccountId("a"));
  for (const char* wrong : { "Bearer a.two",
                             "Bearer b.one",
                             "Bearer a",
                             "Basic a.one",
                             "a.one",
                             "Bearer ",
                             "" }) {
    CHECK_FALSE(authenticator.Authenticate(table, wrong).has_value());
  }
}

TEST(Authenticator, AChangedHashEndsTheOldKeyAtOnce)
{
  CHECK(authenticator.Authenticate(table, "Bearer a.one").has_value());
  table = TableWith("two");
  CHECK_FALSE(authenticator.Authenticate(table, "Bearer a.one").has_value());
  CHECK(authenticator.Authenticate(table, "Bearer a.two").has_value());
}
