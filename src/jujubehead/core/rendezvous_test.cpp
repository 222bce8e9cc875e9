#include "jujubehead/core/rendezvous.hpp"

#include <map>    // for map
#include <string> // for to_string

#include <CppUTest/TestHarness.h> // for TEST

using namespace jujubehead::core;

namespace {

constexpr std::size_t kKeys = 9000;
constexpr std::size_t kMembers = 9;

std::vector<InstanceId>
Members(std::size_t aCount)
{
  std::vector<InstanceId> members;
  for (std::size_t i = 0; i < aCount; ++i) {
    members.emplace_back("instance-" + std::to_string(i));
  }
  return members;
}

std::vector<ContextKey>
Keys()
{
  const ContextScope scope{ AccountId("a"), ModelId("m"), "1", "" };
  std::string prompt;
  for (std::size_t i = 0; i < kKeys; ++i) {
    prompt += "four";
  }
  return ChainKeys(scope, prompt, 4);
}

} // namespace

TEST_GROUP(Rendezvous){};

TEST(Rendezvous, NoMembersGiveNoResult)
{
  CHECK(!RendezvousOwner(ContextKey(), {}));
}

TEST(Rendezvous, SpreadsKeysEvenly)
{
  const auto members = Members(kMembers);
  std::map<InstanceId, std::size_t> counts;
  for (const ContextKey& key : Keys()) {
    ++counts[*RendezvousOwner(key, members)];
  }
  for (const auto& [member, count] : counts) {
    CHECK(count > kKeys / kMembers * 85 / 100);
    CHECK(count < kKeys / kMembers * 115 / 100);
  }
}

TEST(Rendezvous, ALeavingMemberMovesOnlyItsOwnKeys)
{
  auto members = Members(kMembers);
  const auto before = members;
  const InstanceId removed = members[4];
  members.erase(members.begin() + 4);
  for (const ContextKey& key : Keys()) {
    const auto ranked = RankByRendezvous(key, before, 2);
    const auto expected = ranked[0] == removed ? ranked[1] : ranked[0];
    CHECK(*RendezvousOwner(key, members) == expected);
  }
}

TEST(Rendezvous, TheOrderOfMembersDoesNotMatter)
{
  auto members = Members(kMembers);
  const auto key = Keys().front();
  const auto first = RendezvousOwner(key, members);
  std::reverse(members.begin(), members.end());
  CHECK(RendezvousOwner(key, members) == first);
}
