#include "jujubehead/core/membership/hubs.hpp"

#include <algorithm> // for sort, any_of, count_if, max, partition, transform
#include <iterator>  // for back_inserter
#include <map>       // for map

#include "jujubehead/core/routing/placement.hpp" // for PlacementHash

namespace jujubehead::core {
namespace {

using Instances = std::vector<KnownInstance>;

/// The order must scatter names that differ in their last letter only, because
/// instances of one data centre often have such names.
std::uint64_t
SeededHash(std::string_view aSeed, std::string_view aId)
{
  return PlacementHash(std::string(aSeed).append(1, '/').append(aId));
}

void
SortBySeed(Instances& aInstances, std::string_view aSeed)
{
  std::vector<std::pair<std::uint64_t, KnownInstance>> hashed;
  hashed.reserve(aInstances.size());
  for (KnownInstance& one : aInstances) {
    const std::uint64_t hash = SeededHash(aSeed, one.id);
    hashed.emplace_back(hash, std::move(one));
  }
  std::sort(
    hashed.begin(), hashed.end(), [](const auto& aOne, const auto& aOther) {
      return aOne.first < aOther.first;
    });
  aInstances.clear();
  std::transform(hashed.begin(),
                 hashed.end(),
                 std::back_inserter(aInstances),
                 [](auto& aOne) { return std::move(aOne.second); });
}

/// Instances with at least half of the largest capacity come first; the order
/// is otherwise kept.
void
PutLargestFirst(Instances& aInstances)
{
  constexpr double kMinShareOfLargest = 0.5;
  double largest = 0;
  for (const KnownInstance& one : aInstances) {
    largest = std::max(largest, one.capacity);
  }
  std::stable_partition(
    aInstances.begin(), aInstances.end(), [&](const KnownInstance& aOne) {
      return aOne.capacity >= kMinShareOfLargest * largest;
    });
}

/// @return the first instances, which are removed from `aFrom`.
Instances
TakeFirst(Instances& aFrom, std::size_t aCount)
{
  const auto end = aFrom.begin() + static_cast<Instances::difference_type>(
                                     std::min(aCount, aFrom.size()));
  Instances taken(std::make_move_iterator(aFrom.begin()),
                  std::make_move_iterator(end));
  aFrom.erase(aFrom.begin(), end);
  return taken;
}

bool
Contains(const Instances& aInstances, std::string_view aId)
{
  return std::any_of(aInstances.begin(),
                     aInstances.end(),
                     [&](const KnownInstance& aOne) { return aOne.id == aId; });
}

std::size_t
RelaysFor(std::size_t aInstances, const HubOptions& aOptions)
{
  if (aInstances <= 1) {
    return 0; // It polls a reader itself.
  }
  const std::size_t needed = (aInstances + aOptions.followers_per_relay - 1) /
                             aOptions.followers_per_relay;
  const std::size_t least = aInstances > aOptions.max_with_one_relay ? 2 : 1;
  return std::max(needed, least);
}

/// @return the relays of each data centre, the first of which polls a reader.
std::map<DataCentreId, Instances>
RelaysOf(Instances aInstances, const HubOptions& aOptions)
{
  std::map<DataCentreId, Instances> relays;
  for (KnownInstance& one : aInstances) {
    relays[one.data_centre].push_back(std::move(one));
  }
  for (auto& [data_centre, instances] : relays) {
    PutLargestFirst(instances);
    instances.resize(RelaysFor(instances.size(), aOptions));
  }
  return relays;
}

/// Appends the instances in an order of this instance's own, so that each hub
/// gets its share of pollers.
void
AppendShuffled(Instances& aTo, Instances aInstances, std::string_view aSelf)
{
  SortBySeed(aInstances, aSelf);
  for (KnownInstance& one : aInstances) {
    if (one.id != aSelf) {
      aTo.push_back(std::move(one));
    }
  }
}

} // namespace

std::string_view
NameOf(HubLevel aLevel)
{
  switch (aLevel) {
    case HubLevel::kReader:
      return "reader";
    case HubLevel::kStandby:
      return "standby";
    case HubLevel::kRelay:
      return "relay";
    case HubLevel::kFollower:
      break;
  }
  return "follower";
}

HubPlan
PlanHubs(Instances aInstances,
         std::string_view aSelf,
         const HubOptions& aOptions)
{
  HubPlan plan;
  plan.readers = aInstances.size();
  if (aInstances.size() <= aOptions.max_without_hubs) {
    AppendShuffled(plan.other_readers, std::move(aInstances), aSelf);
    return plan;
  }
  plan.is_tree = true;
  DataCentreId own_data_centre;
  for (const KnownInstance& one : aInstances) {
    if (one.id == aSelf) {
      own_data_centre = one.data_centre;
    }
  }
  SortBySeed(aInstances, "hub");
  PutLargestFirst(aInstances);
  const Instances readers = TakeFirst(aInstances, aOptions.readers);
  const Instances standbys = TakeFirst(aInstances, aOptions.standbys);
  auto relays = RelaysOf(std::move(aInstances), aOptions);
  plan.readers = readers.size();
  plan.relays = standbys.size();
  for (const auto& [data_centre, of_it] : relays) {
    plan.relays += of_it.size();
  }
  if (Contains(readers, aSelf)) {
    AppendShuffled(plan.other_readers, readers, aSelf);
    return plan;
  }
  if (Contains(standbys, aSelf)) {
    plan.level = HubLevel::kStandby;
    AppendShuffled(plan.upstreams, readers, aSelf);
    return plan;
  }
  Instances own_relays = std::move(relays[own_data_centre]);
  plan.level = HubLevel::kFollower;
  if (Contains(own_relays, aSelf)) {
    plan.level = HubLevel::kRelay;
    own_relays.resize(own_relays.front().id == aSelf ? 0 : 1);
  }
  AppendShuffled(plan.upstreams, std::move(own_relays), aSelf);
  AppendShuffled(plan.upstreams, readers, aSelf);
  AppendShuffled(plan.upstreams, standbys, aSelf);
  return plan;
}

std::size_t
RankOf(std::span<const KnownInstance> aInstances,
       std::string_view aSelf,
       std::string_view aSeed)
{
  const std::uint64_t own = SeededHash(aSeed, aSelf);
  const auto before = std::count_if(
    aInstances.begin(), aInstances.end(), [&](const KnownInstance& aOne) {
      return SeededHash(aSeed, aOne.id) < own;
    });
  return static_cast<std::size_t>(before);
}

void
HubRole::Update(Instances aInstances, const HubOptions& aOptions)
{
  m_known = aInstances.size();
  m_plan = PlanHubs(std::move(aInstances), m_self, aOptions);
}

bool
HubRole::Watches(Instant aNow) const
{
  if (m_plan.level == HubLevel::kStandby) {
    return aNow - std::max(m_upstream_answered, m_started) > kStandbyDelay;
  }
  return m_plan.level == HubLevel::kReader && !IsSettling(aNow);
}

bool
HubRole::MayReadDirectly(Instant aNow, double aRandom) const
{
  return m_has_read && !IsSettling(aNow) &&
         aNow - m_started >= DirectReadDelay(aRandom);
}

Duration
HubRole::DirectReadDelay(double aRandom) const
{
  constexpr Duration kMaxDelay = std::chrono::seconds(3);
  constexpr Duration kDelayUnit = std::chrono::microseconds(30);
  constexpr Duration kSpreadUnit = std::chrono::milliseconds(10);
  const auto known = static_cast<Duration::rep>(m_known);
  const Duration by_square = kDelayUnit * (known * known);
  const Duration delay = std::min(kMaxDelay, by_square);
  const Duration spread = std::min(kSpreadUnit * known, by_square);
  return delay + Duration(static_cast<Duration::rep>(
                   aRandom * static_cast<double>(spread.count())));
}

Duration
HubRole::RowsLifetime() const
{
  constexpr Duration kOfReader = std::chrono::milliseconds(850);
  constexpr Duration kPerLevel = std::chrono::milliseconds(300);
  switch (m_plan.level) {
    case HubLevel::kReader:
    case HubLevel::kStandby:
      return kOfReader;
    case HubLevel::kRelay:
      return kOfReader + kPerLevel;
    case HubLevel::kFollower:
      break;
  }
  return kOfReader + 2 * kPerLevel;
}

} // namespace jujubehead::core
