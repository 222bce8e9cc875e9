#ifndef JUJUBEHEAD_BENCH_CONTEXT_PLACEMENT_HPP
#define JUJUBEHEAD_BENCH_CONTEXT_PLACEMENT_HPP

#include <cstddef>  // for size_t
#include <cstdint>  // for uint32_t
#include <optional> // for optional

#include "bench/context/workload.hpp"        // for Request
#include "jujubehead/core/directory.hpp"     // for CacheEvent
#include "jujubehead/core/link_schedule.hpp" // for TransferKind

namespace jujubehead::bench::context {

class World;

/// @brief Blocks to bring from a store for a request.
struct ImportPlan
{
  std::size_t store = 0;
  std::uint32_t from = 0;   ///< First block; 0: all that are missing.
  std::uint32_t blocks = 0; ///< Prefix to have once it has arrived.
  bool early = false;       ///< The target computes while it waits.
  Instant give_up = kNever;
};

/// @brief Where a request runs.
struct Placement
{
  std::size_t target = 0;
  double planned_seconds = 0; ///< Of the target.
  std::optional<ImportPlan> import;
  std::optional<std::uint32_t> hinted_blocks; ///< Believed to be cached.
};

/// @brief Blocks to take to a store.
struct ExportPlan
{
  std::size_t target = 0;
  std::size_t store = 0;
  std::uint32_t context = 0;
  std::uint32_t account = 0;
  std::uint32_t blocks = 0;
  bool only_missing = false; ///< Adds to the copy that is there.
  core::TransferKind kind = core::TransferKind::kExport;
};

/// @brief What a policy may leave out.
class PolicyBase
{
public:
  static constexpr bool kFollowsEvents = false;
  static constexpr bool kFairLink = false; ///< Else first come, first served.

  void OnRan(World&, const Request&, std::size_t /*aTarget*/) {}
  void OnCacheEvent(std::size_t /*aTarget*/, const core::CacheEvent&) {}
  void OnCopy(std::size_t /*aStore*/, const core::CacheEvent&) {}
  void OnStoreLost(std::size_t /*aStore*/) {}
  void OnMinute(World&) {}
  bool MakeRoom(World&, std::size_t, std::uint32_t, std::uint32_t)
  {
    return false;
  }
  void FitMemory(World&, std::size_t /*aStore*/) {}
};

} // namespace jujubehead::bench::context

#endif // JUJUBEHEAD_BENCH_CONTEXT_PLACEMENT_HPP
