#include "jujubehead/core/weights/order_reach.hpp"

namespace jujubehead::core {
namespace {

/// A few targets may be down, and those that load respond four times a second.
constexpr std::size_t kSilentTargets = 2;
constexpr Duration kSilentTime = std::chrono::seconds(1);

} // namespace

void
OrderReach::OnResponse()
{
  m_silent.clear();
}

void
OrderReach::OnNoResponse(const TargetId& aTarget, Instant aNow)
{
  if (m_silent.empty()) {
    m_silent_since = aNow;
  }
  m_silent.insert(aTarget);
  if (m_silent.size() >= kSilentTargets &&
      aNow - m_silent_since >= kSilentTime) {
    m_silent.clear();
    m_yields_until = aNow + m_yield_time;
  }
}

} // namespace jujubehead::core
