#include "jujubehead/core/overload/capacity.hpp"

#include <CppUTest/TestHarness.h> // for TEST

using namespace jujubehead::core;

namespace {

constexpr std::size_t kMebibyte = 1024UL * 1024;
/// What a process holds before the first request, and its allocator's spare
/// room.
constexpr std::size_t kAtRest = 24 * kMebibyte;

} // namespace

TEST_GROUP(Capacity){};

// The maxima of all shares together exceeded the smallest machines.
TEST(Capacity, TheSumOfAllSharesFitsTheMachine)
{
  for (const std::size_t megabytes : { 88UL, 110UL, 160UL, 256UL, 1024UL }) {
    for (const std::size_t descriptors : { 1024UL, 4100UL, 65536UL }) {
      const std::size_t memory = megabytes * kMebibyte;
      const Capacity capacity = CapacityOf({ memory, descriptors });
      const std::size_t sum = kAtRest + capacity.traffic_bytes +
                              capacity.control_bytes +
                              capacity.callers * kConnectionBytes;
      CHECK(sum <= memory);
    }
  }
}

TEST(Capacity, TargetsHaveADescriptorForEachCaller)
{
  for (const std::size_t descriptors : { 256UL, 1024UL, 4100UL, 8192UL }) {
    const Capacity capacity = CapacityOf({ 1024 * kMebibyte, descriptors });
    CHECK(2 * capacity.callers + capacity.instances + 2 * capacity.probes <
          descriptors);
  }
}

TEST(Capacity, ALegalBodyFitsTheSmallestMachine)
{
  const Capacity capacity = CapacityOf({ 88 * kMebibyte, 4100 });
  CHECK(capacity.traffic_bytes / 2 > 8 * kMebibyte);
}
