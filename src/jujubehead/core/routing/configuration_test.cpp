#include "jujubehead/core/routing/configuration.hpp"

#include <CppUTest/TestHarness.h> // for TEST

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
