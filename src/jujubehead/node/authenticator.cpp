#include "jujubehead/node/authenticator.hpp"

#include <boost/beast/core/string.hpp> // for iequals

#include "jujubehead/core/account_key.hpp" // for ParseAccountKey, VerifyKey

namespace jujubehead::node {
namespace {

constexpr std::string_view kScheme = "Bearer ";
// More keys than this are forgotten and verified anew.
constexpr std::size_t kMaxRemembered = 4096;

} // namespace

std::optional<core::AccountId>
Authenticator::Authenticate(const core::Table& aTable,
                            std::string_view aAuthorization)
{
  if (!boost::beast::iequals(aAuthorization.substr(0, kScheme.size()),
                             kScheme)) {
    return std::nullopt;
  }
  std::string text(aAuthorization.substr(kScheme.size()));
  const auto key = core::ParseAccountKey(text);
  if (!key) {
    return std::nullopt;
  }
  const std::string_view hash = aTable.KeyHash(key->account);
  const auto known = m_verified.find(text);
  if (known != m_verified.end() && known->second.key_hash == hash) {
    return known->second.account;
  }
  if (hash.empty() || !core::VerifyKey(key->secret, hash)) {
    return std::nullopt;
  }
  if (m_verified.size() >= kMaxRemembered) {
    m_verified.clear();
  }
  m_verified.insert_or_assign(std::move(text),
                              Verified{ key->account, std::string(hash) });
  return key->account;
}

} // namespace jujubehead::node
