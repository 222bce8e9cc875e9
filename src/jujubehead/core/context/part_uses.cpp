#include "jujubehead/core/context/part_uses.hpp"

#include <chrono> // for duration
#include <cmath>  // for exp

namespace jujubehead::core {
namespace {

using Seconds = std::chrono::duration<double>;

/// Over which uses are averaged.
constexpr Seconds kMeanTime{ 5.0 };
/// A part without a use for so long counts for nothing any more.
constexpr Duration kForgetTime = std::chrono::seconds(15);

} // namespace

double
PartUses::OnUse(std::string_view aPart, Instant aNow)
{
  if (aNow - m_forgot > kForgetTime) {
    Forget(aNow);
  }
  Use& use = m_parts[std::string(aPart)];
  use.rate *= std::exp(-(Seconds(aNow - use.last) / kMeanTime));
  use.rate += 1 / kMeanTime.count();
  use.last = aNow;
  return use.rate;
}

void
PartUses::Forget(Instant aNow)
{
  std::erase_if(m_parts, [&](const auto& aEntry) {
    return aNow - aEntry.second.last > kForgetTime;
  });
  m_forgot = aNow;
}

} // namespace jujubehead::core
