#include "jujubehead/core/context/prefix_popularity.hpp"

#include <chrono> // for duration
#include <cmath>  // for exp

namespace jujubehead::core {
namespace {

using Seconds = std::chrono::duration<double>;

/// Time constant of the exponential moving average.
constexpr Seconds kDecayTime{ 5.0 };
/// A part unused for this long is evicted: its rate has decayed to almost 0.
constexpr Duration kEvictionAge = std::chrono::seconds(15);

} // namespace

double
PrefixPopularity::CountUse(std::string_view aPart, Instant aNow)
{
  if (aNow - m_last_eviction > kEvictionAge) {
    EvictUnused(aNow);
  }
  Use& use = m_parts[std::string(aPart)];
  use.rate *= std::exp(-(Seconds(aNow - use.last) / kDecayTime));
  use.rate += 1 / kDecayTime.count();
  use.last = aNow;
  return use.rate;
}

void
PrefixPopularity::EvictUnused(Instant aNow)
{
  std::erase_if(m_parts, [&](const auto& aEntry) {
    return aNow - aEntry.second.last > kEvictionAge;
  });
  m_last_eviction = aNow;
}

} // namespace jujubehead::core
