#ifndef JUJUBEHEAD_CORE_MEMBERSHIP_STORE_PATHS_HPP
#define JUJUBEHEAD_CORE_MEMBERSHIP_STORE_PATHS_HPP

#include <cstddef>     // for size_t
#include <cstdint>     // for uint64_t
#include <optional>    // for optional
#include <string>      // for string
#include <string_view> // for string_view
#include <vector>      // for vector

#include "jujubehead/core/runtime_clock.hpp" // for Instant, Duration

namespace jujubehead::core {

/// @brief Times of the ways to the operators' store.
struct StorePathsOptions
{
  /// Between two calls that try the straight way while it is taken for down.
  /// One such call may hang for its time-out, so they are rare against the
  /// seconds within which a change has to be in force.
  Duration straight_retry = std::chrono::milliseconds(600);
};

/// @brief Which way the calls of one instance to the operators' store go:
/// straight, or, while that fails, through another instance.
///
/// A store may turn single instances away, or be cut off from them, while it
/// serves others. An instance that is cut off then still hears of changes, and
/// one that gives orders can renew its lease. Each failure moves on to the
/// next instance, so that calls find one that gets through without anyone
/// telling which. Instances try the others in an order of their own, so that
/// they do not all ask one.
///
/// @code
/// const std::string address = paths.Next(now);
/// // ... make the call ...
/// answered ? paths.OnAnswer(address) : paths.OnFailure(address, now);
/// @endcode
class StorePaths
{
public:
  /// @param aStraight the store's own address, `ip:port`.
  /// @param aSelf names this instance; it decides the order of the others.
  StorePaths(std::string aStraight,
             const std::string& aSelf,
             StorePathsOptions aOptions = {});

  /// @brief The addresses of the other instances, `ip:port` each.
  void SetInstances(std::vector<std::string> aAddresses);
  /// @return where the next call goes.
  [[nodiscard]] std::string Next(Instant aNow);
  void OnAnswer(std::string_view aAddress);
  void OnFailure(std::string_view aAddress, Instant aNow);

  /// @brief A hub told what it read of the store, and will go on until then.
  void OnFed(Instant aUntil) { m_fed_until = aUntil; }
  /// @return whether changes are to be awaited from a hub, not read.
  [[nodiscard]] bool IsFed(Instant aNow) const
  {
    return m_fed_until && aNow < *m_fed_until;
  }

  /// @return whether the straight way is taken for good. Only then does an
  /// instance pass on the calls of others, so that no call goes in a circle.
  [[nodiscard]] bool IsStraight() const { return !m_next_straight; }
  [[nodiscard]] const std::string& Straight() const { return m_straight; }

private:
  std::string m_straight;
  std::uint64_t m_self_hash;
  StorePathsOptions m_options;
  std::vector<std::string> m_instances; ///< In the order of this instance.
  std::size_t m_current = 0;            ///< Of m_instances.
  /// While the straight way is taken for down: when to try it again.
  std::optional<Instant> m_next_straight;
  std::optional<Instant> m_fed_until;
};

} // namespace jujubehead::core

#endif // JUJUBEHEAD_CORE_MEMBERSHIP_STORE_PATHS_HPP
