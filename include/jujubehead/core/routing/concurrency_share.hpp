#ifndef JUJUBEHEAD_CORE_ROUTING_CONCURRENCY_SHARE_HPP
#define JUJUBEHEAD_CORE_ROUTING_CONCURRENCY_SHARE_HPP

#include <cstddef>  // for size_t
#include <cstdint>  // for uint32_t, uint64_t, uint8_t
#include <optional> // for optional
#include <vector>   // for vector

#include "jujubehead/core/runtime_clock.hpp" // for Instant, Duration

namespace jujubehead::core {

/// @brief What a target can run concurrently, without its queue.
struct TargetCapacity
{
  std::uint32_t slots = 0;  ///< Requests.
  std::uint64_t tokens = 0; ///< Of its KV cache; 0: not limited by it.
};

/// @brief An instance's place among those that send to a target.
struct HolderRank
{
  std::size_t rank = 0;      ///< By HolderRing; 0 is the first.
  std::size_t instances = 1; ///< In the ring.
};

/// @brief This instance's requests at a target, and its share of what the
/// target can run concurrently.
///
/// A brittle target falls over once it has rejected a few requests in a second.
/// When it is full and each of many instances sends it one request too many,
/// that is as many rejections, before any instance has seen one. So the sum
/// over all instances is bounded beforehand: the first few instances by rank,
/// the holders, have a share each, and all shares together are no more than the
/// target's slots and memory. Its queue is not used, as it may become shorter
/// at any time.
///
/// Requests are always counted, so that the count is right when a share begins
/// to matter.
///
/// @code
/// ConcurrencyShare share;
/// if (share.MaySend(capacity, rank, tokens, now)) {
///   share.OnBegin(tokens);
/// }
/// @endcode
class ConcurrencyShare
{
public:
  /// @return the number of instances that share a target: as many as it has
  /// slots, or a few where memory is shared, as a share has to hold a prompt.
  [[nodiscard]] static std::size_t Holders(const TargetCapacity& aCapacity,
                                           std::size_t aInstances);
  /// @return the requests that an instance may have at the target.
  [[nodiscard]] static std::uint32_t Slots(const TargetCapacity& aCapacity,
                                           const HolderRank& aRank);

  /// @brief A request is sent.
  void OnBegin(std::uint64_t aTokens);
  /// @brief The target has finished a request, or never got it.
  void OnEnd(std::uint64_t aTokens);
  /// @brief A request was given up on. The target may run it for a while.
  /// @param aUntil when it has surely stopped.
  void OnAbandoned(std::uint64_t aTokens, Instant aUntil, Instant aNow);
  /// @brief The target rejected a request for want of room. For a second, no
  /// more are sent.
  void OnRejected(Instant aNow);

  /// @return the requests that may be at the target, with those given up on.
  [[nodiscard]] std::uint32_t InFlight(Instant aNow) const;
  /// @return whether one more request keeps this instance's share. The first
  /// holder may send any prompt alone, or the longest ones would fit nowhere.
  [[nodiscard]] bool MaySend(const TargetCapacity& aCapacity,
                             const HolderRank& aRank,
                             std::uint64_t aTokens,
                             Instant aNow) const;
  /// @return the requests that may still be sent, by the slots.
  [[nodiscard]] std::uint32_t Free(const TargetCapacity& aCapacity,
                                   const HolderRank& aRank,
                                   Instant aNow) const;

private:
  struct Abandoned
  {
    std::uint64_t tokens = 0;
    Instant until{};
  };

  std::uint32_t m_requests = 0;
  std::uint64_t m_tokens = 0; ///< Of m_requests.
  std::vector<Abandoned> m_abandoned;
  Instant m_paused_until{};
};

/// @brief How many requests an instance may have at the targets of a service.
enum class SharingMode : std::uint8_t
{
  kUnlimited, ///< The targets are not brittle.
  /// Not known yet: one at each target where it has a share; without any share,
  /// one in all.
  kCautious,
  kNone,  ///< Targets may still run requests of an earlier process.
  kShare, ///< Its share, see ConcurrencyShare.
};

/// @brief Whether a service's targets are brittle, as their replies say.
class BrittleSignal
{
public:
  /// How long a target may run a request after its connection was closed.
  static constexpr Duration kMaxLinger = std::chrono::milliseconds(1500);

  /// @param aStartedAt of this process.
  explicit BrittleSignal(Instant aStartedAt)
    : m_shares_from(aStartedAt + kMaxLinger)
  {
  }

  /// @brief A reply of one of its targets, here or at another instance.
  /// @param aRejections how many requests a target may reject in a second
  /// before it falls over; nothing: it is not brittle.
  /// @param aSent when the request of that reply was sent. Replies overtake
  /// each other; only one to a request sent after the last change changes it.
  /// @return whether it has changed.
  bool OnReply(std::optional<std::uint32_t> aRejections,
               Instant aSent,
               Instant aNow);
  [[nodiscard]] bool IsBrittle() const { return m_rejections.has_value(); }
  /// @return as `aRejections` of OnReply().
  [[nodiscard]] std::optional<std::uint32_t> MaxRejections() const
  {
    return m_rejections;
  }
  [[nodiscard]] SharingMode ModeAt(Instant aNow) const;
  /// @return when SharingMode::kNone is over.
  [[nodiscard]] Instant SharesFrom() const { return m_shares_from; }

private:
  Instant m_shares_from;
  std::optional<std::uint32_t> m_rejections;
  Instant m_changed_at{};
  bool m_is_known = false; ///< A reply has said so, or has not.
};

/// @brief This instance's shares of all targets of a service.
struct ServiceConcurrency
{
  std::uint32_t slots = 0;
  std::uint32_t free = 0;
};

/// @brief Decides whether a request is admitted to a brittle service. The less
/// urgent it is, the more places it leaves to more urgent ones.
/// @param aUrgency 0 to 9, 0 is the most urgent.
[[nodiscard]] bool
IsAdmitted(const ServiceConcurrency& aService, std::uint32_t aUrgency);

} // namespace jujubehead::core

#endif // JUJUBEHEAD_CORE_ROUTING_CONCURRENCY_SHARE_HPP
