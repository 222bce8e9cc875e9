#ifndef JUJUBEHEAD_CORE_ACCOUNT_KEY_HPP
#define JUJUBEHEAD_CORE_ACCOUNT_KEY_HPP

#include <optional>    // for optional
#include <string>      // for string
#include <string_view> // for string_view

#include "jujubehead/core/ids.hpp" // for AccountId

namespace jujubehead::core {

/// @brief What a caller presents: `<account>.<secret>`.
struct AccountKey
{
  AccountId account;
  std::string secret;
};

/// @return the parts, split at the last dot; nothing when either is empty.
std::optional<AccountKey>
ParseAccountKey(std::string_view aText);

/// @brief Makes the `key_hash` cell of a secret: `h1.<salt>.<hash>`, both in
/// base64url. The hash is the first 16 bytes of iterated SHA-256.
/// @param aSalt text from the base64url letters, best of 8 random bytes.
std::string
HashKey(std::string_view aSecret, std::string_view aSalt);

/// @return whether the secret is the one of that cell; takes the same time for
/// every wrong secret. Callers may cache what was verified, by the whole key.
bool
VerifyKey(std::string_view aSecret, std::string_view aKeyHash);

/// @return whether the text has the form of a `key_hash` cell.
bool
IsKeyHash(std::string_view aText);

/// @return random bytes as base64url text.
/// @throws std::runtime_error when the random source fails.
std::string
RandomText(std::size_t aBytes);

} // namespace jujubehead::core

#endif // JUJUBEHEAD_CORE_ACCOUNT_KEY_HPP
