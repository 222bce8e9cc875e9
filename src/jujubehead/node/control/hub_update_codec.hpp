#ifndef JUJUBEHEAD_NODE_CONTROL_HUB_UPDATE_CODEC_HPP
#define JUJUBEHEAD_NODE_CONTROL_HUB_UPDATE_CODEC_HPP

#include <cstdint>     // for int64_t, uint64_t
#include <optional>    // for optional
#include <string>      // for string
#include <string_view> // for string_view
#include <vector>      // for vector

#include "jujubehead/core/context/part_log.hpp"        // for PartLogPage
#include "jujubehead/core/routing/load_reports.hpp"    // for TargetLoadReport
#include "jujubehead/core/routing/poison_requests.hpp" // for PoisonReport
#include "jujubehead/node/control/row_cache.hpp"       // for RowUpdate

namespace jujubehead::node {

/// @brief A hub's reply to a poll.
struct HubUpdate
{
  /// Identifies the hub's run; cursors from another run are not valid in it.
  std::string start;
  core::PartLogPage parts;
  /// Clock of targets and stores at the time of sending, in ms.
  std::optional<std::int64_t> clock_ms;
  std::vector<core::TargetLoadReport> loads; ///< Of the busiest targets.
  std::uint64_t next_loads = 0; ///< Position in the hub's loads after these.
  /// Whether both sides support the current loads encoding.
  bool has_loads = false;
  std::vector<core::PoisonReport> poison_reports; ///< About suspects.
  std::uint64_t next_poison_report = 0; ///< Position in the hub's after these.
  /// Of the operators' store; empty while the hub cannot reach it.
  std::optional<RowUpdate> rows;
};

/// @brief Encodes loads with their ages in eight bytes each, and decodes them.
/// Counts saturate at 255, ages at 2.5 s.
/// @throws std::exception on malformed bytes.
std::string
LoadsToBytes(const std::vector<core::TargetLoadReport>& aLoads,
             core::Instant aNow);
std::vector<core::TargetLoadReport>
LoadsFromBytes(std::string_view aBytes, core::Instant aSentAt);

/// @brief Encodes the message as CBOR, and decodes it.
/// @param aSentAt assumed time of sending, by the reader's clock.
/// @throws std::exception on malformed bytes.
std::string
ToBytes(const HubUpdate& aUpdate, core::Instant aNow);
HubUpdate
HubUpdateFromBytes(std::string_view aBytes, core::Instant aSentAt);

} // namespace jujubehead::node

#endif // JUJUBEHEAD_NODE_CONTROL_HUB_UPDATE_CODEC_HPP
