#include "jujubehead/core/context/prefix_popularity.hpp"

#include <chrono>  // for duration
#include <cmath>   // for exp
#include <utility> // for move

namespace jujubehead::core {
namespace {

using Seconds = std::chrono::duration<double>;

/// Time constant of the exponential moving average.
constexpr Seconds kDecayTime{ 5.0 };
/// A part unused for this long is evicted: its rate has decayed to almost 0.
constexpr Duration kEvictionAge = std::chrono::seconds(15);
/// Memory of an entry besides a long name.
constexpr std::size_t kEntryBytes = 112;

std::size_t
BytesOf(const std::string& aPart)
{
  return kEntryBytes + aPart.size();
}

} // namespace

double
PrefixPopularity::CountUse(std::string_view aPart, Instant aNow)
{
  if (aNow - m_last_eviction > kEvictionAge) {
    EvictUnused(aNow);
  }
  std::string part(aPart);
  auto found = m_parts.find(part);
  if (found == m_parts.end()) {
    const std::size_t bytes = BytesOf(part);
    if (m_bytes + bytes > kMaxBytes) {
      return 1 / kDecayTime.count();
    }
    m_bytes += bytes;
    found = m_parts.emplace(std::move(part), Use{}).first;
  }
  Use& use = found->second;
  use.rate *= std::exp(-(Seconds(aNow - use.last) / kDecayTime));
  use.rate += 1 / kDecayTime.count();
  use.last = aNow;
  return use.rate;
}

void
PrefixPopularity::EvictUnused(Instant aNow)
{
  std::erase_if(m_parts, [&](const auto& aEntry) {
    const bool is_unused = aNow - aEntry.second.last > kEvictionAge;
    m_bytes -= is_unused ? BytesOf(aEntry.first) : 0;
    return is_unused;
  });
  m_last_eviction = aNow;
}

} // namespace jujubehead::core
