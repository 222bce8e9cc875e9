#ifndef JUJUBEHEAD_NODE_CONTROL_HUB_NEWS_CODEC_HPP
#define JUJUBEHEAD_NODE_CONTROL_HUB_NEWS_CODEC_HPP

#include <cstdint>     // for int64_t
#include <optional>    // for optional
#include <string>      // for string
#include <string_view> // for string_view

#include "jujubehead/core/context/part_log.hpp"   // for PartNews
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
  /// Of the operators' store; nothing while the hub does not hear it.
  std::optional<RowNews> rows;
};

/// @return the message as CBOR, and back. @throws std::exception when the bytes
/// are no such message.
std::string
ToBytes(const HubNews& aNews);
HubNews
HubNewsOf(std::string_view aBytes);

} // namespace jujubehead::node

#endif // JUJUBEHEAD_NODE_CONTROL_HUB_NEWS_CODEC_HPP
