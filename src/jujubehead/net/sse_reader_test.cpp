#include "jujubehead/net/sse_reader.hpp"

#include <CppUTest/TestHarness.h> // for TEST
#include <rapidcheck.h>           // for check

#include <stdexcept> // for invalid_argument
#include <vector>    // for vector

using jujubehead::net::SseReader;

namespace {

std::vector<std::string>
ReadAll(SseReader& aReader)
{
  std::vector<std::string> events;
  while (const auto data = aReader.Next()) {
    events.emplace_back(*data);
  }
  return events;
}

} // namespace

TEST_GROUP(SseReader){};

TEST(SseReader, AStreamCutAnywhereGivesTheSameEvents)
{
  CHECK(rc::check("any cut", [] {
    const std::string stream =
      "data: {\"a\":1}\n\n: note\r\ndata:two\r\ndata: lines\r\n\r\n\n"
      "event: x\n\ndata: [DONE]\n\n";
    const auto step = *rc::gen::inRange<std::size_t>(1, stream.size());
    SseReader reader;
    std::vector<std::string> events;
    for (std::size_t at = 0; at < stream.size(); at += step) {
      reader.Feed(std::string_view(stream).substr(at, step));
      for (std::string& event : ReadAll(reader)) {
        events.push_back(std::move(event));
      }
    }
    const std::vector<std::string> wanted = { "{\"a\":1}",
                                              "two\nlines",
                                              "[DONE]" };
    RC_ASSERT(events == wanted);
  }));
}

TEST(SseReader, AnEventWithoutItsEndIsNotGiven)
{
  SseReader reader;
  reader.Feed("data: half\n");
  CHECK_FALSE(reader.Next().has_value());
}

TEST(SseReader, ALineWithoutEndIsBounded)
{
  SseReader reader(16);
  reader.Feed(std::string(17, 'x'));
  CHECK_THROWS(std::invalid_argument, reader.Next());
}

TEST(SseReader, AnEventOfManyLinesIsBounded)
{
  SseReader reader(16);
  for (int i = 0; i < 3; ++i) {
    reader.Feed("data: 12345678\n");
  }
  CHECK_THROWS(std::invalid_argument, reader.Next());
}
