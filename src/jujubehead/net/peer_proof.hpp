#ifndef JUJUBEHEAD_NET_PEER_PROOF_HPP
#define JUJUBEHEAD_NET_PEER_PROOF_HPP

#include <cstdint>  // for uint8_t
#include <optional> // for optional
#include <span>     // for span
#include <string>   // for string
#include <variant>  // for variant

#include "jujubehead/core/ids.hpp"      // for InstanceId
#include "jujubehead/net/peer_link.hpp" // for Bytes

namespace jujubehead::net {

/// @brief First message of a link, by the instance that dialled.
struct PeerHello
{
  core::InstanceId dialler;
  core::InstanceId listener; ///< Whom the dialler wants to reach.
  Bytes nonce;               ///< Fresh, of the dialler.
};

/// @brief The listener's answer: it knows the secret, and asks for proof.
struct PeerChallenge
{
  Bytes nonce; ///< Fresh, of the listener.
  Bytes proof;
};

/// @brief The dialler's proof; the link is open once it was checked.
struct PeerProof
{
  Bytes proof;
};

using PeerGreeting = std::variant<PeerHello, PeerChallenge, PeerProof>;

/// @return the greeting as CBOR.
Bytes
EncodeGreeting(const PeerGreeting& aGreeting);
/// @return the greeting; nothing when the bytes are none.
std::optional<PeerGreeting>
DecodeGreeting(std::span<const std::uint8_t> aBytes);

/// @return a fresh nonce. @throws std::runtime_error without randomness.
Bytes
NewNonce();

/// @brief Which end of a link proves that it knows the secret. The ends prove
/// different things, so that neither can hand the other's proof back.
enum class PeerEnd
{
  kDialler,
  kListener,
};

/// @return HMAC-SHA256 under the secret, over the end, both names and both
/// nonces.
Bytes
MakeProof(const std::string& aSecret,
          PeerEnd aEnd,
          const PeerHello& aHello,
          const Bytes& aListenerNonce);

/// @return whether two proofs are equal, in a time that does not tell where
/// they differ.
bool
SameProof(const Bytes& aOne, const Bytes& aOther);

} // namespace jujubehead::net

#endif // JUJUBEHEAD_NET_PEER_PROOF_HPP
