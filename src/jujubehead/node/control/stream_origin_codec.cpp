#include "stream_origin_codec.hpp"

#include <cstddef> // for size_t
#include <cstdint> // for uint64_t

#include <nlohmann/json.hpp> // for json

namespace jujubehead::node {
namespace {

using nlohmann::json;

/// Array indices of an origin.
enum OriginField : std::size_t
{
  kStream,
  kService,
  kSoftwareVersion,
};

} // namespace

std::string
StreamOriginsToBytes(const std::vector<core::StreamOrigin>& aOrigins)
{
  json origins = json::array();
  for (const core::StreamOrigin& origin : aOrigins) {
    origins.push_back(json::array({ static_cast<std::uint64_t>(origin.stream),
                                    origin.service.Text(),
                                    origin.software_version }));
  }
  std::string bytes;
  json::to_cbor(origins, bytes);
  return bytes;
}

std::vector<core::StreamOrigin>
StreamOriginsFromBytes(std::string_view aBytes)
{
  std::vector<core::StreamOrigin> origins;
  for (const json& origin : json::from_cbor(aBytes.begin(), aBytes.end())) {
    origins.push_back(
      { static_cast<core::StreamKey>(origin.at(kStream).get<std::uint64_t>()),
        core::ServiceId(origin.at(kService).get<std::string>()),
        origin.at(kSoftwareVersion).get<std::string>() });
  }
  return origins;
}

} // namespace jujubehead::node
