#ifndef JUJUBEHEAD_CORE_ROUTING_REQUEST_FINGERPRINT_HPP
#define JUJUBEHEAD_CORE_ROUTING_REQUEST_FINGERPRINT_HPP

#include <cstdint>     // for uint64_t
#include <string>      // for string
#include <string_view> // for string_view

#include "jujubehead/core/ids.hpp" // for AccountId

namespace jujubehead::core {

/// @brief Identifies a request by its content, or a part of prompts, across
/// request ids, connections and instances.
enum class RequestFingerprint : std::uint64_t
{
};

/// @brief What a fingerprint covers.
struct FingerprintInput
{
  AccountId account; ///< Empty: an anonymous caller.
  std::string_view method;
  std::string_view host;
  std::string_view target; ///< Path and query.
  std::string_view body;
};

/// @return the fingerprint of a part in the prompts of a client account, which
/// no request has and no part of another account.
/// @throws std::runtime_error when SHA-256 is not available.
RequestFingerprint
PartFingerprintOf(const AccountId& aAccount, std::string_view aPart);

/// @return the fingerprint: the first 64 bits of a SHA-256 hash. A client
/// account cannot construct a request with the fingerprint of another's.
/// @throws std::runtime_error when SHA-256 is not available.
RequestFingerprint
FingerprintOf(const FingerprintInput& aInput);

/// @brief Converts a fingerprint to 16 hexadecimal digits.
std::string
ToText(RequestFingerprint aFingerprint);

} // namespace jujubehead::core

#endif // JUJUBEHEAD_CORE_ROUTING_REQUEST_FINGERPRINT_HPP
