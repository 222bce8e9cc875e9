#ifndef JUJUBEHEAD_BENCH_CONTEXT_KEEPING_POLICY_HPP
#define JUJUBEHEAD_BENCH_CONTEXT_KEEPING_POLICY_HPP

#include <cstddef>       // for size_t
#include <cstdint>       // for uint32_t
#include <unordered_map> // for unordered_map
#include <vector>        // for vector

#include "bench/context/placement.hpp"           // for Placement, PolicyBase
#include "jujubehead/core/directory.hpp"         // for Directory
#include "jujubehead/core/eviction_forecast.hpp" // for EvictionForecast
#include "jujubehead/core/retention_policy.hpp"  // for RetentionInput
#include "jujubehead/core/reuse_model.hpp"       // for ReuseModel
#include "jujubehead/core/router.hpp"            // for RankRoutes

namespace jujubehead::bench::context {

/// @brief The product's own decisions, over the fakes.
class KeepingPolicy : public PolicyBase
{
public:
  static constexpr bool kFollowsEvents = true;
  static constexpr bool kFairLink = true;

  explicit KeepingPolicy(const Hardware& aHardware);

  Placement Route(World& aWorld, const Request& aRequest);
  void OnRan(World& aWorld, const Request& aRequest, std::size_t aTarget);
  void OnCacheEvent(std::size_t aTarget, const core::CacheEvent& aEvent);
  void OnCopy(std::size_t aStore, const core::CacheEvent& aEvent);
  void OnStoreLost(std::size_t aStore);
  void OnMinute(World& aWorld);
  bool MakeRoom(World& aWorld,
                std::size_t aStore,
                std::uint32_t aContext,
                std::uint32_t aBlocks);
  void FitMemory(World& aWorld, std::size_t aStore);

private:
  struct Known
  {
    std::uint32_t account = 0;
    std::uint32_t blocks = 0;
    Instant last_use;
    Instant counted; ///< Idle time up to here is in the return model.
    bool seen = false;
  };

  void Observe(World& aWorld, const Request& aRequest);
  std::vector<core::TargetView> Candidates(
    World& aWorld,
    const core::ContextKey& aRoot,
    const std::vector<core::PrefixHint>& aHints);
  std::vector<core::StoredCopy> Copies(
    World& aWorld,
    const Request& aRequest,
    const std::vector<core::PrefixHint>& aHints);
  void ConsiderExport(World& aWorld,
                      std::uint32_t aContext,
                      std::size_t aTarget);
  [[nodiscard]] core::RetentionInput ValueOf(const World& aWorld,
                                             const Known& aKnown) const;
  [[nodiscard]] double PriceOf(World& aWorld, std::uint32_t aContext) const;

  std::vector<core::TargetId> m_targets;
  std::vector<core::AccountId> m_accounts;
  core::Directory m_directory;
  core::ReuseModel m_returns;
  std::vector<core::EvictionForecast> m_forecasts; ///< For exports.
  std::vector<core::EvictionForecast> m_evictions; ///< For hints.
  std::vector<Known> m_known;
  std::unordered_map<core::ContextKey, std::uint32_t> m_contexts;
};

} // namespace jujubehead::bench::context

#endif // JUJUBEHEAD_BENCH_CONTEXT_KEEPING_POLICY_HPP
