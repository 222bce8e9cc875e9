#include "jujubehead/core/rendezvous.hpp"

#include <algorithm> // for max_element, sort
#include <utility>   // for pair

namespace jujubehead::core {
namespace {

using Weighted = std::pair<std::uint64_t, const InstanceId*>;

/// Higher weight first; equal weights by name, so that all members agree.
bool
RanksBefore(const Weighted& aLeft, const Weighted& aRight)
{
  if (aLeft.first != aRight.first) {
    return aLeft.first > aRight.first;
  }
  return *aLeft.second < *aRight.second;
}

/// The finalizer of SplitMix64: every input bit affects every output bit.
std::uint64_t
Mix(std::uint64_t aValue)
{
  aValue ^= aValue >> 30U;
  aValue *= 0xBF58476D1CE4E5B9U;
  aValue ^= aValue >> 27U;
  aValue *= 0x94D049BB133111EBU;
  return aValue ^ aValue >> 31U;
}

/// Little-endian on every machine, so that all members agree.
std::uint64_t
FirstWord(const ContextKey& aKey)
{
  constexpr unsigned kByteBits = 8;
  std::uint64_t word = 0;
  for (std::size_t i = sizeof word; i > 0; --i) {
    word = word << kByteBits | aKey.Raw()[i - 1];
  }
  return word;
}

std::uint64_t
Weight(std::uint64_t aKey, std::string_view aName)
{
  return Mix(aKey ^ Mix(detail::HashName(aName)));
}

std::vector<InstanceId>
TopByWeight(std::uint64_t aKey,
            std::span<const InstanceId> aInstances,
            std::size_t aCount)
{
  std::vector<Weighted> weighted;
  weighted.reserve(aInstances.size());
  for (const InstanceId& instance : aInstances) {
    weighted.emplace_back(Weight(aKey, instance.View()), &instance);
  }
  const std::size_t count = std::min(aCount, weighted.size());
  const auto end = weighted.begin() + static_cast<std::ptrdiff_t>(count);
  std::partial_sort(weighted.begin(), end, weighted.end(), RanksBefore);
  std::vector<InstanceId> ranked;
  ranked.reserve(count);
  for (auto it = weighted.begin(); it != end; ++it) {
    ranked.push_back(*it->second);
  }
  return ranked;
}

} // namespace

namespace detail {

/// FNV-1a.
std::uint64_t
HashName(std::string_view aName)
{
  std::uint64_t hash = 0xCBF29CE484222325U;
  for (const char character : aName) {
    hash ^= static_cast<unsigned char>(character);
    hash *= 0x100000001B3U;
  }
  return hash;
}

std::uint64_t
RendezvousWeight(const ContextKey& aKey, std::string_view aName)
{
  return Weight(FirstWord(aKey), aName);
}

} // namespace detail

std::vector<InstanceId>
RankByRendezvous(const ContextKey& aKey,
                 std::span<const InstanceId> aInstances,
                 std::size_t aCount)
{
  return TopByWeight(FirstWord(aKey), aInstances, aCount);
}

std::vector<InstanceId>
RankByRendezvous(std::string_view aKey,
                 std::span<const InstanceId> aInstances,
                 std::size_t aCount)
{
  return TopByWeight(detail::HashName(aKey), aInstances, aCount);
}

std::optional<InstanceId>
RendezvousOwner(const ContextKey& aKey, std::span<const InstanceId> aInstances)
{
  auto ranked = RankByRendezvous(aKey, aInstances, 1);
  if (ranked.empty()) {
    return std::nullopt;
  }
  return std::move(ranked.front());
}

} // namespace jujubehead::core
