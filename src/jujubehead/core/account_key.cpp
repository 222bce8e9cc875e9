#include "jujubehead/core/account_key.hpp"

#include <array>     // for array
#include <cstdint>   // for uint8_t
#include <stdexcept> // for runtime_error

#include <openssl/crypto.h> // for CRYPTO_memcmp
#include <openssl/evp.h>    // for PKCS5_PBKDF2_HMAC

#include "jujubehead/core/base64url.hpp" // for ToBase64Url, IsBase64Url

namespace jujubehead::core {
namespace {

constexpr std::string_view kPrefix = "h1.";
constexpr int kRounds = 100;
constexpr std::size_t kHashBytes = 16;
constexpr std::size_t kHashLetters = 22;
constexpr std::size_t kMinSaltLetters = 8;
constexpr std::size_t kMaxSaltLetters = 32;

std::string
HashText(std::string_view aSecret, std::string_view aSalt)
{
  std::array<std::uint8_t, kHashBytes> hash{};
  const int done =
    PKCS5_PBKDF2_HMAC(aSecret.data(),
                      static_cast<int>(aSecret.size()),
                      reinterpret_cast<const unsigned char*>(aSalt.data()),
                      static_cast<int>(aSalt.size()),
                      kRounds,
                      EVP_sha256(),
                      static_cast<int>(hash.size()),
                      hash.data());
  if (done != 1) {
    throw std::runtime_error("PBKDF2 of an account key failed");
  }
  return ToBase64Url(hash);
}

struct HashParts
{
  std::string_view salt;
  std::string_view hash;
};

std::optional<HashParts>
SplitHash(std::string_view aKeyHash)
{
  if (!aKeyHash.starts_with(kPrefix)) {
    return std::nullopt;
  }
  aKeyHash.remove_prefix(kPrefix.size());
  const std::size_t dot = aKeyHash.find('.');
  if (dot == std::string_view::npos) {
    return std::nullopt;
  }
  const HashParts parts{ aKeyHash.substr(0, dot), aKeyHash.substr(dot + 1) };
  const bool fits = IsBase64Url(parts.salt) && IsBase64Url(parts.hash) &&
                    parts.salt.size() >= kMinSaltLetters &&
                    parts.salt.size() <= kMaxSaltLetters &&
                    parts.hash.size() == kHashLetters;
  return fits ? std::optional(parts) : std::nullopt;
}

} // namespace

std::optional<AccountKey>
ParseAccountKey(std::string_view aText)
{
  const std::size_t dot = aText.rfind('.');
  if (dot == std::string_view::npos || dot == 0 || dot + 1 == aText.size()) {
    return std::nullopt;
  }
  return AccountKey{ AccountId(std::string(aText.substr(0, dot))),
                     std::string(aText.substr(dot + 1)) };
}

std::string
HashKey(std::string_view aSecret, std::string_view aSalt)
{
  return std::string(kPrefix) + std::string(aSalt) + '.' +
         HashText(aSecret, aSalt);
}

bool
VerifyKey(std::string_view aSecret, std::string_view aKeyHash)
{
  const std::optional<HashParts> parts = SplitHash(aKeyHash);
  if (!parts) {
    return false;
  }
  const std::string hash = HashText(aSecret, parts->salt);
  return CRYPTO_memcmp(hash.data(), parts->hash.data(), kHashLetters) == 0;
}

bool
IsKeyHash(std::string_view aText)
{
  return SplitHash(aText).has_value();
}

} // namespace jujubehead::core
