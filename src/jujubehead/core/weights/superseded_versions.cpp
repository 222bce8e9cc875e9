#include "jujubehead/core/weights/superseded_versions.hpp"

#include <utility> // for move

#include "jujubehead/core/context/cache_scope.hpp" // for CacheScopeOf

namespace jujubehead::core {
namespace {

/// Versions kept of a model. One older than these counts as superseded by the
/// oldest of them, which is later than it actually was.
constexpr std::size_t kMaxVersions = 8;

} // namespace

void
SupersededVersions::OnWanted(const ModelId& aModel,
                             std::uint64_t aVersion,
                             Instant aNow)
{
  std::map<std::uint64_t, Instant>& wanted = m_wanted[aModel];
  if (!wanted.empty() && aVersion <= wanted.rbegin()->first) {
    return;
  }
  wanted.emplace(aVersion, aNow);
  if (wanted.size() > kMaxVersions) {
    wanted.erase(wanted.begin());
  }
}

std::optional<Instant>
SupersededVersions::Since(const ModelId& aModel, std::uint64_t aVersion) const
{
  const auto wanted = m_wanted.find(aModel);
  if (wanted == m_wanted.end()) {
    return std::nullopt;
  }
  const auto newer = wanted->second.upper_bound(aVersion);
  return newer == wanted->second.end() ? std::nullopt
                                       : std::optional(newer->second);
}

std::size_t
SupersededVersions::CountSupersededFor(Duration aFor, Instant aNow) const
{
  std::size_t due = 0;
  for (const auto& [model, wanted] : m_wanted) {
    for (const auto& [version, since] : wanted) {
      due += aNow - since >= aFor ? 1 : 0;
    }
  }
  return due;
}

SupersededScopes::SupersededScopes(SupersededVersions aVersions,
                                   Instant aBefore)
  : m_versions(std::move(aVersions))
  , m_before(aBefore)
{
}

bool
SupersededScopes::Contains(std::string_view aScope)
{
  const auto known = m_results.find(aScope);
  if (known != m_results.end()) {
    return known->second;
  }
  const auto scope = CacheScopeOf(aScope);
  const auto since = scope
                       ? m_versions.Since(scope->model, scope->weight_version)
                       : std::nullopt;
  const bool is_superseded = since && *since <= m_before;
  m_results.emplace(aScope, is_superseded);
  return is_superseded;
}

} // namespace jujubehead::core
