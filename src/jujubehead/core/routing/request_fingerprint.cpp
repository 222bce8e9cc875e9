#include "jujubehead/core/routing/request_fingerprint.hpp"

#include <array>     // for array
#include <memory>    // for unique_ptr
#include <new>       // for bad_alloc
#include <span>      // for span
#include <stdexcept> // for runtime_error

#include <openssl/evp.h> // for EVP_DigestInit_ex

namespace jujubehead::core {
namespace {

constexpr unsigned kByteBits = 8;

using Digest = std::unique_ptr<EVP_MD_CTX, decltype(&EVP_MD_CTX_free)>;

void
Require(int aOutcome)
{
  if (aOutcome != 1) {
    throw std::runtime_error("request fingerprint: SHA-256 is not available");
  }
}

/// Adds a field with its length, so that fields cannot run into each other.
void
AddField(EVP_MD_CTX& aDigest, std::string_view aText)
{
  const std::uint64_t length = aText.size();
  std::array<std::uint8_t, sizeof(length)> bytes{};
  for (std::size_t i = 0; i < bytes.size(); ++i) {
    bytes.at(i) = static_cast<std::uint8_t>(length >> (i * kByteBits));
  }
  Require(EVP_DigestUpdate(&aDigest, bytes.data(), bytes.size()));
  Require(EVP_DigestUpdate(&aDigest, aText.data(), aText.size()));
}

/// @return the first 64 bits of the hash of all fields.
RequestFingerprint
HashOf(std::span<const std::string_view> aFields)
{
  const Digest digest(EVP_MD_CTX_new(), &EVP_MD_CTX_free);
  if (!digest) {
    throw std::bad_alloc();
  }
  Require(EVP_DigestInit_ex(digest.get(), EVP_sha256(), nullptr));
  for (const std::string_view field : aFields) {
    AddField(*digest, field);
  }
  std::array<std::uint8_t, EVP_MAX_MD_SIZE> hash{};
  Require(EVP_DigestFinal_ex(digest.get(), hash.data(), nullptr));
  std::uint64_t value = 0;
  for (std::size_t i = 0; i < sizeof(value); ++i) {
    value = (value << kByteBits) | hash.at(i);
  }
  return static_cast<RequestFingerprint>(value);
}

} // namespace

RequestFingerprint
FingerprintOf(const FingerprintInput& aInput)
{
  return HashOf(std::array<std::string_view, 5>{ aInput.account.View(),
                                                 aInput.method,
                                                 aInput.host,
                                                 aInput.target,
                                                 aInput.body });
}

RequestFingerprint
PartFingerprintOf(const AccountId& aAccount, std::string_view aPart)
{
  return HashOf(std::array<std::string_view, 2>{ aAccount.View(), aPart });
}

std::string
ToText(RequestFingerprint aFingerprint)
{
  constexpr std::string_view kHexDigits = "0123456789abcdef";
  constexpr unsigned kDigitBits = 4;
  auto value = static_cast<std::uint64_t>(aFingerprint);
  std::string text(sizeof(value) * 2, '0');
  for (auto digit = text.rbegin(); digit != text.rend(); ++digit) {
    *digit = kHexDigits[value % kHexDigits.size()];
    value >>= kDigitBits;
  }
  return text;
}

} // namespace jujubehead::core
