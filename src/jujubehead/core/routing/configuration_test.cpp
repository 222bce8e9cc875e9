#include "jujubehead/core/routing/configuration.hpp"

#include <algorithm> // for reverse
#include <map>       // for map
#include <set>       // for set

#include <CppUTest/TestHarness.h> // for TEST
#include <rapidcheck.h>           // for rc::check

using namespace jujubehead::core;

namespace {

Route
RouteAt(const std::string& aName, const std::string& aPrefix)
{
  Route route;
  route.name = aName;
  route.host = "a.example";
  route.path_prefix = aPrefix;
  return route;
}

Configuration
Sample()
{
  Declarations all;
  all.version = 7;
  all.routes = { RouteAt("root", "/"),
                 RouteAt("lists", "/lists/"),
                 RouteAt("weekly", "/lists/weekly/") };
  DeclaredAccount account;
  account.id = AccountId("acme");
  account.keys = { "k1", "k2" };
  all.accounts = { account };
  return Configuration(std::move(all));
}

std::string
NameAt(const Configuration& aConfiguration, std::string_view aPath)
{
  const Route* const route = aConfiguration.Match("a.example", aPath);
  return route != nullptr ? route->name : "none";
}

} // namespace

TEST_GROUP(Configuration){};

TEST(Configuration, MatchesTheLongestPrefixThatEndsAtASlash)
{
  const Configuration sample = Sample();
  STRCMP_EQUAL("weekly", NameAt(sample, "/lists/weekly/7").c_str());
  STRCMP_EQUAL("lists", NameAt(sample, "/lists/weekly").c_str());
  STRCMP_EQUAL("lists", NameAt(sample, "/lists/weeklyx/7").c_str());
  STRCMP_EQUAL("root", NameAt(sample, "/listsx").c_str());
  STRCMP_EQUAL("root", NameAt(sample, "/").c_str());
}

TEST(Configuration, HostsMatchRegardlessOfCaseAndPort)
{
  const Configuration sample = Sample();
  CHECK(sample.Match("A.Example:8080", "/x") != nullptr);
  CHECK(sample.Match("b.example", "/x") == nullptr);
}

TEST(Configuration, APathWithoutASlashMatchesNoRoute)
{
  const Configuration sample = Sample();
  CHECK(sample.Match("a.example", "lists") == nullptr);
  CHECK(sample.Match("a.example", "") == nullptr);
}

TEST(Configuration, FindsAnAccountByEachOfItsKeys)
{
  const Configuration sample = Sample();
  STRCMP_EQUAL("acme", sample.AccountOf("k2")->id.Text().c_str());
  CHECK(sample.AccountOf("k3") == nullptr);
  CHECK(sample.AccountOf("") == nullptr);
}

// An account's parts stayed in the scope that all others share when it became
// dedicated, and were used on.
TEST(Configuration, PartsOfAnAccountThatBecomesDedicatedAreNotShared)
{
  const AccountId anonymous;
  CHECK(rc::check("dedicated", [&] {
    Declarations all;
    std::vector<AccountId> callers{ anonymous };
    const int count = *rc::gen::inRange(2, 40);
    for (int i = 0; i < count; ++i) {
      DeclaredAccount account;
      account.id = AccountId("a" + std::to_string(i));
      callers.push_back(account.id);
      all.accounts.push_back(account);
    }
    // Parts with the same scope text are found by each other's requests.
    std::map<std::string, std::set<std::string>> makers;
    bool has_shared = false;
    for (int change = 0; change < 30; ++change) {
      const auto changed =
        static_cast<std::size_t>(*rc::gen::inRange(0, count));
      all.accounts[changed].dedicated = !all.accounts[changed].dedicated;
      std::reverse(all.accounts.begin(), all.accounts.end());
      const Configuration configuration(all);
      std::set<std::string> dedicated;
      for (const DeclaredAccount& account : all.accounts) {
        if (account.dedicated) {
          dedicated.insert(account.id.Text());
        }
      }
      for (const AccountId& caller : callers) {
        auto& made =
          makers[ToText(configuration.CacheScopeFor(caller, ModelId("m"), 3))];
        made.insert(caller.Text());
        for (const std::string& maker : made) {
          const bool is_own = maker == caller.Text();
          has_shared |= !is_own;
          RC_ASSERT(is_own || !dedicated.contains(maker));
          RC_ASSERT(is_own || !dedicated.contains(caller.Text()));
        }
      }
    }
    RC_ASSERT(has_shared);
  }));
}

TEST(Configuration, AnAccountThatIsNoLongerDeclaredSharesNoParts)
{
  const Configuration sample = Sample();
  const CacheScope scope =
    sample.CacheScopeFor(AccountId("removed"), ModelId("m"), 3);
  STRCMP_EQUAL("removed", scope.account.Text().c_str());
  CHECK(
    sample.CacheScopeFor(AccountId("acme"), ModelId("m"), 3).account.IsEmpty());
}
