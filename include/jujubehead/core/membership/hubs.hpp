#ifndef JUJUBEHEAD_CORE_MEMBERSHIP_HUBS_HPP
#define JUJUBEHEAD_CORE_MEMBERSHIP_HUBS_HPP

#include <cstddef>     // for size_t
#include <string>      // for string
#include <string_view> // for string_view
#include <utility>     // for move
#include <vector>      // for vector

#include "jujubehead/core/membership/instance_book.hpp" // for KnownInstance

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
/// asks them; all of them when they are few. All instances that know the same
/// rows choose the same ones, without asking each other.
std::vector<KnownInstance>
HubsOf(std::vector<KnownInstance> aInstances,
       std::string_view aSelf,
       const HubOptions& aOptions = {});

/// @return an instance's place in an order of them all that depends on a seed
/// and that all instances that know the same rows agree on; 0 is the first.
std::size_t
RankOf(std::vector<KnownInstance> aInstances,
       std::string_view aSelf,
       std::string_view aSeed);

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
  /// @return whether others ask this instance.
  [[nodiscard]] bool HasFollowers() const { return m_is_hub && m_is_many; }
  /// @return the hubs in the order in which this instance asks them.
  [[nodiscard]] const std::vector<KnownInstance>& Hubs() const
  {
    return m_hubs;
  }

private:
  std::string m_self;
  std::vector<KnownInstance> m_hubs;
  bool m_is_hub = true;
  bool m_is_many = false; ///< There are others than hubs.
};

} // namespace jujubehead::core

#endif // JUJUBEHEAD_CORE_MEMBERSHIP_HUBS_HPP
