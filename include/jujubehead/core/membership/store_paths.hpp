#ifndef JUJUBEHEAD_CORE_MEMBERSHIP_STORE_PATHS_HPP
#define JUJUBEHEAD_CORE_MEMBERSHIP_STORE_PATHS_HPP

#include <algorithm>   // for max
#include <cstddef>     // for size_t
#include <cstdint>     // for uint64_t
#include <optional>    // for optional
#include <string>      // for string
#include <string_view> // for string_view
#include <vector>      // for vector

#include "jujubehead/core/runtime_clock.hpp" // for Instant, Duration

namespace jujubehead::core {

/// @brief Timing of the paths to the operators' store.
struct StorePathsOptions
{
  /// Interval between calls that probe the direct path while it is down. Such a
  /// call may block until its timeout, so they have to be rare compared to the
  /// seconds within which a change has to be in force.
  Duration direct_retry = std::chrono::milliseconds(600);
};

/// @brief Chooses the path of one instance's calls to the operators' store:
/// direct, or, while that fails, relayed by another instance.
///
/// A store may refuse single instances, or be partitioned from them, while it
/// serves others. With relays, an instance that is cut off still gets changes,
/// and a leader can renew its lease. Each failure moves on to the next
/// instance, so that calls find one that reaches the store without
/// coordination. Each instance tries the others in an order of its own, so that
/// they do not all use the same relay.
///
/// @code
/// const std::string address = paths.Next(now);
/// // ... make the call ...
/// answered ? paths.OnAnswer(address) : paths.OnFailure(address, now);
/// @endcode
class StorePaths
{
public:
  /// @param aDirect the store's own address, `ip:port`.
  /// @param aSelf the id of this instance, which determines the order of the
  /// others.
  StorePaths(std::string aDirect,
             const std::string& aSelf,
             StorePathsOptions aOptions = {});

  /// @param aAddresses of the other instances, `ip:port` each.
  void SetInstances(std::vector<std::string> aAddresses);
  /// @return the address for the next call.
  [[nodiscard]] std::string Next(Instant aNow);
  void OnAnswer(std::string_view aAddress);
  void OnFailure(std::string_view aAddress, Instant aNow);

  /// @brief A hub sent the changes that it read from the store. They need not
  /// be read until the given time.
  void OnHubFeed(Instant aUntil)
  {
    m_fed_until = std::max(m_fed_until, aUntil);
  }
  /// @return whether a hub sends changes, so that they need not be read.
  [[nodiscard]] bool HasHubFeed(Instant aNow) const
  {
    return aNow < m_fed_until;
  }
  /// @return when changes have to be read unless a hub sends more.
  [[nodiscard]] Instant HubFeedEnd() const { return m_fed_until; }

  /// @return whether the direct path works. Only then does an instance relay
  /// the calls of others, so that no call is relayed in a circle.
  [[nodiscard]] bool IsDirect() const { return !m_next_direct; }
  [[nodiscard]] const std::string& DirectAddress() const { return m_direct; }

private:
  std::string m_direct;
  std::uint64_t m_self_hash;
  StorePathsOptions m_options;
  std::vector<std::string> m_instances; ///< In the order of this instance.
  std::size_t m_current = 0;            ///< An index into m_instances.
  /// Set while the direct path is down: when to probe it.
  std::optional<Instant> m_next_direct;
  Instant m_fed_until{};
};

} // namespace jujubehead::core

#endif // JUJUBEHEAD_CORE_MEMBERSHIP_STORE_PATHS_HPP
