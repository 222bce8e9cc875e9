#include "jujubehead/core/routing/reply_buffers.hpp"

#include <deque>  // for deque
#include <memory> // for shared_ptr, unique_ptr
#include <vector> // for vector

#include <CppUTest/TestHarness.h> // for TEST
#include <rapidcheck.h>           // for check

using jujubehead::core::ReplyBuffers;

namespace {

constexpr std::size_t kMaxBytes = 1000;

/// A reply and the bytes that it holds.
struct Received
{
  explicit Received(const std::shared_ptr<ReplyBuffers>& aBuffers)
    : reply(aBuffers, [this] { bytes = 0; })
  {
  }

  void Add(std::size_t aBytes)
  {
    bytes += aBytes;
    reply.SetSize(bytes);
  }

  std::size_t bytes = 0;
  ReplyBuffers::Reply reply;
};

} // namespace

TEST_GROUP(ReplyBuffers)
{
  std::shared_ptr<ReplyBuffers> buffers =
    std::make_shared<ReplyBuffers>(kMaxBytes);
};

// Replies without an end, each within its own bound, exceeded the memory of the
// process together.
TEST(ReplyBuffers, TheSumIsBoundedHoweverManyGrow)
{
  CHECK(rc::check([] {
    const auto all = std::make_shared<ReplyBuffers>(kMaxBytes);
    std::vector<std::unique_ptr<Received>> replies;
    const auto steps = *rc::gen::container<std::vector<unsigned>>(
      rc::gen::inRange<unsigned>(0, 400));
    for (const unsigned step : steps) {
      const std::size_t index = step % 20;
      if (index >= replies.size()) {
        replies.push_back(std::make_unique<Received>(all));
      } else if (step % 7 == 0) {
        replies.erase(replies.begin() + static_cast<std::ptrdiff_t>(index));
      } else if (!replies[index]->reply.IsGivenUp()) {
        replies[index]->Add(step);
      }
      std::size_t held = 0;
      for (const auto& one : replies) {
        held += one->bytes;
      }
      RC_ASSERT(held == all->Bytes());
      RC_ASSERT(held <= kMaxBytes);
    }
  }));
}

// A valid reply must not go before those that have no end.
TEST(ReplyBuffers, TheLargestIsGivenUp)
{
  Received valid(buffers);
  valid.Add(100);
  std::deque<Received> endless;
  for (int i = 0; i < 4; ++i) {
    endless.emplace_back(buffers);
  }
  for (int round = 0; round < 100; ++round) {
    for (Received& one : endless) {
      if (!one.reply.IsGivenUp()) {
        one.Add(50);
      }
    }
    valid.Add(1);
  }
  CHECK_FALSE(valid.reply.IsGivenUp());
  LONGS_EQUAL(200, valid.bytes);
}

TEST(ReplyBuffers, AReplyThatEndsFreesItsShare)
{
  for (int i = 0; i < 10; ++i) {
    Received one(buffers);
    one.Add(kMaxBytes);
    CHECK_FALSE(one.reply.IsGivenUp());
  }
  LONGS_EQUAL(0, buffers->Bytes());
}
