#ifndef JUJUBEHEAD_CORE_ACCOUNT_KEY_HPP
#define JUJUBEHEAD_CORE_ACCOUNT_KEY_HPP

#include <optional>    // for optional
#include <string>      // for string
#include <string_view> // for string_view

#include "jujubehead/core/ids.hpp" // for AccountId

namespace jujubehead::core {

/// @brief The credential of a caller: `<account>.<secret>`.
struct AccountKey
{
  AccountId account;
  std::string secret;
};

/// @return the parts, split at the last dot; nothing when either is empty.
std::optional<AccountKey>
ParseAccountKey(std::string_view aText);

/// @brief Makes the `key_hash` cell of a secret: `h1.<salt>.<hash>`, both in
/// base64url. The hash is 16 bytes of PBKDF2 with HMAC-SHA-256, 100 rounds:
/// secrets are random text from the command line, not people's passwords.
/// @param aSalt base64url text of at least 8 letters, fresh for each secret.
/// @throws std::runtime_error when OpenSSL fails.
std::string
HashKey(std::string_view aSecret, std::string_view aSalt);

/// @return whether the secret matches the cell, compared in constant time.
/// Callers may cache successful results by the whole key.
bool
VerifyKey(std::string_view aSecret, std::string_view aKeyHash);

/// @return whether the text has the form of a `key_hash` cell.
bool
IsKeyHash(std::string_view aText);

} // namespace jujubehead::core

#endif // JUJUBEHEAD_CORE_ACCOUNT_KEY_HPP
