#include "jujubehead/core/membership/store_paths.hpp"

#include <algorithm> // for sort, unique, find
#include <utility>   // for move

#include <boost/container_hash/hash.hpp> // for hash_combine

#include "jujubehead/core/rendezvous.hpp" // for HashName

namespace jujubehead::core {

StorePaths::StorePaths(std::string aDirect,
                       const std::string& aSelf,
                       StorePathsOptions aOptions)
  : m_direct(std::move(aDirect))
  , m_self_hash(detail::HashName(aSelf))
  , m_options(aOptions)
{
}

void
StorePaths::SetInstances(std::vector<std::string> aAddresses)
{
  const std::string current =
    m_instances.empty() ? std::string() : m_instances[m_current];
  const auto rank = [this](const std::string& aAddress) {
    std::size_t seed = m_self_hash;
    boost::hash_combine(seed, detail::HashName(aAddress));
    return seed;
  };
  std::sort(aAddresses.begin(),
            aAddresses.end(),
            [&](const std::string& aOne, const std::string& aOther) {
              return rank(aOne) < rank(aOther);
            });
  aAddresses.erase(std::unique(aAddresses.begin(), aAddresses.end()),
                   aAddresses.end());
  m_instances = std::move(aAddresses);
  const auto found = std::find(m_instances.begin(), m_instances.end(), current);
  m_current = found == m_instances.end()
                ? 0
                : static_cast<std::size_t>(found - m_instances.begin());
}

std::string
StorePaths::Next(Instant aNow)
{
  if (!m_next_direct || m_instances.empty()) {
    return m_direct;
  }
  if (aNow >= *m_next_direct) {
    m_next_direct = aNow + m_options.direct_retry;
    return m_direct;
  }
  return m_instances[m_current];
}

void
StorePaths::OnAnswer(std::string_view aAddress)
{
  if (aAddress == m_direct) {
    m_next_direct.reset();
  }
}

void
StorePaths::OnFailure(std::string_view aAddress, Instant aNow)
{
  if (aAddress == m_direct) {
    m_next_direct = aNow + m_options.direct_retry;
  } else if (!m_instances.empty() && aAddress == m_instances[m_current]) {
    m_current = (m_current + 1) % m_instances.size();
  }
}

} // namespace jujubehead::core
