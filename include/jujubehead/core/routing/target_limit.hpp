#ifndef JUJUBEHEAD_CORE_ROUTING_TARGET_LIMIT_HPP
#define JUJUBEHEAD_CORE_ROUTING_TARGET_LIMIT_HPP

#include <cstddef>  // for size_t
#include <cstdint>  // for uint32_t
#include <optional> // for optional

#include "jujubehead/core/runtime_clock.hpp" // for Instant, Duration

namespace jujubehead::core {

/// @brief The rate of requests that a target takes from all instances together,
/// and this instance's share of it.
///
/// Only a few instances, the holders, send to a limited target. The sum of
/// their token buckets refills at the limit and holds at most one second's
/// requests and one more, however many instances there are. Dividing the limit
/// by the instances would not do: each would hold a token, and the sum of these
/// grows with the fleet.
///
/// An instance ranks all instances for the target, see HolderRing, and holds a
/// share while its own rank is below Holders(). A target whose limit nobody has
/// seen for a while may have lost its holders: the next ranks follow, as many
/// again each time that the time without a reply has doubled. A target that is
/// stopped for long so gets the requests of a few sets of holders, and not of
/// all instances.
///
/// @code
/// TargetLimit limit;
/// limit.OnReply(1.5, sent, now); // 1.5 requests a second
/// limit.TryToSend(0, now);       // false: the bucket begins empty
/// @endcode
class TargetLimit
{
public:
  /// Limits are in whole units, rounded down, and at most this: what a report
  /// between instances can hold. All instances so use the same value.
  static constexpr double kUnitsPerRequest = 100;
  static constexpr double kMaxPerSecond = 655.34;

  /// @brief A reply of the target named its limit in requests a second, or
  /// none.
  /// @param aSent when the request of that reply was sent. Replies overtake
  /// each other; only one to a request that was sent after the limit was known
  /// shows that it is over, and after its end, that there is one again.
  /// @return whether the limit has changed.
  bool OnReply(std::optional<double> aPerSecond, Instant aSent, Instant aNow);
  /// @brief Another instance received such a reply.
  void OnReport(std::optional<double> aPerSecond, Instant aReceivedAt);

  /// @return whether other instances should get a report: there is a limit, or
  /// it ended a moment ago.
  [[nodiscard]] bool IsWorthReporting(Instant aNow) const;
  /// @return the limit in requests a second, if there is one.
  [[nodiscard]] std::optional<double> PerSecond() const { return m_per_second; }
  /// @return the number of instances that share the limit.
  [[nodiscard]] std::size_t Holders() const;
  /// @return the tokens that this instance can have at most.
  [[nodiscard]] double Capacity() const;
  /// @param aRank this instance's rank for the target.
  [[nodiscard]] bool IsHeld(std::size_t aRank, Instant aNow) const;
  /// @return the rate at which a holder's tokens refill.
  [[nodiscard]] double TokensPerSecond() const;
  /// @return this instance's tokens; 0 if it does not hold a share.
  [[nodiscard]] double Tokens(std::size_t aRank, Instant aNow) const;
  /// @return whether a request may be sent now. Always true without a limit.
  [[nodiscard]] bool MaySend(std::size_t aRank, Instant aNow) const;
  /// @return the same; takes a token if so.
  [[nodiscard]] bool TryToSend(std::size_t aRank, Instant aNow);

private:
  void Set(std::optional<double> aPerSecond, Instant aNow);
  /// @return the time after which a limit that no reply has confirmed is taken
  /// to have lost its holders.
  [[nodiscard]] Duration ConfirmationTime() const;

  std::optional<double> m_per_second;
  /// Receipt of the last reply that named it, or that showed its end.
  Instant m_confirmed_at{};
  Instant m_filled_at{}; ///< When m_tokens was current.
  double m_tokens = 0;
};

/// @brief This instance's share of the limits of all targets of a service.
struct ServiceLimit
{
  /// Whether there are targets that take requests, and all of them are limited.
  bool is_limited = false;
  double tokens = 0;
  double capacity = 0;          ///< The most tokens.
  double tokens_per_second = 0; ///< Of those below their most.
};

/// @brief Decides when a request is admitted to a service all of whose targets
/// are limited: the less urgent it is, the more tokens it leaves to more urgent
/// ones.
/// @param aUrgency 0 to 9, 0 is the most urgent.
/// @return the time until it is; 0: now; nothing: not by what this instance
/// knows.
[[nodiscard]] std::optional<Duration>
TimeUntilAdmitted(const ServiceLimit& aLimit, std::uint32_t aUrgency);

} // namespace jujubehead::core

#endif // JUJUBEHEAD_CORE_ROUTING_TARGET_LIMIT_HPP
