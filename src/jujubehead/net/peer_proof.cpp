#include "peer_proof.hpp"

#include <array>     // for array
#include <stdexcept> // for runtime_error
#include <utility>   // for move

#include <nlohmann/json.hpp> // for json
#include <openssl/crypto.h>  // for CRYPTO_memcmp
#include <openssl/evp.h>     // for EVP_sha256
#include <openssl/hmac.h>    // for HMAC
#include <openssl/rand.h>    // for RAND_bytes

namespace jujubehead::net {
namespace {

using nlohmann::json;

constexpr std::size_t kNonceBytes = 32;
constexpr std::size_t kNameLimit = 256;
/// The CBOR reader goes down by recursion; a longer greeting of someone who has
/// proved nothing yet could take it too deep.
constexpr std::size_t kGreetingBytes = 1024;
/// Of this form of the greeting; another one is refused.
constexpr int kProtocol = 1;

json
ToJson(const PeerHello& aHello)
{
  return { { "protocol", kProtocol },
           { "dialler", aHello.dialler.Text() },
           { "listener", aHello.listener.Text() },
           { "nonce", json::binary(aHello.nonce) } };
}

json
ToJson(const PeerChallenge& aChallenge)
{
  return { { "challenge", json::binary(aChallenge.nonce) },
           { "proof", json::binary(aChallenge.proof) } };
}

json
ToJson(const PeerProof& aProof)
{
  return { { "proof", json::binary(aProof.proof) } };
}

Bytes
BinaryOf(const json& aObject, const char* aName)
{
  return aObject.at(aName).get_binary();
}

core::InstanceId
NameOf(const json& aObject, const char* aName)
{
  auto text = aObject.at(aName).get<std::string>();
  if (text.empty() || text.size() > kNameLimit) {
    throw std::runtime_error("no name of an instance");
  }
  return core::InstanceId(std::move(text));
}

PeerGreeting
FromJson(const json& aObject)
{
  if (aObject.contains("protocol")) {
    if (aObject.at("protocol").get<int>() != kProtocol) {
      throw std::runtime_error("another protocol");
    }
    PeerHello hello{ NameOf(aObject, "dialler"),
                     NameOf(aObject, "listener"),
                     BinaryOf(aObject, "nonce") };
    if (hello.nonce.size() != kNonceBytes) {
      throw std::runtime_error("no nonce");
    }
    return hello;
  }
  if (aObject.contains("challenge")) {
    return PeerChallenge{ BinaryOf(aObject, "challenge"),
                          BinaryOf(aObject, "proof") };
  }
  return PeerProof{ BinaryOf(aObject, "proof") };
}

} // namespace

Bytes
EncodeGreeting(const PeerGreeting& aGreeting)
{
  return json::to_cbor(
    std::visit([](const auto& aPart) { return ToJson(aPart); }, aGreeting));
}

std::optional<PeerGreeting>
DecodeGreeting(std::span<const std::uint8_t> aBytes)
{
  if (aBytes.size() > kGreetingBytes) {
    return std::nullopt;
  }
  try {
    return FromJson(json::from_cbor(aBytes.begin(), aBytes.end()));
  } catch (const std::exception&) {
    return std::nullopt;
  }
}

Bytes
NewNonce()
{
  Bytes nonce(kNonceBytes);
  if (RAND_bytes(nonce.data(), static_cast<int>(nonce.size())) != 1) {
    throw std::runtime_error("no randomness for a nonce");
  }
  return nonce;
}

Bytes
MakeProof(const std::string& aSecret,
          PeerEnd aEnd,
          const PeerHello& aHello,
          const Bytes& aListenerNonce)
{
  const json statement = { aEnd == PeerEnd::kDialler ? "dialler" : "listener",
                           aHello.dialler.Text(),
                           aHello.listener.Text(),
                           json::binary(aHello.nonce),
                           json::binary(aListenerNonce) };
  const Bytes text = json::to_cbor(statement);
  std::array<unsigned char, EVP_MAX_MD_SIZE> digest{};
  unsigned int size = 0;
  if (HMAC(EVP_sha256(),
           aSecret.data(),
           static_cast<int>(aSecret.size()),
           text.data(),
           text.size(),
           digest.data(),
           &size) == nullptr) {
    throw std::runtime_error("no HMAC-SHA256");
  }
  return Bytes(digest.begin(), digest.begin() + size);
}

bool
SameProof(const Bytes& aOne, const Bytes& aOther)
{
  return aOne.size() == aOther.size() &&
         CRYPTO_memcmp(aOne.data(), aOther.data(), aOne.size()) == 0;
}

} // namespace jujubehead::net
