#ifndef JUJUBEHEAD_NODE_CONTROL_STREAM_ORIGIN_CODEC_HPP
#define JUJUBEHEAD_NODE_CONTROL_STREAM_ORIGIN_CODEC_HPP

#include <string>      // for string
#include <string_view> // for string_view
#include <vector>      // for vector

#include "jujubehead/core/membership/stream_origins.hpp" // for StreamOrigin

namespace jujubehead::node {

/// @return the message that passes on origins of streams, in CBOR.
std::string
StreamOriginsToBytes(const std::vector<core::StreamOrigin>& aOrigins);

/// @throws std::exception when it is none.
std::vector<core::StreamOrigin>
StreamOriginsFromBytes(std::string_view aBytes);

} // namespace jujubehead::node

#endif // JUJUBEHEAD_NODE_CONTROL_STREAM_ORIGIN_CODEC_HPP
