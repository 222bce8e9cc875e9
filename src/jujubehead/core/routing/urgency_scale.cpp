#include "jujubehead/core/routing/urgency_scale.hpp"

#include <algorithm> // for any_of, lower_bound, min, sort, unique

#include "jujubehead/core/routing/admission.hpp" // for AdmissionLimit

namespace jujubehead::core {
namespace {

/// Values of urgency that targets tell apart.
constexpr std::size_t kLevels = 10;
/// Accounts and routes without an urgency of their own.
constexpr std::uint32_t kDefaultUrgency = 5;

void
SortDistinct(std::vector<std::uint32_t>& aValues)
{
  std::sort(aValues.begin(), aValues.end());
  aValues.erase(std::unique(aValues.begin(), aValues.end()), aValues.end());
}

std::size_t
IndexOf(const std::vector<std::uint32_t>& aValues, std::uint32_t aValue)
{
  const auto at = std::lower_bound(aValues.begin(), aValues.end(), aValue);
  return static_cast<std::size_t>(at - aValues.begin());
}

bool
SendsTo(const Route& aRoute, const ServiceId& aService)
{
  return std::any_of(
    aRoute.shares.begin(), aRoute.shares.end(), [&](const RouteShare& aShare) {
      return aShare.service == aService;
    });
}

/// @return whether the most urgent routes have the lowest admission limit, and
/// others a higher one.
bool
RefusesMostUrgentFirst(const std::vector<const Route*>& aRoutes)
{
  const auto is_more_urgent = [](const Route* aOne, const Route* aOther) {
    return aOne->urgency < aOther->urgency;
  };
  const Route& most =
    **std::min_element(aRoutes.begin(), aRoutes.end(), is_more_urgent);
  const Duration limit = AdmissionLimit(most.objective, most.urgency);
  bool is_any_above = false;
  for (const Route* route : aRoutes) {
    const Duration other = AdmissionLimit(route->objective, route->urgency);
    if (route->urgency > most.urgency && other <= limit) {
      return false;
    }
    is_any_above |= route->urgency > most.urgency;
  }
  return is_any_above;
}

} // namespace

UrgencyScale
UrgencyScale::For(const Declarations& aDeclarations, const ServiceId& aService)
{
  UrgencyScale scale;
  std::vector<const Route*> routes;
  for (const Route& route : aDeclarations.routes) {
    if (route.carries_prompt && SendsTo(route, aService)) {
      routes.push_back(&route);
      scale.m_routes.push_back(route.urgency);
    }
  }
  if (routes.empty() || !RefusesMostUrgentFirst(routes)) {
    return {};
  }
  for (const DeclaredAccount& account : aDeclarations.accounts) {
    scale.m_accounts.push_back(account.urgency.value_or(kDefaultUrgency));
  }
  SortDistinct(scale.m_accounts);
  SortDistinct(scale.m_routes);
  scale.m_is_in_use = true;
  return scale;
}

std::uint32_t
UrgencyScale::UrgencyOf(std::optional<std::uint32_t> aAccount,
                        std::uint32_t aRoute) const
{
  const std::size_t account =
    IndexOf(m_accounts, aAccount.value_or(kDefaultUrgency));
  const std::size_t level =
    account * m_routes.size() + IndexOf(m_routes, aRoute);
  const std::size_t levels =
    std::max<std::size_t>(m_accounts.size(), 1) * m_routes.size();
  const std::size_t scaled =
    levels > kLevels ? level * kLevels / levels : level;
  return static_cast<std::uint32_t>(std::min(scaled, kLevels - 1));
}

std::size_t
UrgencyScale::LevelsBelow(std::uint32_t aRoute) const
{
  const std::size_t index = IndexOf(m_routes, aRoute);
  return index + 1 < m_routes.size() ? m_routes.size() - 1 - index : 0;
}

bool
UrgencyScale::IsMostUrgent(std::uint32_t aRoute) const
{
  return IndexOf(m_routes, aRoute) == 0;
}

} // namespace jujubehead::core
