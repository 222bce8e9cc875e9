#include "jujubehead/net/http1/relay_frames.hpp"

#include <algorithm> // for min
#include <utility>   // for exchange

namespace jujubehead::net {
namespace {

constexpr unsigned kByteBits = 8;

} // namespace

RelayFrameHeader
FormatRelayFrameHeader(std::uint32_t aSize)
{
  RelayFrameHeader header{};
  for (std::size_t i = header.size(); i > 0; --i) {
    header.at(i - 1) = static_cast<char>(aSize);
    aSize >>= kByteBits;
  }
  return header;
}

void
RelayFrameReader::Put(std::string_view aReceived, std::string& aBytes)
{
  while (!aReceived.empty() && !m_has_ended) {
    if (m_left == 0) {
      PutHeaderByte(aReceived.front());
      aReceived.remove_prefix(1);
      continue;
    }
    const std::size_t size = std::min(m_left, aReceived.size());
    aBytes.append(aReceived.substr(0, size));
    aReceived.remove_prefix(size);
    m_left -= size;
  }
}

void
RelayFrameReader::PutHeaderByte(char aByte)
{
  m_size = m_size << kByteBits | static_cast<unsigned char>(aByte);
  if (++m_header_bytes < kRelayFrameHeaderBytes) {
    return;
  }
  m_header_bytes = 0;
  m_left = std::exchange(m_size, 0);
  m_has_ended = m_left == 0;
}

} // namespace jujubehead::net
