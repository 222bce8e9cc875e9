#include "jujubehead/core/routing/urgency_scale.hpp"

#include <CppUTest/TestHarness.h> // for TEST

using namespace jujubehead::core;
using std::chrono::milliseconds;

namespace {

const ServiceId kService("models");

Route
RouteOf(std::uint32_t aUrgency, int aObjectiveMs)
{
  Route route;
  route.name = "r" + std::to_string(aUrgency);
  route.shares = { { kService, 1 } };
  route.carries_prompt = true;
  route.urgency = aUrgency;
  route.objective = milliseconds(aObjectiveMs);
  return route;
}

DeclaredAccount
AccountOf(std::optional<std::uint32_t> aUrgency)
{
  DeclaredAccount account;
  account.urgency = aUrgency;
  return account;
}

/// The most urgent requests have the shortest objective.
Declarations
Competing()
{
  Declarations all;
  all.routes = { RouteOf(2, 1500), RouteOf(0, 250), RouteOf(1, 400) };
  all.accounts = { AccountOf(1), AccountOf(1) };
  return all;
}

} // namespace

TEST_GROUP(UrgencyScale){};

// All accounts with the same urgency made all requests equal, and targets ran
// them in the order of their arrival.
TEST(UrgencyScale, RoutesDecideBetweenAccountsOfEqualUrgency)
{
  const UrgencyScale scale = UrgencyScale::For(Competing(), kService);
  CHECK(scale.IsInUse());
  CHECK_EQUAL(0U, scale.UrgencyOf(1, 0));
  CHECK_EQUAL(1U, scale.UrgencyOf(1, 1));
  CHECK_EQUAL(2U, scale.UrgencyOf(1, 2));
}

// A route's urgency must not lift an account above one with precedence.
TEST(UrgencyScale, TheAccountGoesBeforeTheRoute)
{
  Declarations all = Competing();
  all.accounts = { AccountOf(0), AccountOf(3), AccountOf(std::nullopt) };
  const UrgencyScale scale = UrgencyScale::For(all, kService);
  CHECK(scale.UrgencyOf(0, 2) < scale.UrgencyOf(3, 0));
  CHECK(scale.UrgencyOf(3, 2) < scale.UrgencyOf(std::nullopt, 0));
  CHECK(scale.UrgencyOf(std::nullopt, 2) <= 9);
}

TEST(UrgencyScale, ManyLevelsKeepTheOrderOfTheAccounts)
{
  Declarations all = Competing();
  all.accounts.clear();
  for (std::uint32_t urgency = 0; urgency < 10; ++urgency) {
    all.accounts.push_back(AccountOf(urgency));
  }
  const UrgencyScale scale = UrgencyScale::For(all, kService);
  for (std::uint32_t urgency = 0; urgency < 9; ++urgency) {
    CHECK(scale.UrgencyOf(urgency, 2) < scale.UrgencyOf(urgency + 1, 0));
  }
  CHECK_EQUAL(9U, scale.UrgencyOf(9, 2));
}

TEST(UrgencyScale, LevelsAreThoseOfTheServicesOwnRoutes)
{
  Declarations all = Competing();
  Route other = RouteOf(9, 100);
  other.shares = { { ServiceId("other"), 1 } };
  all.routes.push_back(other);
  const UrgencyScale scale = UrgencyScale::For(all, kService);
  CHECK(scale.IsMostUrgent(0));
  CHECK_FALSE(scale.IsMostUrgent(1));
  CHECK_EQUAL(2U, scale.LevelsBelow(0));
  CHECK_EQUAL(1U, scale.LevelsBelow(1));
  CHECK_EQUAL(0U, scale.LevelsBelow(2));
}

// Deployments whose most urgent requests have the longest objective are served
// as before.
TEST(UrgencyScale, IsNotInUseWhereLimitsFollowTheUrgency)
{
  Declarations all;
  all.routes = { RouteOf(2, 1000), RouteOf(1, 800), RouteOf(0, 1200) };
  CHECK_FALSE(UrgencyScale::For(all, kService).IsInUse());
  all.routes = { RouteOf(2, 800), RouteOf(1, 600), RouteOf(0, 1200) };
  CHECK_FALSE(UrgencyScale::For(all, kService).IsInUse());
  all.routes = { RouteOf(5, 100), RouteOf(5, 900) };
  CHECK_FALSE(UrgencyScale::For(all, kService).IsInUse());
  CHECK_FALSE(UrgencyScale::For({}, kService).IsInUse());
}

TEST(UrgencyScale, RoutesWithoutPromptsDoNotCount)
{
  Declarations all = Competing();
  for (Route& route : all.routes) {
    route.carries_prompt = false;
  }
  CHECK_FALSE(UrgencyScale::For(all, kService).IsInUse());
}
