#include "jujubehead/core/context_key.hpp"

#include <algorithm> // for copy_n
#include <memory>    // for unique_ptr
#include <new>       // for bad_alloc
#include <stdexcept> // for invalid_argument, runtime_error

#include <openssl/evp.h> // for EVP_DigestInit_ex

namespace jujubehead::core {
namespace {

constexpr std::string_view kHexDigits = "0123456789abcdef";
/// Domain separator of the hash, with the version of its layout.
constexpr std::string_view kDomain = "jujubehead context 1";

/// SHA-256; reuses one OpenSSL context for successive digests.
class Hasher
{
public:
  Hasher()
    : m_context(EVP_MD_CTX_new(), &EVP_MD_CTX_free)
  {
    if (!m_context) {
      throw std::bad_alloc();
    }
  }

  void Start()
  {
    Require(EVP_DigestInit_ex(m_context.get(), EVP_sha256(), nullptr));
  }

  void Add(const void* aData, std::size_t aSize)
  {
    Require(EVP_DigestUpdate(m_context.get(), aData, aSize));
  }

  ContextKey Finish()
  {
    std::array<std::uint8_t, EVP_MAX_MD_SIZE> digest{};
    Require(EVP_DigestFinal_ex(m_context.get(), digest.data(), nullptr));
    ContextKey::Bytes bytes{};
    std::copy_n(digest.begin(), bytes.size(), bytes.begin());
    return ContextKey(bytes);
  }

private:
  static void Require(int aOutcome)
  {
    if (aOutcome != 1) {
      throw std::runtime_error("context key: SHA-256 is not available");
    }
  }

  std::unique_ptr<EVP_MD_CTX, decltype(&EVP_MD_CTX_free)> m_context;
};

void
AddWithLength(Hasher& aHasher, std::string_view aText)
{
  constexpr unsigned kByteBits = 8;
  std::array<std::uint8_t, sizeof(std::uint64_t)> length{};
  std::uint64_t rest = aText.size();
  for (std::uint8_t& byte : length) {
    byte = static_cast<std::uint8_t>(rest);
    rest >>= kByteBits;
  }
  aHasher.Add(length.data(), length.size());
  aHasher.Add(aText.data(), aText.size());
}

ContextKey
Seed(Hasher& aHasher, const ContextScope& aScope)
{
  aHasher.Start();
  AddWithLength(aHasher, kDomain);
  AddWithLength(aHasher, aScope.account.View());
  AddWithLength(aHasher, aScope.model.View());
  AddWithLength(aHasher, aScope.version);
  AddWithLength(aHasher, aScope.adapter);
  return aHasher.Finish();
}

std::optional<std::uint8_t>
DigitValue(char aDigit)
{
  const auto place = kHexDigits.find(aDigit);
  if (place == std::string_view::npos) {
    return std::nullopt;
  }
  return static_cast<std::uint8_t>(place);
}

} // namespace

std::optional<ContextKey>
ContextKey::FromHex(std::string_view aText)
{
  if (aText.size() != 2 * kBytes) {
    return std::nullopt;
  }
  Bytes bytes{};
  for (std::size_t i = 0; i < kBytes; ++i) {
    const auto high = DigitValue(aText[2 * i]);
    const auto low = DigitValue(aText[2 * i + 1]);
    if (!high || !low) {
      return std::nullopt;
    }
    bytes[i] = static_cast<std::uint8_t>(*high << 4U | *low);
  }
  return ContextKey(bytes);
}

std::string
ContextKey::Hex() const
{
  constexpr unsigned kLowDigit = 0xF;
  std::string text;
  text.reserve(2 * kBytes);
  for (const std::uint8_t byte : m_bytes) {
    text += kHexDigits[byte >> 4U];
    text += kHexDigits[byte & kLowDigit];
  }
  return text;
}

std::vector<ContextKey>
ChainKeys(const ContextScope& aScope,
          std::string_view aPrompt,
          std::size_t aBlockBytes)
{
  if (aBlockBytes == 0) {
    throw std::invalid_argument("ChainKeys: aBlockBytes is 0");
  }
  Hasher hasher;
  ContextKey key = Seed(hasher, aScope);
  std::vector<ContextKey> keys;
  keys.reserve(aPrompt.size() / aBlockBytes);
  while (aPrompt.size() >= aBlockBytes) {
    hasher.Start();
    hasher.Add(key.Raw().data(), ContextKey::kBytes);
    hasher.Add(aPrompt.data(), aBlockBytes);
    key = hasher.Finish();
    keys.push_back(key);
    aPrompt.remove_prefix(aBlockBytes);
  }
  return keys;
}

std::string
Salt(const ContextScope& aScope)
{
  Hasher hasher;
  return Seed(hasher, aScope).Hex();
}

} // namespace jujubehead::core
