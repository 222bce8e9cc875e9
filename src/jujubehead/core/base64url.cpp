#include "jujubehead/core/base64url.hpp"

#include <algorithm> // for replace, all_of

#include <openssl/evp.h> // for EVP_EncodeBlock

namespace jujubehead::core {
namespace {

bool
IsLetter(char aChar)
{
  return (aChar >= 'a' && aChar <= 'z') || (aChar >= 'A' && aChar <= 'Z') ||
         (aChar >= '0' && aChar <= '9') || aChar == '-' || aChar == '_';
}

} // namespace

std::string
ToBase64Url(std::span<const std::uint8_t> aBytes)
{
  std::string text((aBytes.size() + 2) / 3 * 4 + 1, '\0');
  EVP_EncodeBlock(reinterpret_cast<unsigned char*>(text.data()),
                  aBytes.data(),
                  static_cast<int>(aBytes.size()));
  text.resize((aBytes.size() * 4 + 2) / 3);
  std::replace(text.begin(), text.end(), '+', '-');
  std::replace(text.begin(), text.end(), '/', '_');
  return text;
}

bool
IsBase64Url(std::string_view aText)
{
  return !aText.empty() && std::all_of(aText.begin(), aText.end(), IsLetter);
}

} // namespace jujubehead::core
