#include "jujubehead/core/membership/hubs.hpp"

#include <algorithm> // for max
#include <map>       // for map
#include <random>    // for minstd_rand, uniform_real_distribution

#include <CppUTest/TestHarness.h> // for TEST

#include "jujubehead/core/membership/hub_selector.hpp" // for HubSelector
#include "jujubehead/core/membership/hub_timing.hpp"   // for kHubTimeout
#include "jujubehead/core/membership/store_paths.hpp"  // for StorePaths

using namespace jujubehead::core;
using std::chrono::milliseconds;

namespace {

constexpr Duration kStep = milliseconds(5);
/// A call within the fleet or to the store, both ways.
constexpr Duration kRoundTrip = milliseconds(40);
constexpr Duration kSteadyTime = std::chrono::seconds(6);
/// Bound of the operators: from the acknowledgement of a change until it is in
/// force at each instance that reaches their store.
constexpr Duration kApplyBound = milliseconds(2000);
const Instant kStart = Instant(std::chrono::hours(1));

/// How an instance renews what it has from a hub.
enum class Renewal
{
  kFromConfirmation,
  /// A broken variant: as if the rows were new, with longer polls and times.
  kFromReceipt,
};

/// What goes wrong as a change is acknowledged.
enum class Loss
{
  kNone,
  kReaders,
  kReadersAndStandbys,
  kReadersWithoutStore, ///< They live, and answer polls.
  kRandomFifth,
};

/// An instance that follows the operators' rows.
struct Instance
{
  explicit Instance(const std::string& aId)
    : role(aId)
    , paths("store", aId)
  {
  }

  HubRole role;
  HubSelector selector;
  StorePaths paths;
  bool is_alive = true;
  bool reaches_store = true;
  bool has_change = false;
  int stale_polls = 0;
  Duration spread{};
  Instant as_of{}; ///< The store has confirmed its rows.
  Instant next_poll{};
  Instant next_read{};
  Instant changed_at = Instant::max(); ///< When it got the change.
};

struct Result
{
  Duration longest{};   ///< From the change until the last instance has it.
  int steady_reads = 0; ///< Of the store by others than readers.
  int steady_hub_losses = 0;
  int most_reads_a_second = 0; ///< Of one table.
};

class Fleet
{
public:
  Fleet(std::size_t aCount, Renewal aRenewal, unsigned aSeed)
    : m_renewal(aRenewal)
    , m_random(aSeed)
  {
    std::vector<KnownInstance> known;
    for (std::size_t i = 0; i < aCount; ++i) {
      std::string place = "dc-";
      place += std::to_string(i % 4);
      std::string id = place;
      id.append("/entry-").append(std::to_string(i));
      known.push_back({ id, id, 1.0, DataCentreId(place) });
    }
    for (const KnownInstance& one : known) {
      Instance& instance =
        m_instances.try_emplace(one.id, one.id).first->second;
      instance.role.Update(known);
      instance.spread = Random(kDirectReadSpread);
      instance.as_of = kStart;
      instance.paths.OnHubFeed(kStart + instance.role.RowsLifetime());
      instance.next_poll = kStart + Random(kFollowerPollInterval);
      instance.next_read = kStart + Random(kHubReadWait);
    }
  }

  Result Play(Loss aLoss)
  {
    for (Instant now = kStart; now < kStart + kSteadyTime; now += kStep) {
      if (now == kStart + kSteadyTime / 2) {
        m_result = {}; // The start is over.
      }
      Advance(now);
    }
    Result result = m_result;
    const Instant change = kStart + kSteadyTime;
    m_change = change;
    Lose(aLoss);
    m_reads.clear();
    for (Instant now = change; now < change + 2 * kApplyBound; now += kStep) {
      Advance(now);
    }
    for (const auto& [id, one] : m_instances) {
      if (one.is_alive && one.reaches_store) {
        const Duration time =
          one.has_change ? one.changed_at - change : Duration::max();
        result.longest = std::max(result.longest, time);
      }
    }
    for (const auto& [second, reads] : m_reads) {
      result.most_reads_a_second = std::max(result.most_reads_a_second, reads);
    }
    return result;
  }

private:
  double RandomShare()
  {
    return std::uniform_real_distribution<>(0, 1)(m_random);
  }

  Duration Random(Duration aLimit)
  {
    return Duration(static_cast<Duration::rep>(
      RandomShare() * static_cast<double>(aLimit.count())));
  }

  void Lose(Loss aLoss)
  {
    for (auto& [id, one] : m_instances) {
      const HubLevel level = one.role.Level();
      const bool is_reader = level == HubLevel::kReader;
      const bool is_hub = is_reader || level == HubLevel::kStandby;
      constexpr double kFifth = 0.2;
      const bool is_drawn = RandomShare() < kFifth;
      if ((aLoss == Loss::kReaders && is_reader) ||
          (aLoss == Loss::kReadersAndStandbys && is_hub) ||
          (aLoss == Loss::kRandomFifth && is_drawn)) {
        one.is_alive = false;
      }
      if (aLoss == Loss::kReadersWithoutStore && is_reader) {
        one.reaches_store = false;
      }
    }
  }

  void Advance(Instant aNow)
  {
    for (auto& [id, one] : m_instances) {
      if (!one.is_alive) {
        continue;
      }
      const bool reads = !one.paths.HasHubFeed(aNow);
      if (reads && one.reaches_store && aNow >= one.next_read) {
        Read(one, aNow);
      }
      if (!one.role.Upstreams().empty() && aNow >= one.next_poll) {
        Poll(one, aNow);
      }
      // A long poll of the store returns as soon as there is a change.
      if (reads && one.reaches_store && aNow - kRoundTrip >= m_change &&
          aNow < one.next_read && one.as_of > kStart) {
        SetChanged(one, aNow);
      }
    }
  }

  void SetChanged(Instance& aInstance, Instant aNow)
  {
    if (!aInstance.has_change) {
      aInstance.has_change = true;
      aInstance.changed_at = aNow + kRoundTrip;
    }
  }

  void Read(Instance& aInstance, Instant aNow)
  {
    aInstance.as_of = aNow;
    aInstance.next_read = aNow + ReadWait() + kRoundTrip;
    if (aNow >= m_change) {
      SetChanged(aInstance, aNow);
    }
    if (aInstance.role.Level() != HubLevel::kReader) {
      ++m_result.steady_reads;
      ++m_reads[(aNow - kStart) / std::chrono::seconds(1)];
    }
  }

  void Poll(Instance& aInstance, Instant aNow)
  {
    const auto& upstreams = aInstance.role.Upstreams();
    const Instance& hub =
      m_instances.at(upstreams[aInstance.selector.Next(upstreams.size())].id);
    if (!hub.is_alive) {
      ++m_result.steady_hub_losses;
      aInstance.next_poll =
        aNow + kHubTimeout +
        aInstance.selector.OnFailure(HubFailure::kTimeout, RandomShare());
      return;
    }
    aInstance.next_poll =
      aNow +
      (aInstance.role.HasFollowers() ? kRelayPollInterval
                                     : kFollowerPollInterval) +
      kRoundTrip;
    if (aNow - hub.as_of > MaxAgeAt(hub)) {
      if (++aInstance.stale_polls > kMaxStalePolls) {
        aInstance.stale_polls = 0;
        ++m_result.steady_hub_losses;
        aInstance.next_poll =
          aNow + aInstance.selector.OnFailure(HubFailure::kNotServing, 0);
      }
      return;
    }
    aInstance.stale_polls = 0;
    aInstance.selector.OnAnswer();
    aInstance.as_of = std::max(aInstance.as_of, hub.as_of);
    if (hub.has_change && hub.changed_at <= aNow) {
      SetChanged(aInstance, aNow);
    }
    aInstance.paths.OnHubFeed(FeedEnd(aInstance, hub, aNow));
  }

  [[nodiscard]] Duration ReadWait() const
  {
    return m_renewal == Renewal::kFromConfirmation ? kHubReadWait
                                                   : milliseconds(1200);
  }

  [[nodiscard]] Duration MaxAgeAt(const Instance& aHub) const
  {
    return m_renewal == Renewal::kFromConfirmation
             ? aHub.role.RowsLifetime()
             : milliseconds(aHub.role.Upstreams().empty() ? 1400 : 1700);
  }

  [[nodiscard]] Instant FeedEnd(const Instance& aInstance,
                                const Instance& aHub,
                                Instant aNow) const
  {
    if (m_renewal == Renewal::kFromConfirmation) {
      return aHub.as_of + aInstance.role.RowsLifetime() + aInstance.spread;
    }
    const bool is_follower = !aInstance.role.HasFollowers();
    return aNow + milliseconds(is_follower ? 1900 : 1400);
  }

  Renewal m_renewal;
  std::minstd_rand m_random;
  std::map<std::string, Instance> m_instances;
  Instant m_change = Instant::max();
  std::map<std::int64_t, int> m_reads; ///< By second since the start.
  Result m_result;
};

Result
Play(std::size_t aCount,
     Loss aLoss,
     unsigned aSeed,
     Renewal aRenewal = Renewal::kFromConfirmation)
{
  return Fleet(aCount, aRenewal, aSeed).Play(aLoss);
}

} // namespace

TEST_GROUP(HubLossModel){};

// With its hubs gone, an instance went on with rows that other hubs passed on
// as if they were new, and applied changes of the operators too late.
TEST(HubLossModel, ChangesAreInForceInTimeWhicheverHubsAreLost)
{
  for (const std::size_t count : std::vector<std::size_t>{ 13, 26, 101, 370 }) {
    for (const Loss loss : { Loss::kNone,
                             Loss::kReaders,
                             Loss::kReadersAndStandbys,
                             Loss::kReadersWithoutStore,
                             Loss::kRandomFifth }) {
      for (unsigned seed = 1; seed <= 5; ++seed) {
        CHECK(Play(count, loss, seed).longest <= kApplyBound);
      }
    }
  }
  CHECK(Play(984, Loss::kReadersAndStandbys, 1).longest <= kApplyBound);
  CHECK(Play(984, Loss::kRandomFifth, 1).longest <= kApplyBound);
}

TEST(HubLossModel, RowsThatAreRenewedAtEachLevelAreLate)
{
  Duration longest{};
  for (unsigned seed = 1; seed <= 5; ++seed) {
    longest =
      std::max(longest,
               Play(26, Loss::kReadersWithoutStore, seed, Renewal::kFromReceipt)
                 .longest);
  }
  CHECK(longest > kApplyBound);
}

// The operators' store takes 2,000 reads a second of three hundred instances.
TEST(HubLossModel, TheStoreIsNotReadByAllWhenHubsAreLost)
{
  LONGS_EQUAL(0, Play(370, Loss::kNone, 1).steady_reads);
  LONGS_EQUAL(0, Play(370, Loss::kNone, 1).steady_hub_losses);
  CHECK(Play(370, Loss::kReaders, 1).most_reads_a_second <= 370 / 2);
  CHECK(Play(370, Loss::kReadersWithoutStore, 1).most_reads_a_second <=
        370 / 2);
}
