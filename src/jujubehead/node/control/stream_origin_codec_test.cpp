#include "stream_origin_codec.hpp"

#include <CppUTest/TestHarness.h> // for TEST

using namespace jujubehead;

TEST_GROUP(StreamOriginCodec){};

TEST(StreamOriginCodec, RoundTrip)
{
  const core::StreamKey stream = core::StreamKeyOf("9c41d07be2a35f68");
  const auto read = node::StreamOriginsFromBytes(
    node::StreamOriginsToBytes({ { stream, core::ServiceId("lm"), "v1.2" } }));
  UNSIGNED_LONGS_EQUAL(1, read.size());
  CHECK(read.front().stream == stream);
  CHECK(read.front().service == core::ServiceId("lm"));
  STRCMP_EQUAL("v1.2", read.front().software_version.c_str());
}

TEST(StreamOriginCodec, WhatIsNoMessageIsRejected)
{
  CHECK_THROWS(std::exception, node::StreamOriginsFromBytes("nonsense"));
  CHECK_THROWS(std::exception, node::StreamOriginsFromBytes("\x81\x01"));
}
