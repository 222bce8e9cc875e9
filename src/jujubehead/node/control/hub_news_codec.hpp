#ifndef JUJUBEHEAD_NODE_CONTROL_HUB_NEWS_CODEC_HPP
#define JUJUBEHEAD_NODE_CONTROL_HUB_NEWS_CODEC_HPP

#include <cstdint>     // for int64_t
#include <optional>    // for optional
#include <string>      // for string
#include <string_view> // for string_view
#include <vector>      // for vector

#include "jujubehead/core/context/part_log.hpp"   // for PartNews
#include "jujubehead/core/routing/load_news.hpp"  // for HeardLoad
#include "jujubehead/node/control/known_rows.hpp" // for RowNews

namespace jujubehead::node {

/// @brief What a hub tells another instance.
struct HubNews
{
  /// Names the start of the one who tells; places of another start mean
  /// nothing to it.
  std::string start;
  core::PartNews parts;
  /// The clock of targets and stores when it was told, in ms.
  std::optional<std::int64_t> clock_ms;
  std::vector<core::HeardLoad> loads; ///< Of the busiest targets.
  /// Whether both sides know the present form of loads.
  bool has_loads = false;
  /// Of the operators' store; nothing while the hub does not hear it.
  std::optional<RowNews> rows;
};

/// @return loads in eight bytes each, with their ages, and back. Counts end at
/// 255, ages at 2.5 s. @throws std::exception when the bytes are no loads.
std::string
LoadsToBytes(const std::vector<core::HeardLoad>& aLoads, core::Instant aNow);
std::vector<core::HeardLoad>
LoadsOf(std::string_view aBytes, core::Instant aTold);

/// @return the message as CBOR, and back. @throws std::exception when the bytes
/// are no such message.
/// @param aTold when it was told, at the latest, by the reader's clock.
std::string
ToBytes(const HubNews& aNews, core::Instant aNow);
HubNews
HubNewsOf(std::string_view aBytes, core::Instant aTold);

} // namespace jujubehead::node

#endif // JUJUBEHEAD_NODE_CONTROL_HUB_NEWS_CODEC_HPP
