#include "jujubehead/core/routing/configuration.hpp"

#include <algorithm> // for transform
#include <cctype>    // for tolower
#include <utility>   // for move

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
  }
  for (std::size_t i = 0; i < m_all.services.size(); ++i) {
    m_services.emplace(m_all.services[i].id, i);
  }
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

} // namespace jujubehead::core
