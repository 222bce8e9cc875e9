#ifndef JUJUBEHEAD_CORE_ROUTING_URGENCY_SCALE_HPP
#define JUJUBEHEAD_CORE_ROUTING_URGENCY_SCALE_HPP

#include <cstddef>  // for size_t
#include <cstdint>  // for uint32_t
#include <optional> // for optional
#include <vector>   // for vector

#include "jujubehead/core/routing/configuration.hpp" // for Declarations

namespace jujubehead::core {

/// @brief Orders the requests of one service by urgency: by that of their
/// account first, and by that of their route between equal accounts.
///
/// It is in use where the limits of IsAdmitted() would refuse the most urgent
/// route first, because its objective is the shortest. In other services the
/// account's urgency replaces the route's.
///
/// @code
/// const UrgencyScale scale = UrgencyScale::For(declarations, service);
/// if (scale.IsInUse()) {
///   call.urgency = scale.UrgencyOf(account.urgency, route.urgency);
/// }
/// @endcode
class UrgencyScale
{
public:
  UrgencyScale() = default;
  static UrgencyScale For(const Declarations& aDeclarations,
                          const ServiceId& aService);

  [[nodiscard]] bool IsInUse() const { return m_is_in_use; }
  /// @param aAccount the account's urgency; nothing: it declares none.
  /// @return 0 to 9, 0 is the most urgent.
  [[nodiscard]] std::uint32_t UrgencyOf(std::optional<std::uint32_t> aAccount,
                                        std::uint32_t aRoute) const;
  /// @return how many less urgent levels the service's routes have than a
  /// route's.
  [[nodiscard]] std::size_t LevelsBelow(std::uint32_t aRoute) const;
  /// @return whether a route is among the service's most urgent ones.
  [[nodiscard]] bool IsMostUrgent(std::uint32_t aRoute) const;

private:
  bool m_is_in_use = false;
  std::vector<std::uint32_t> m_accounts; ///< Distinct values, ascending.
  std::vector<std::uint32_t> m_routes;   ///< Distinct values, ascending.
};

} // namespace jujubehead::core

#endif // JUJUBEHEAD_CORE_ROUTING_URGENCY_SCALE_HPP
