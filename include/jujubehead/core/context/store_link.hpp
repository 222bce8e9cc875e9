#ifndef JUJUBEHEAD_CORE_CONTEXT_STORE_LINK_HPP
#define JUJUBEHEAD_CORE_CONTEXT_STORE_LINK_HPP

#include <cstdint> // for uint64_t
#include <tuple>   // for tie

#include "jujubehead/core/runtime_clock.hpp" // for Instant, Duration

namespace jujubehead::core {

/// @brief The share of a service's requests that this instance sends, as a
/// moving average of the loads its targets report. It needs no messages between
/// instances, and it adapts to instances of unequal size and to instances that
/// join or leave.
class TrafficShare
{
public:
  /// @param aOwn requests of this instance at the targets now.
  /// @param aAll requests of all instances at these targets.
  void AddSample(double aOwn, double aAll);
  /// @return above 0, at most 1; a quarter before the first sample.
  [[nodiscard]] double Value() const;

private:
  // An instance that starts under traffic has no requests at the targets yet.
  double m_own = 1;
  double m_all = 4;
};

/// @brief Size and distance of a transfer over a store's link.
struct TransferSize
{
  std::uint64_t tokens = 0;
  std::uint64_t token_bytes = 0;
  bool is_far = false; ///< To or from a target in another data centre.
};

/// @brief Declared rate and latency of a store's link.
struct LinkRate
{
  double bytes_per_second = 0; ///< 0: unknown.
  Duration base_latency{};     ///< Fixed latency of each transfer.

  friend bool operator==(const LinkRate&, const LinkRate&) = default;
  friend bool operator<(const LinkRate& aOne, const LinkRate& aOther)
  {
    return std::tie(aOne.bytes_per_second, aOne.base_latency) <
           std::tie(aOther.bytes_per_second, aOther.base_latency);
  }
};

/// @return how long a transfer occupies the link; 0 if the rate or the bytes
/// per token are unknown.
Duration
LinkTime(const TransferSize& aSize, const LinkRate& aRate);

/// @brief Estimated backlog of this instance's transfers over a store's link,
/// or over the links of all equivalent stores.
///
/// A link carries the transfers of all instances one after another, and the
/// queue's length is not reported. Each instance limits itself to a share of
/// the link's time equal to its share of the traffic. So all of them together
/// request no more than the link carries, and the wait stays bounded under any
/// load. This prevents a metastable failure: a queue on the shared link that
/// outlives the burst that caused it, because each request waits for those
/// before it.
class StoreLink
{
public:
  /// @brief A transfer was requested.
  void Add(Duration aLinkTime, double aShare, Instant aNow);
  /// @return the time until all requested transfers are done, at that share of
  /// the link. It overestimates the wait of a transfer, because it ignores
  /// link time that other instances leave unused.
  [[nodiscard]] Duration Wait(double aShare, Instant aNow) const;

private:
  [[nodiscard]] double RemainingSeconds(double aShare, Instant aNow) const;

  double m_backlog_seconds = 0; ///< Backlog in link time, at `m_updated_at`.
  Instant m_updated_at{};
};

/// @brief Inputs of the decision whether to request a transfer.
struct TransferEstimate
{
  Duration wait{};      ///< On the link, by StoreLink::Wait().
  Duration transfer{};  ///< With the fixed latency.
  Duration objective{}; ///< Time to first token of the request.
};

/// @return whether to read a part from a store that has it rather than prefill
/// it again: prefill delays all requests of the target, so a store is skipped
/// only if its link would make this request late.
[[nodiscard]] bool
ShouldRead(const TransferEstimate& aOffer);

/// @return whether to write a part to a store that does not have it. No request
/// waits for a write, but reads queue behind it, so writes use only the time
/// that reads leave.
[[nodiscard]] bool
ShouldWrite(const TransferEstimate& aOffer);

} // namespace jujubehead::core

#endif // JUJUBEHEAD_CORE_CONTEXT_STORE_LINK_HPP
