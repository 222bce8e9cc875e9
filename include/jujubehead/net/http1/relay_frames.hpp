#ifndef JUJUBEHEAD_NET_HTTP1_RELAY_FRAMES_HPP
#define JUJUBEHEAD_NET_HTTP1_RELAY_FRAMES_HPP

#include <array>       // for array
#include <cstddef>     // for size_t
#include <cstdint>     // for uint32_t
#include <string>      // for string
#include <string_view> // for string_view

namespace jujubehead::net {

// The frames in which one instance relays a connection's bytes to another: the
// size as four bytes, the most significant first, then as many bytes. A frame
// of size 0 says that the relayed connection ended in order. The end of the
// relaying connection says nothing: the kernel closes it in order when the
// relaying process is killed.

/// Size of the part of a frame before its bytes.
inline constexpr std::size_t kRelayFrameHeaderBytes = 4;
using RelayFrameHeader = std::array<char, kRelayFrameHeaderBytes>;

/// @param aSize of the frame's bytes; 0: the end.
[[nodiscard]] RelayFrameHeader
FormatRelayFrameHeader(std::uint32_t aSize);

/// @brief Reads frames from bytes as they come, cut at any place.
///
/// @code
/// RelayFrameReader reader;
/// reader.Put(received, input);
/// if (reader.HasEnded()) { ... }
/// @endcode
class RelayFrameReader
{
public:
  /// @brief Appends what the frames hold. Bytes after the end are ignored.
  void Put(std::string_view aReceived, std::string& aBytes);
  /// @return whether the relayed connection has ended in order.
  [[nodiscard]] bool HasEnded() const { return m_has_ended; }

private:
  void PutHeaderByte(char aByte);

  std::uint32_t m_size = 0;       ///< Of the frame, as far as it has come.
  std::size_t m_header_bytes = 0; ///< Bytes of the header that have come.
  std::size_t m_left = 0;         ///< Bytes of the frame still to come.
  bool m_has_ended = false;
};

} // namespace jujubehead::net

#endif // JUJUBEHEAD_NET_HTTP1_RELAY_FRAMES_HPP
