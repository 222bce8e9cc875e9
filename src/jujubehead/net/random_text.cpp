#include "jujubehead/net/random_text.hpp"

#include <cstdint>   // for uint8_t
#include <stdexcept> // for runtime_error
#include <vector>    // for vector

#include <openssl/rand.h> // for RAND_bytes

#include "jujubehead/core/base64url.hpp" // for ToBase64Url

namespace jujubehead::net {

std::string
RandomText(std::size_t aBytes)
{
  std::vector<std::uint8_t> bytes(aBytes);
  if (RAND_bytes(bytes.data(), static_cast<int>(bytes.size())) != 1) {
    throw std::runtime_error("the random source failed");
  }
  return core::ToBase64Url(bytes);
}

} // namespace jujubehead::net
