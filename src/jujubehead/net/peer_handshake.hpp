#ifndef JUJUBEHEAD_NET_PEER_HANDSHAKE_HPP
#define JUJUBEHEAD_NET_PEER_HANDSHAKE_HPP

#include <cstdint>  // for uint8_t
#include <optional> // for optional
#include <span>     // for span
#include <string>   // for string

#include "peer_proof.hpp" // for PeerHello

#include "jujubehead/core/ids.hpp"      // for InstanceId
#include "jujubehead/net/peer_link.hpp" // for Bytes

namespace jujubehead::net {

/// @brief One end of the exchange by which two instances prove to each other
/// that they know the shared secret. Does no input or output.
class PeerHandshake
{
public:
  enum class Step
  {
    kGoOn,    ///< More greetings have to come.
    kOpen,    ///< The other end has proved itself.
    kRefused, ///< It has not, and the link has to be closed.
  };

  /// @brief What a greeting led to.
  struct Outcome
  {
    Step step = Step::kRefused;
    std::optional<Bytes> reply; ///< To be sent to the other end.
  };

  /// @param aPeer whom to reach; an answer by another one is refused.
  static PeerHandshake Dialler(core::InstanceId aSelf,
                               core::InstanceId aPeer,
                               std::string aSecret);
  static PeerHandshake Listener(core::InstanceId aSelf, std::string aSecret);

  /// @return the dialler's first greeting.
  [[nodiscard]] Bytes Begin() const;
  /// @brief Takes a greeting of the other end.
  Outcome Take(std::span<const std::uint8_t> aBytes);

  [[nodiscard]] bool IsDialler() const { return m_is_dialler; }
  /// @return the other end, as the hello names it; empty before that.
  [[nodiscard]] const core::InstanceId& Peer() const;

private:
  PeerHandshake(core::InstanceId aSelf, std::string aSecret, bool aIsDialler);

  Outcome TakePart(const PeerHello& aHello);
  Outcome TakePart(const PeerChallenge& aChallenge);
  Outcome TakePart(const PeerProof& aProof);
  [[nodiscard]] Bytes ProofOf(PeerEnd aEnd) const;

  core::InstanceId m_self;
  std::string m_secret;
  bool m_is_dialler;
  PeerHello m_hello;
  Bytes m_listener_nonce;
};

} // namespace jujubehead::net

#endif // JUJUBEHEAD_NET_PEER_HANDSHAKE_HPP
