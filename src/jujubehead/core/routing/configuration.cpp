#include "jujubehead/core/routing/configuration.hpp"

#include <algorithm> // for transform, max
#include <cctype>    // for tolower
#include <set>       // for set
#include <utility>   // for move

#include "jujubehead/core/routing/placement.hpp" // for PlacementHash

namespace jujubehead::core {
namespace {

/// Separates host and path in a lookup key; neither can contain it.
constexpr char kSeparator = ' ';

std::string
HostOf(std::string_view aText)
{
  std::string host(aText.substr(0, aText.find(':')));
  std::transform(host.begin(), host.end(), host.begin(), [](unsigned char aC) {
    return static_cast<char>(std::tolower(aC));
  });
  return host;
}

/// @return 0 if no account is dedicated; all instances compute the same value.
std::uint64_t
DigestOfDedicated(const std::vector<DeclaredAccount>& aAccounts)
{
  std::set<std::string> ids;
  for (const DeclaredAccount& account : aAccounts) {
    if (account.dedicated) {
      ids.insert(account.id.Text());
    }
  }
  if (ids.empty()) {
    return 0;
  }
  std::string text;
  for (const std::string& id : ids) {
    text += std::to_string(id.size());
    text += kSeparator;
    text += id;
  }
  return std::max<std::uint64_t>(PlacementHash(text), 1);
}

} // namespace

Configuration::Configuration(Declarations aDeclarations)
  : m_all(std::move(aDeclarations))
{
  for (std::size_t i = 0; i < m_all.routes.size(); ++i) {
    const Route& route = m_all.routes[i];
    m_routes.emplace(HostOf(route.host) + kSeparator + route.path_prefix, i);
  }
  for (std::size_t i = 0; i < m_all.accounts.size(); ++i) {
    for (const std::string& key : m_all.accounts[i].keys) {
      m_keys.emplace(key, i);
    }
    if (!m_all.accounts[i].dedicated) {
      m_sharing.insert(m_all.accounts[i].id);
    }
  }
  for (std::size_t i = 0; i < m_all.services.size(); ++i) {
    m_services.emplace(m_all.services[i].id, i);
  }
  m_dedicated_digest = DigestOfDedicated(m_all.accounts);
}

const Route*
Configuration::Match(std::string_view aHost, std::string_view aPath) const
{
  std::string key = HostOf(aHost) + kSeparator;
  const std::size_t begin = key.size();
  key += aPath;
  while (key.size() > begin) {
    const std::size_t slash = key.rfind('/');
    if (slash == std::string::npos || slash < begin) {
      return nullptr;
    }
    key.resize(slash + 1);
    const auto found = m_routes.find(key);
    if (found != m_routes.end()) {
      return &m_all.routes[found->second];
    }
    key.resize(slash);
  }
  return nullptr;
}

const DeclaredAccount*
Configuration::AccountOf(std::string_view aKey) const
{
  const auto found = m_keys.find(std::string(aKey));
  return found == m_keys.end() ? nullptr : &m_all.accounts[found->second];
}

const DeclaredService*
Configuration::ServiceOf(const ServiceId& aId) const
{
  const auto found = m_services.find(aId);
  return found == m_services.end() ? nullptr : &m_all.services[found->second];
}

CacheScope
Configuration::CacheScopeFor(const AccountId& aAccount,
                             ModelId aModel,
                             std::uint64_t aWeightVersion) const
{
  CacheScope scope{ std::move(aModel), aWeightVersion, {}, 0 };
  if (aAccount.IsEmpty() || m_sharing.contains(aAccount)) {
    scope.dedicated_accounts = m_dedicated_digest;
  } else {
    scope.account = aAccount;
  }
  return scope;
}

} // namespace jujubehead::core
