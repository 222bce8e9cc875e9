#include "part_news_codec.hpp"

#include <CppUTest/TestHarness.h> // for TEST

using namespace jujubehead;
using node::PartNewsMessage;

TEST_GROUP(PartNewsCodec)
{
  PartNewsMessage message;

  void setup() override
  {
    message.start = "i1/abc";
    message.news.next = 42;
    message.news.stores = {
      { core::StoreId("s1"), 7, core::kSilentAge },
      { core::StoreId("s2"), 8, std::chrono::milliseconds(30) }
    };
    message.news.changes = { { core::StoreId("s2"), "w1", "a", 800 } };
    message.clock_ms = 123456;
  }
};

TEST(PartNewsCodec, WhatIsWrittenIsReadBack)
{
  const PartNewsMessage back = node::PartNewsOf(node::ToBytes(message));
  STRCMP_EQUAL("i1/abc", back.start.c_str());
  LONGS_EQUAL(42, back.news.next);
  CHECK_FALSE(back.news.is_all);
  LONGS_EQUAL(123456, *back.clock_ms);
  LONGS_EQUAL(8, back.news.stores.at(1).epoch);
  // An age is never told too small.
  CHECK(back.news.stores.at(1).age >= message.news.stores.at(1).age);
  CHECK(back.news.changes.at(0).store == core::StoreId("s2"));
  LONGS_EQUAL(800, back.news.changes.at(0).tokens);
}

TEST(PartNewsCodec, BytesCutShortOrOfAnotherKindAreRefused)
{
  const std::string bytes = node::ToBytes(message);
  for (std::size_t length = 0; length < bytes.size(); ++length) {
    CHECK_THROWS(std::exception,
                 node::PartNewsOf(std::string_view(bytes).substr(0, length)));
  }
  CHECK_THROWS(std::exception, node::PartNewsOf("{\"start\":1}"));
  // A change of a store that is not listed.
  message.news.changes.at(0).store = core::StoreId("s3");
  CHECK_THROWS(std::exception, node::ToBytes(message));
}
