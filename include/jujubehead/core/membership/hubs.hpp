#ifndef JUJUBEHEAD_CORE_MEMBERSHIP_HUBS_HPP
#define JUJUBEHEAD_CORE_MEMBERSHIP_HUBS_HPP

#include <cstddef>     // for size_t
#include <span>        // for span
#include <string>      // for string
#include <string_view> // for string_view
#include <utility>     // for move
#include <vector>      // for vector

#include "jujubehead/core/membership/instance_book.hpp" // for KnownInstance
#include "jujubehead/core/runtime_clock.hpp"            // for Instant, Duration

namespace jujubehead::core {

/// @brief How many instances watch what all need to know.
struct HubOptions
{
  /// Up to this many instances each one watches by itself: a store holds a call
  /// of each.
  std::size_t most_without = 12;
  /// Beyond it so many watch for all. Two thirds of a store's calls, which
  /// leaves room for those that take over; and with 370 instances, 46 ask one
  /// hub.
  std::size_t hubs = 8;
};

/// @return the instances that watch for all, in the order in which an instance
/// asks them; all of them when they are few. They are chosen among those of
/// much capacity: a hub sends the same to dozens of instances (hot spot). All
/// instances that know the same rows choose the same ones, without asking each
/// other.
std::vector<KnownInstance>
HubsOf(std::vector<KnownInstance> aInstances,
       std::string_view aSelf,
       const HubOptions& aOptions = {});

/// @return an instance's place in an order of them all that depends on a seed
/// and that all instances that know the same rows agree on; 0 is the first.
std::size_t
RankOf(std::span<const KnownInstance> aInstances,
       std::string_view aSelf,
       std::string_view aSeed);

/// After a start: until all have written their rows, and until the hubs that
/// follow from these have been asked. What the operator changes has to be in
/// force from three seconds after a start.
inline constexpr Duration kRoleSettle = std::chrono::milliseconds(2300);

/// @brief Whether an instance is a hub, and which are; kept over changes of the
/// instances that are known. Before any is known it watches by itself.
class HubRole
{
public:
  explicit HubRole(std::string aSelf)
    : m_self(std::move(aSelf))
  {
  }

  /// @param aInstances all, this one included.
  void Update(std::vector<KnownInstance> aInstances,
              const HubOptions& aOptions = {});
  [[nodiscard]] bool IsHub() const { return m_is_hub; }
  /// @brief This instance starts; without it, it started long ago.
  void OnStart(Instant aNow) { m_started = aNow; }
  /// @return whether the other instances' rows may still be on their way. All
  /// instances may have started at once, and before they know of each other
  /// each one is its own hub (thundering herd).
  [[nodiscard]] bool IsSettling(Instant aNow) const
  {
    return m_hubs.size() <= 1 && aNow - m_started < kRoleSettle;
  }
  /// @return whether it watches now.
  [[nodiscard]] bool Watches(Instant aNow) const
  {
    return m_is_hub && !IsSettling(aNow);
  }
  /// @return whether others ask this instance.
  [[nodiscard]] bool HasFollowers() const { return m_is_hub && m_is_many; }
  [[nodiscard]] bool IsSelf(const KnownInstance& aOne) const
  {
    return aOne.id == m_self;
  }
  /// @return the hubs in the order in which this instance asks them.
  [[nodiscard]] const std::vector<KnownInstance>& Hubs() const
  {
    return m_hubs;
  }

private:
  std::string m_self;
  std::vector<KnownInstance> m_hubs;
  bool m_is_hub = true;
  Instant m_started{};
  bool m_is_many = false; ///< There are others than hubs.
};

} // namespace jujubehead::core

#endif // JUJUBEHEAD_CORE_MEMBERSHIP_HUBS_HPP
