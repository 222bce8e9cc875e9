#ifndef JUJUBEHEAD_BENCH_AGREEMENT_FAKE_ENGINE_HPP
#define JUJUBEHEAD_BENCH_AGREEMENT_FAKE_ENGINE_HPP

#include <algorithm> // for max
#include <cstdint>   // for uint32_t, uint64_t
#include <map>       // for map
#include <string>    // for string
#include <vector>    // for vector

#include "jujubehead/core/permit.hpp" // for RequestId

namespace jujubehead::bench {

/// @brief A target that runs whatever it is given, and counts what its table
/// row would not have allowed.
class FakeEngine
{
public:
  FakeEngine() = default;
  FakeEngine(std::uint32_t aLimit, bool aChecksFencing)
    : m_limit(aLimit)
    , m_checks_fencing(aChecksFencing)
  {
  }

  /// @return whether it runs now.
  bool Begin(const core::RequestId& aRequest, const core::PermitId& aPermit)
  {
    if (m_checks_fencing && aPermit.epoch < m_fence) {
      return false;
    }
    m_running.emplace(aRequest, aPermit);
    m_most = std::max(m_most, Running());
    m_overshoot += Running() > m_limit ? 1 : 0;
    return true;
  }

  void End(const core::RequestId& aRequest) { m_running.erase(aRequest); }
  void Fence(std::uint64_t aEpoch) { m_fence = std::max(m_fence, aEpoch); }

  [[nodiscard]] std::uint32_t Running() const
  {
    return static_cast<std::uint32_t>(m_running.size());
  }
  [[nodiscard]] const std::map<core::RequestId, core::PermitId>& All() const
  {
    return m_running;
  }
  [[nodiscard]] std::uint64_t Overshoot() const { return m_overshoot; }
  [[nodiscard]] std::vector<core::RequestId> Requests() const
  {
    std::vector<core::RequestId> requests;
    for (const auto& [request, permit] : m_running) {
      requests.push_back(request);
    }
    return requests;
  }

private:
  std::uint32_t m_limit = 0;
  bool m_checks_fencing = false;
  std::uint64_t m_fence = 0;
  std::map<core::RequestId, core::PermitId> m_running;
  std::uint32_t m_most = 0;
  std::uint64_t m_overshoot = 0;
};

} // namespace jujubehead::bench

#endif // JUJUBEHEAD_BENCH_AGREEMENT_FAKE_ENGINE_HPP
