#include "jujubehead/core/membership/stream_origins.hpp"

#include "jujubehead/core/routing/placement.hpp" // for PlacementHash

namespace jujubehead::core {

StreamKey
StreamKeyOf(std::string_view aRequestId)
{
  return static_cast<StreamKey>(PlacementHash(aRequestId));
}

void
StreamOrigins::Put(const StreamOrigin& aOrigin, Instant aNow)
{
  DropOld(aNow);
  m_streams[aOrigin.stream] = { aOrigin.service,
                                aOrigin.software_version,
                                aNow };
  m_order.push_back({ aOrigin.stream, aNow });
}

std::optional<std::string>
StreamOrigins::VersionOf(StreamKey aStream, Instant aNow) const
{
  const auto found = m_streams.find(aStream);
  if (found == m_streams.end() ||
      aNow - found->second.put_at > m_options.retention) {
    return std::nullopt;
  }
  return found->second.software_version;
}

std::vector<StreamOrigin>
StreamOrigins::Recent(const ServiceId& aService,
                      Duration aAge,
                      Instant aNow) const
{
  std::vector<StreamOrigin> recent;
  for (const auto& [stream, entry] : m_streams) {
    if (entry.service == aService && aNow - entry.put_at <= aAge) {
      recent.push_back({ stream, entry.service, entry.software_version });
    }
  }
  return recent;
}

void
StreamOrigins::DropOld(Instant aNow)
{
  while (!m_order.empty() &&
         (m_order.size() >= m_options.max_streams ||
          aNow - m_order.front().at > m_options.retention)) {
    const auto found = m_streams.find(m_order.front().stream);
    // One that was put again is kept for longer.
    if (found != m_streams.end() &&
        found->second.put_at == m_order.front().at) {
      m_streams.erase(found);
    }
    m_order.pop_front();
  }
}

} // namespace jujubehead::core
