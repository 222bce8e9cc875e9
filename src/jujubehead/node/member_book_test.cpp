#include "jujubehead/node/member_book.hpp"

#include <CppUTest/TestHarness.h> // for TEST

using namespace jujubehead;
using net::MemberKind;

namespace {

net::Member
Named(const std::string& aId, MemberKind aKind, bool aLeaving = false)
{
  net::Member member;
  member.id = aId;
  member.kind = aKind;
  member.model = core::ModelId("m");
  member.leaving = aLeaving;
  return member;
}

net::Members
Reading(std::int64_t aAsOf, std::vector<net::Member> aMembers)
{
  return { aAsOf, std::move(aMembers) };
}

} // namespace

TEST_GROUP(MemberBook)
{
  node::MemberBook book;
};

TEST(MemberBook, AnOlderReadingChangesNothing)
{
  CHECK(book.Replace(Reading(2, { Named("i1", MemberKind::kInstance) })));
  CHECK_FALSE(book.Replace(Reading(1, {})));
  CHECK(book.Find("i1") != nullptr);
}

TEST(MemberBook, TheSameMembersAreNoChange)
{
  book.Replace(Reading(1, { Named("i1", MemberKind::kInstance) }));
  CHECK_FALSE(book.Replace(Reading(2, { Named("i1", MemberKind::kInstance) })));
}

TEST(MemberBook, TellsMembersApartByKindAndState)
{
  book.Replace(Reading(1,
                       { Named("i1", MemberKind::kInstance),
                         Named("i2", MemberKind::kInstance, true),
                         Named("t1", MemberKind::kTarget),
                         Named("p1", MemberKind::kService),
                         Named("s1", MemberKind::kStore) }));
  LONGS_EQUAL(2, book.Instances().size());
  LONGS_EQUAL(1, book.LiveInstances().size());
  LONGS_EQUAL(2, book.Targets().size());
  LONGS_EQUAL(2, book.TargetsOf(core::ModelId("m")).size());
  LONGS_EQUAL(1, book.Stores().size());
  CHECK(book.Find("none") == nullptr);
}
