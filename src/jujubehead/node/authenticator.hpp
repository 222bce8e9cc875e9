#ifndef JUJUBEHEAD_NODE_AUTHENTICATOR_HPP
#define JUJUBEHEAD_NODE_AUTHENTICATOR_HPP

#include <optional>      // for optional
#include <string>        // for string
#include <string_view>   // for string_view
#include <unordered_map> // for unordered_map

#include "jujubehead/core/ids.hpp"   // for AccountId
#include "jujubehead/core/table.hpp" // for Table

namespace jujubehead::node {

/// @brief Finds the client account of a bearer key, for one traffic thread.
///
/// A key that was verified against a hash is remembered with that hash, so that
/// hashing is done once a key, and a changed hash ends the old key at once.
class Authenticator
{
public:
  /// @param aAuthorization the value of the `Authorization` header.
  /// @return the account, or nothing when the key is wrong or missing.
  std::optional<core::AccountId> Authenticate(const core::Table& aTable,
                                              std::string_view aAuthorization);

private:
  struct Verified
  {
    core::AccountId account;
    std::string key_hash;
  };

  std::unordered_map<std::string, Verified> m_verified;
};

} // namespace jujubehead::node

#endif // JUJUBEHEAD_NODE_AUTHENTICATOR_HPP
