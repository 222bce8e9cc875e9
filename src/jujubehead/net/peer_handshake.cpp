#include "peer_handshake.hpp"

#include <utility> // for move

namespace jujubehead::net {

PeerHandshake::PeerHandshake(core::InstanceId aSelf,
                             std::string aSecret,
                             bool aIsDialler)
  : m_self(std::move(aSelf))
  , m_secret(std::move(aSecret))
  , m_is_dialler(aIsDialler)
{
}

PeerHandshake
PeerHandshake::Dialler(core::InstanceId aSelf,
                       core::InstanceId aPeer,
                       std::string aSecret)
{
  PeerHandshake end(std::move(aSelf), std::move(aSecret), true);
  end.m_hello.dialler = end.m_self;
  end.m_hello.listener = std::move(aPeer);
  end.m_hello.nonce = NewNonce();
  return end;
}

PeerHandshake
PeerHandshake::Listener(core::InstanceId aSelf, std::string aSecret)
{
  return { std::move(aSelf), std::move(aSecret), false };
}

Bytes
PeerHandshake::Begin() const
{
  return EncodeGreeting(m_hello);
}

PeerHandshake::Outcome
PeerHandshake::Take(std::span<const std::uint8_t> aBytes)
{
  const auto greeting = DecodeGreeting(aBytes);
  if (!greeting) {
    return {};
  }
  return std::visit([this](const auto& aPart) { return TakePart(aPart); },
                    *greeting);
}

const core::InstanceId&
PeerHandshake::Peer() const
{
  return m_is_dialler ? m_hello.listener : m_hello.dialler;
}

PeerHandshake::Outcome
PeerHandshake::TakePart(const PeerHello& aHello)
{
  const bool is_first = !m_is_dialler && m_listener_nonce.empty();
  if (!is_first || aHello.listener != m_self) {
    return {};
  }
  m_hello = aHello;
  m_listener_nonce = NewNonce();
  return { Step::kGoOn,
           EncodeGreeting(
             PeerChallenge{ m_listener_nonce, ProofOf(PeerEnd::kListener) }) };
}

PeerHandshake::Outcome
PeerHandshake::TakePart(const PeerChallenge& aChallenge)
{
  if (!m_is_dialler) {
    return {};
  }
  m_listener_nonce = aChallenge.nonce;
  if (!SameProof(aChallenge.proof, ProofOf(PeerEnd::kListener))) {
    return {};
  }
  return { Step::kOpen,
           EncodeGreeting(PeerProof{ ProofOf(PeerEnd::kDialler) }) };
}

PeerHandshake::Outcome
PeerHandshake::TakePart(const PeerProof& aProof)
{
  if (m_is_dialler || m_listener_nonce.empty() ||
      !SameProof(aProof.proof, ProofOf(PeerEnd::kDialler))) {
    return {};
  }
  return { Step::kOpen, std::nullopt };
}

Bytes
PeerHandshake::ProofOf(PeerEnd aEnd) const
{
  return MakeProof(m_secret, aEnd, m_hello, m_listener_nonce);
}

} // namespace jujubehead::net
