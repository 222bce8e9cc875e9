#include "jujubehead/core/context_key.hpp"

#include <stdexcept> // for invalid_argument

#include <rapidcheck.h> // for rc::check

// Last: its macros change the meaning of new.
#include <CppUTest/TestHarness.h> // for TEST

using namespace jujubehead::core;

namespace {

ContextScope
ScopeOf(const std::string& aAccount, const std::string& aVersion)
{
  return ContextScope{ AccountId(aAccount), ModelId("m"), aVersion, "" };
}

} // namespace

TEST_GROUP(ContextKey){};

TEST(ContextKey, HexRoundTrips)
{
  CHECK(rc::check([](ContextKey::Bytes aBytes) {
    const ContextKey key(aBytes);
    RC_ASSERT(ContextKey::FromHex(key.Hex()) == key);
  }));
}

TEST(ContextKey, FromHexRejectsOtherText)
{
  CHECK(!ContextKey::FromHex(""));
  CHECK(!ContextKey::FromHex(std::string(31, 'a')));
  CHECK(!ContextKey::FromHex(std::string(32, 'A')));
  CHECK(!ContextKey::FromHex(std::string(31, 'a') + "g"));
}

TEST(ContextKey, KeysAreEqualExactlyWhereThePrefixesAre)
{
  CHECK(rc::check([](const std::string& aShared,
                     const std::string& aLeft,
                     const std::string& aRight) {
    constexpr std::size_t kBlock = 4;
    const auto scope = ScopeOf("a", "1");
    const auto left = ChainKeys(scope, aShared + aLeft, kBlock);
    const auto right = ChainKeys(scope, aShared + aRight, kBlock);
    for (std::size_t i = 0; i < std::min(left.size(), right.size()); ++i) {
      const std::size_t end = (i + 1) * kBlock;
      const bool sameText =
        (aShared + aLeft).substr(0, end) == (aShared + aRight).substr(0, end);
      RC_ASSERT((left[i] == right[i]) == sameText);
    }
  }));
}

TEST(ContextKey, OnlyFullBlocksHaveAKey)
{
  CHECK_EQUAL(0, ChainKeys(ScopeOf("a", "1"), std::string(1023, 'x')).size());
  CHECK_EQUAL(1, ChainKeys(ScopeOf("a", "1"), std::string(1024, 'x')).size());
  CHECK_EQUAL(2, ChainKeys(ScopeOf("a", "1"), std::string(3000, 'x')).size());
  CHECK_THROWS(std::invalid_argument, ChainKeys(ScopeOf("a", "1"), "x", 0));
}

TEST(ContextKey, ScopesWithEqualConcatenationsShareNoKey)
{
  const std::string prompt(1024, 'x');
  const auto keyOf = [&](const ContextScope& aScope) {
    return ChainKeys(aScope, prompt).front();
  };
  const ContextScope first{ AccountId("ab"), ModelId("c"), "d", "e" };
  const ContextScope second{ AccountId("a"), ModelId("bc"), "d", "e" };
  const ContextScope third{ AccountId("ab"), ModelId("c"), "de", "" };
  CHECK(keyOf(first) != keyOf(second));
  CHECK(keyOf(first) != keyOf(third));
  CHECK(Salt(first) != Salt(second));
  CHECK(Salt(first) != Salt(third));
}
