#include "jujubehead/net/http1/event_cutter.hpp"

#include <vector> // for vector

#include <CppUTest/TestHarness.h> // for TEST
#include <rapidcheck.h>           // for check

using jujubehead::net::EventCutter;

namespace {

std::string
EventAt(int aId)
{
  return "id: " + std::to_string(aId) + "\ndata: token" + std::to_string(aId) +
         "\n\n";
}

} // namespace

TEST_GROUP(EventCutter){};

TEST(EventCutter, PassesOnWholeEventsOnly)
{
  EventCutter cutter;
  std::string bytes = EventAt(1) + "id: 2\ndata: hal";
  STRCMP_EQUAL(EventAt(1).c_str(), cutter.Take(bytes).c_str());
  STRCMP_EQUAL("id: 2\ndata: hal", bytes.c_str());
  STRCMP_EQUAL("1", cutter.LastId().c_str());
}

TEST(EventCutter, AnEventIsPassedOnOnceOverSeveralStreams)
{
  EventCutter cutter;
  std::string first = EventAt(1) + EventAt(2);
  cutter.Take(first);
  std::string second = EventAt(2) + EventAt(3);
  STRCMP_EQUAL(EventAt(3).c_str(), cutter.Take(second).c_str());
  STRCMP_EQUAL("3", cutter.LastId().c_str());
}

TEST(EventCutter, ReadsLinesThatEndWithCrLf)
{
  EventCutter cutter;
  std::string bytes = "id: 7\r\ndata: x\r\n\r\nid";
  cutter.Take(bytes);
  STRCMP_EQUAL("7", cutter.LastId().c_str());
  STRCMP_EQUAL("id", bytes.c_str());
}

TEST(EventCutter, EventsWithoutNumbersAreAllPassedOn)
{
  EventCutter cutter;
  std::string bytes = ": note\n\ndata: a\n\nid: x\ndata: b\n\n";
  const std::string whole = bytes;
  STRCMP_EQUAL(whole.c_str(), cutter.Take(bytes).c_str());
  STRCMP_EQUAL("x", cutter.LastId().c_str());
}

TEST(EventCutter, HoweverTheStreamIsCutItsBytesArePassedOnAsTheyWere)
{
  CHECK(rc::check("cuts", [](const std::vector<std::uint8_t>& aSizes) {
    std::string whole;
    for (int i = 1; i < 20; ++i) {
      whole += EventAt(i);
    }
    EventCutter cutter;
    std::string passed;
    std::string buffer;
    std::size_t at = 0;
    for (const std::uint8_t size : aSizes) {
      buffer += whole.substr(std::min(at, whole.size()), size);
      at += size;
      passed += cutter.Take(buffer);
    }
    buffer += whole.substr(std::min(at, whole.size()));
    passed += cutter.Take(buffer);
    RC_ASSERT(passed == whole);
    RC_ASSERT(buffer.empty());
  }));
}
