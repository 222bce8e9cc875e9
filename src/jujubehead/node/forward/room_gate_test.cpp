#include "room_gate.hpp"

#include <CppUTest/TestHarness.h> // for TEST

using namespace jujubehead;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

const core::ServiceId kService("models");

core::Route
RouteOf(std::uint32_t aUrgency, int aObjectiveMs)
{
  core::Route route;
  route.name = "r" + std::to_string(aUrgency);
  route.shares = { { kService, 1 } };
  route.carries_prompt = true;
  route.urgency = aUrgency;
  route.objective = milliseconds(aObjectiveMs);
  return route;
}

std::vector<std::shared_ptr<node::FleetTarget>>
TargetsWithQueue(std::uint32_t aWaiting, core::Instant aNow)
{
  std::vector<std::shared_ptr<node::FleetTarget>> targets;
  for (int i = 0; i < 4; ++i) {
    auto target = std::make_shared<node::FleetTarget>();
    target->load =
      core::LoadEstimate(std::make_shared<core::ServiceLoadAverage>());
    target->load.OnReport({ 20, aWaiting, 32 }, aNow);
    targets.push_back(std::move(target));
  }
  return targets;
}

} // namespace

TEST_GROUP(RoomGate)
{
  core::Declarations m_declarations;
  node::RoomGate m_gate;
  core::AccountShares m_accounts;
  core::Instant m_now = core::RuntimeClock::now();

  void setup() override
  {
    m_declarations.routes = { RouteOf(2, 1500), RouteOf(0, 250) };
    m_gate.SetScale(core::UrgencyScale::For(m_declarations, kService));
  }

  bool Admit(std::size_t aRoute,
             std::uint32_t aWaiting,
             core::Duration aTimeLeft = seconds(12),
             const core::AccountId& aAccount = core::AccountId("a"))
  {
    m_now += milliseconds(60);
    node::RoomGate::Request request;
    request.route = &m_declarations.routes[aRoute];
    request.tokens = 1000;
    request.time_left = aTimeLeft;
    request.account = aAccount;
    return m_gate.Admit(
      request, TargetsWithQueue(aWaiting, m_now), m_accounts, 0.5, m_now);
  }
};

TEST(RoomGate, UrgentRequestsAreAdmittedWhileOthersAreRefused)
{
  CHECK(Admit(0, 0));
  CHECK_FALSE(Admit(0, 3));
  CHECK(Admit(1, 3));
  CHECK(Admit(0, 0));
}

// Targets that take nothing have no room, however short their queues.
TEST(RoomGate, OnlyTargetsThatTakeRequestsCount)
{
  m_now += milliseconds(60);
  auto targets = TargetsWithQueue(4, m_now);
  auto idle = TargetsWithQueue(0, m_now);
  for (const auto& target : idle) {
    target->is_gone = true;
    targets.push_back(target);
  }
  node::RoomGate::Request request;
  request.route = &m_declarations.routes[0];
  request.time_left = seconds(12);
  CHECK_FALSE(m_gate.Admit(request, targets, m_accounts, 0.5, m_now));
  CHECK_EQUAL(4U, m_gate.Load().targets);
}

TEST(RoomGate, ACallerThatReturnsIsPreferred)
{
  CHECK(Admit(0, 0)); // Shows the route's usual deadline.
  CHECK_FALSE(Admit(0, 1));
  CHECK(Admit(0, 1, seconds(10)));
}

TEST(RoomGate, RefusedCallersReturnOneAfterTheOther)
{
  CHECK_FALSE(Admit(0, 3));
  const core::Duration first = m_gate.ReturnIn(m_now, seconds(4));
  const core::Duration second = m_gate.ReturnIn(m_now, seconds(4));
  CHECK(second > first);
}

// While there is room for a part of all requests, a small account's are not
// refused for those of a large one.
TEST(RoomGate, ASmallAccountIsAdmittedWhileALargeOneIsRefused)
{
  const core::AccountId small("small");
  for (int i = 0; i < 30; ++i) {
    Admit(0, 0);
  }
  CHECK(Admit(0, 0, seconds(12), small));
  CHECK_FALSE(Admit(0, 1));
  CHECK(Admit(0, 1, seconds(12), small));
}
