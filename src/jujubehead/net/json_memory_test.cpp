#include "jujubehead/net/json_memory.hpp"

#include <string> // for string

#include <malloc.h> // for mallinfo2

#include <CppUTest/TestHarness.h> // for TEST
#include <nlohmann/json.hpp>      // for json

using jujubehead::net::JsonMemoryBound;

namespace {

/// @return bytes that a text takes once parsed, with the allocator's own.
std::size_t
ParsedBytes(const std::string& aJson)
{
  const auto used = [] {
    const struct mallinfo2 info = ::mallinfo2();
    return info.uordblks + info.hblkhd;
  };
  const std::size_t before = used();
  const auto parsed = nlohmann::json::parse(aJson);
  const std::size_t after = used();
  CHECK_FALSE(parsed.is_null());
  return after - before;
}

std::string
Array(const std::string& aElement)
{
  constexpr int kElements = 50000;
  std::string text = "[";
  for (int i = 0; i < kElements; ++i) {
    text += aElement + ",";
  }
  return text + "0]";
}

} // namespace

TEST_GROUP(JsonMemory){};

// A body within its limit took forty times its length once it was parsed.
TEST(JsonMemory, TheBoundHoldsForSmallValues)
{
  for (const char* const element : { "[]",
                                     "{}",
                                     "1",
                                     "\"a\"",
                                     "{\"a\":1}",
                                     "[[[]]]",
                                     "{\"a\":{\"b\":\"c\"}}",
                                     "\"a longer text than fits inside\"" }) {
    const std::string text = Array(element);
    CHECK_TEXT(ParsedBytes(text) <= JsonMemoryBound(text), element);
  }
}

TEST(JsonMemory, ATextTakesLittleMoreThanItsLength)
{
  const std::string text = "\"" + std::string(1000000, 'a') + "\"";
  CHECK(JsonMemoryBound(text) < text.size() + 1000);
}

TEST(JsonMemory, MarksWithinStringsDoNotCount)
{
  const std::string text = R"(["[[[,,,:::\",{{{"])";
  CHECK(JsonMemoryBound(text) < JsonMemoryBound(R"([[[[,,,:::,{{{])"));
}
