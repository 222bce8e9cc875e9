#include "jujubehead/core/sparse_depths.hpp"

#include <CppUTest/TestHarness.h> // for TEST
#include <rapidcheck.h>           // for check

using namespace jujubehead::core;

TEST_GROUP(SparseDepths){};

TEST(SparseDepths, DepthsOfAShorterChainAreAPrefixOfALongerOnes)
{
  CHECK(rc::check("prefix", [] {
    const auto shorter = *rc::gen::inRange<std::uint32_t>(0, 500);
    const auto longer = *rc::gen::inRange<std::uint32_t>(shorter, 1000);
    const auto few = SparseDepths(shorter);
    const auto many = SparseDepths(longer);
    RC_ASSERT(std::equal(few.begin(), few.end(), many.begin()));
  }));
}

TEST(SparseDepths, AtMostAFifthOfAPrefixIsUnderstated)
{
  CHECK(rc::check("understated", [] {
    const auto blocks = *rc::gen::inRange<std::uint32_t>(1, 5000);
    const auto last = SparseDepths(blocks).back();
    RC_ASSERT(last <= blocks);
    RC_ASSERT((blocks - last) * 5 <= blocks);
  }));
}

TEST(SparseDepths, BlocksOfSparseInvertsTheDepths)
{
  const auto depths = SparseDepths(300);
  for (std::uint32_t keys = 1; keys <= depths.size(); ++keys) {
    LONGS_EQUAL(depths[keys - 1], SparseDepthAt(keys));
  }
  LONGS_EQUAL(0, SparseDepthAt(0));
}
