#include "jujubehead/core/context/store_link.hpp"

#include <algorithm> // for max
#include <random>    // for mt19937
#include <vector>    // for vector

#include <CppUTest/TestHarness.h> // for TEST

using namespace jujubehead::core;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

/// Instances that request transfers over one link, which carries them one after
/// another.
class SharedLink
{
public:
  SharedLink(std::size_t aInstances, bool aIsBounded)
    : m_instances(aInstances)
    , m_is_bounded(aIsBounded)
  {
  }

  /// @param aLoad rate of requests, relative to the link's capacity.
  void Run(Duration aTime, double aLoad)
  {
    const Instant end = m_now + aTime;
    std::exponential_distribution<double> gap(aLoad / kTransferSeconds);
    for (;;) {
      m_now += std::chrono::duration_cast<Duration>(
        std::chrono::duration<double>(gap(m_random)));
      if (m_now >= end) {
        m_now = end;
        return;
      }
      Request(m_random() % m_instances.size());
    }
  }

  [[nodiscard]] Duration Wait() const
  {
    return std::max(Duration(0), m_free - m_now);
  }

private:
  static constexpr double kTransferSeconds = 0.04;
  static constexpr Duration kTransfer = milliseconds(40);

  void Request(std::size_t aInstance)
  {
    const double share = 1.0 / static_cast<double>(m_instances.size());
    StoreLink& link = m_instances[aInstance];
    TransferEstimate offer;
    offer.wait = link.Wait(share, m_now);
    offer.transfer = kTransfer;
    offer.objective = milliseconds(600);
    if (m_is_bounded && !ShouldRead(offer)) {
      return;
    }
    link.Add(kTransfer, share, m_now);
    m_free = std::max(m_free, m_now) + kTransfer;
  }

  std::vector<StoreLink> m_instances;
  bool m_is_bounded;
  std::mt19937 m_random{ 1 };
  Instant m_now{ seconds(1000) };
  Instant m_free{}; ///< When the link has done all requested transfers.
};

} // namespace

TEST_GROUP(StoreLink){};

// Metastable failure: a load of twice the link's capacity for five seconds,
// then of nine tenths of it. Without a bound the queue outlives the burst.
TEST(StoreLink, QueueOnSharedLinkEndsWithTheBurst)
{
  for (const std::size_t instances : { 1U, 8U, 77U }) {
    SharedLink bounded(instances, true);
    bounded.Run(seconds(5), 2);
    CHECK(bounded.Wait() <= milliseconds(1300));
    bounded.Run(seconds(5), 0.9);
    CHECK(bounded.Wait() <= milliseconds(1300));
  }
  SharedLink unbounded(8, false);
  unbounded.Run(seconds(5), 2);
  unbounded.Run(seconds(5), 0.9);
  CHECK(unbounded.Wait() > seconds(3));
}

TEST(StoreLink, BacklogDrainsAtTheShareOfTheLink)
{
  StoreLink link;
  const Instant now = RuntimeClock::now();
  link.Add(milliseconds(50), 0.25, now);
  CHECK(link.Wait(0.25, now) == milliseconds(200));
  CHECK(link.Wait(0.25, now + milliseconds(120)) == milliseconds(80));
  CHECK(link.Wait(0.25, now + seconds(1)) == Duration(0));
}

TEST(StoreLink, WritesHaveLowerPriorityThanReads)
{
  TransferEstimate offer;
  offer.objective = milliseconds(600);
  offer.wait = milliseconds(700);
  offer.transfer = milliseconds(50);
  CHECK(ShouldRead(offer));
  CHECK_FALSE(ShouldWrite(offer));
  offer.wait = milliseconds(1200);
  CHECK_FALSE(ShouldRead(offer));
}

TEST(StoreLink, LinkTimeFollowsDeclaredRate)
{
  const LinkRate rate{ 1e9, milliseconds(6) };
  CHECK(LinkTime({ 1000, 100000, false }, rate) == milliseconds(100));
  CHECK(LinkTime({ 1000, 100000, true }, rate) == milliseconds(200));
  CHECK(LinkTime({ 1000, 0, false }, rate) == Duration(0));
  CHECK(LinkTime({ 1000, 100000, false }, {}) == Duration(0));
}

TEST(StoreLink, ShareFollowsTrafficAndIsNeverZero)
{
  TrafficShare share;
  DOUBLES_EQUAL(0.25, share.Value(), 0.001);
  // An instance that joins has no requests at the targets yet.
  share.AddSample(0, 40);
  CHECK(share.Value() > 0.1);
  for (int i = 0; i < 300; ++i) {
    share.AddSample(i % 2, 40);
  }
  DOUBLES_EQUAL(0.0125, share.Value(), 0.004);
  for (int i = 0; i < 2000; ++i) {
    share.AddSample(0, 0);
  }
  CHECK(share.Value() > 0);
}
