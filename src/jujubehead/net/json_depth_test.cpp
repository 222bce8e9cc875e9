#include "jujubehead/net/json_depth.hpp"

#include <CppUTest/TestHarness.h> // for TEST

#include <string> // for string

using jujubehead::net::NestsDeeperThan;

TEST_GROUP(JsonDepth){};

TEST(JsonDepth, CountsArraysAndObjects)
{
  CHECK_FALSE(NestsDeeperThan(R"({"a":[1,{"b":2}],"c":[[3]]})", 3));
  CHECK(NestsDeeperThan(R"({"a":[1,{"b":2}],"c":[[3]]})", 2));
}

TEST(JsonDepth, PassesOverStrings)
{
  CHECK_FALSE(NestsDeeperThan(R"(["[[[[","\"[[[[","\\"])", 1));
  CHECK(NestsDeeperThan(R"(["\\",[]])", 1));
}

TEST(JsonDepth, EndsWithTextThatIsNoJson)
{
  CHECK_FALSE(NestsDeeperThan("]]}}\"\\", 1));
  CHECK_FALSE(NestsDeeperThan("\"", 1));
  CHECK(NestsDeeperThan(std::string(1000000, '[')));
}
