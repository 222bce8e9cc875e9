#ifndef JUJUBEHEAD_NET_PEER_OUTBOX_HPP
#define JUJUBEHEAD_NET_PEER_OUTBOX_HPP

#include <algorithm> // for max, min
#include <cstddef>   // for size_t
#include <deque>     // for deque
#include <utility>   // for exchange, move

#include "jujubehead/core/runtime_clock.hpp" // for Duration, Instant
#include "jujubehead/net/peer_link.hpp"      // for Bytes

namespace jujubehead::net {

/// @brief Messages to one instance that wait for a link, and when a link may be
/// tried for them.
class PeerOutbox
{
public:
  static constexpr core::Duration kFirstBackOff = std::chrono::milliseconds(50);
  static constexpr core::Duration kLastBackOff = std::chrono::seconds(2);

  /// @return false when it would hold more bytes than the limit.
  bool Put(Bytes aBytes, std::size_t aLimit)
  {
    if (m_bytes + aBytes.size() > aLimit) {
      return false;
    }
    m_bytes += aBytes.size();
    m_messages.push_back(std::move(aBytes));
    return true;
  }

  /// @brief A link is there. @return what waited for it, in order.
  std::deque<Bytes> Open()
  {
    m_back_off = {};
    m_bytes = 0;
    return std::exchange(m_messages, {});
  }

  /// @brief No link came about: the next try has to wait, and what waited for
  /// this one is dropped. @return how many messages.
  std::size_t Fail(core::Instant aNow)
  {
    m_back_off =
      std::min(std::max(2 * m_back_off, kFirstBackOff), kLastBackOff);
    m_dial_after = aNow + m_back_off;
    return Drop();
  }

  /// @return how many messages were dropped.
  std::size_t Drop()
  {
    m_bytes = 0;
    return std::exchange(m_messages, {}).size();
  }

  [[nodiscard]] bool WantsLink(core::Instant aNow) const
  {
    return !m_messages.empty() && aNow >= m_dial_after;
  }

private:
  std::deque<Bytes> m_messages;
  std::size_t m_bytes = 0;
  core::Duration m_back_off{ 0 };
  core::Instant m_dial_after;
};

} // namespace jujubehead::net

#endif // JUJUBEHEAD_NET_PEER_OUTBOX_HPP
