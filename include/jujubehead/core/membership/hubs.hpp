#ifndef JUJUBEHEAD_CORE_MEMBERSHIP_HUBS_HPP
#define JUJUBEHEAD_CORE_MEMBERSHIP_HUBS_HPP

#include <cstddef>     // for size_t
#include <span>        // for span
#include <string>      // for string
#include <string_view> // for string_view
#include <utility>     // for move
#include <vector>      // for vector

#include "jujubehead/core/membership/instance_directory.hpp" // for KnownInstance
#include "jujubehead/core/runtime_clock.hpp" // for Instant, Duration

namespace jujubehead::core {

/// @brief How many instances watch the stores on behalf of all.
struct HubOptions
{
  /// Up to this many instances, each one watches the stores directly: a store
  /// accepts a watch call of each.
  std::size_t max_without_hubs = 12;
  /// Number of hubs when there are more instances. They take two thirds of the
  /// watch calls that a store accepts, which leaves room for hubs that take
  /// over. With 370 instances, 46 poll each hub.
  std::size_t hubs = 8;
};

/// @return the hubs in the order in which the instance `aSelf` polls them; all
/// instances when there are few. Instances with a large capacity are preferred,
/// because a hub sends each update to dozens of instances (hot spot). All
/// instances that know the same rows choose the same hubs, without
/// coordination.
std::vector<KnownInstance>
HubsOf(std::vector<KnownInstance> aInstances,
       std::string_view aSelf,
       const HubOptions& aOptions = {});

/// @return an instance's rank, from 0, in an order of all instances that
/// depends on a seed. Instances that know the same rows compute the same order.
std::size_t
RankOf(std::span<const KnownInstance> aInstances,
       std::string_view aSelf,
       std::string_view aSeed);

/// Time after a start until all instances have written their rows and have
/// polled the hubs that result. An operator's change has to be in force within
/// three seconds after a start.
inline constexpr Duration kHubSettleTime = std::chrono::milliseconds(2300);

/// @brief The present hubs, and whether this instance is one of them. Until
/// other instances are known it is a hub of its own.
class HubRole
{
public:
  explicit HubRole(std::string aSelf)
    : m_self(std::move(aSelf))
  {
  }

  /// @param aInstances all instances, including this one.
  void Update(std::vector<KnownInstance> aInstances,
              const HubOptions& aOptions = {});
  [[nodiscard]] bool IsHub() const { return m_is_hub; }
  /// @brief Marks the start of this instance; if never called, IsSettling() is
  /// false.
  void OnStart(Instant aNow) { m_started = aNow; }
  /// @return whether the other instances' rows may still be missing. All
  /// instances may have started at once, and until they know of each other each
  /// one would act as a hub (thundering herd).
  [[nodiscard]] bool IsSettling(Instant aNow) const
  {
    return m_hubs.size() <= 1 && aNow - m_started < kHubSettleTime;
  }
  /// @return whether this instance watches the stores.
  [[nodiscard]] bool Watches(Instant aNow) const
  {
    return m_is_hub && !IsSettling(aNow);
  }
  /// @return whether other instances poll this one.
  [[nodiscard]] bool HasFollowers() const { return m_is_hub && m_has_non_hubs; }
  [[nodiscard]] bool IsSelf(const KnownInstance& aOne) const
  {
    return aOne.id == m_self;
  }
  /// @return the hubs in the order in which this instance polls them.
  [[nodiscard]] const std::vector<KnownInstance>& Hubs() const
  {
    return m_hubs;
  }

private:
  std::string m_self;
  std::vector<KnownInstance> m_hubs;
  bool m_is_hub = true;
  Instant m_started{};
  bool m_has_non_hubs = false;
};

} // namespace jujubehead::core

#endif // JUJUBEHEAD_CORE_MEMBERSHIP_HUBS_HPP
