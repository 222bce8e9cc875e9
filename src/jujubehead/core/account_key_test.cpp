#include "jujubehead/core/account_key.hpp"

#include <CppUTest/TestHarness.h> // for TEST

using namespace jujubehead::core;

TEST_GROUP(AccountKey){};

TEST(AccountKey, SplitsAtTheLastDot)
{
  const auto key = ParseAccountKey("shop.kochi.s3cret");
  CHECK(key.has_value());
  CHECK_EQUAL(std::string("shop.kochi"), key->account.Text());
  CHECK_EQUAL(std::string("s3cret"), key->secret);
  CHECK_FALSE(ParseAccountKey("secret").has_value());
  CHECK_FALSE(ParseAccountKey(".secret").has_value());
  CHECK_FALSE(ParseAccountKey("account.").has_value());
}

TEST(AccountKey, OnlyTheSecretVerifies)
{
  const std::string hash = HashKey("right", "c2FsdHNhbHQ");
  CHECK(IsKeyHash(hash));
  CHECK(VerifyKey("right", hash));
  CHECK_FALSE(VerifyKey("wrong", hash));
  CHECK_FALSE(VerifyKey("", hash));
  CHECK_FALSE(VerifyKey("right", ""));
  CHECK_FALSE(VerifyKey("right", hash.substr(0, hash.size() - 1)));
}

TEST(AccountKey, OtherSaltsGiveOtherHashes)
{
  CHECK(HashKey("right", "c2FsdHNhbHQ") != HashKey("right", "b3RoZXJzYWx0"));
}
