#ifndef JUJUBEHEAD_CORE_CONTEXT_STORE_LINK_HPP
#define JUJUBEHEAD_CORE_CONTEXT_STORE_LINK_HPP

#include <cstdint> // for uint64_t
#include <tuple>   // for tie

#include "jujubehead/core/runtime_clock.hpp" // for Instant, Duration

namespace jujubehead::core {

/// @brief The part of a service's requests that this instance sends, as a
/// moving mean over what its targets told. It needs no message between
/// instances and follows instances of unequal size, and those that come and go.
class TrafficShare
{
public:
  /// @param aOwn requests of this instance at the targets now.
  /// @param aAll requests of all instances there.
  void OnLook(double aOwn, double aAll);
  /// @return above 0, at most 1; a quarter before the first look.
  [[nodiscard]] double Value() const;

private:
  // A start in the middle of traffic sees none of its own requests at first.
  double m_own = 1;
  double m_all = 4;
};

/// @brief What a transfer over a store's link is made of.
struct TransferSize
{
  std::uint64_t tokens = 0;
  std::uint64_t token_bytes = 0;
  bool is_far = false; ///< To or from a target in another data centre.
};

/// @brief What is declared of a store's link.
struct LinkRate
{
  double bytes_per_second = 0; ///< 0: not told.
  Duration first_delay{};      ///< Of each transfer, beside its bytes.

  friend bool operator==(const LinkRate&, const LinkRate&) = default;
  friend bool operator<(const LinkRate& aOne, const LinkRate& aOther)
  {
    return std::tie(aOne.bytes_per_second, aOne.first_delay) <
           std::tie(aOther.bytes_per_second, aOther.first_delay);
  }
};

/// @return for how long a transfer keeps the link busy; none where the rate or
/// the weight of a token is not told.
Duration
LinkTime(const TransferSize& aSize, const LinkRate& aRate);

/// @brief What this instance ordered over a store's link, or over those of all
/// stores that are alike, and is not over yet, by its own count.
///
/// A link carries one transfer after another, for all instances, and nobody
/// tells how many wait. Each instance keeps to its share of the link's time, as
/// its part of the traffic: so all of them together order no more than the link
/// carries, and the wait there stays bounded whatever comes. The pattern: a
/// queue on a shared link that holds itself up (metastable failure), as each
/// request waits for those before it, long after what began it is over.
class StoreLink
{
public:
  /// @brief A transfer was ordered.
  void Add(Duration aLinkTime, double aShare, Instant aNow);
  /// @return the time until what was ordered is over, at that share of the
  /// link. It is more than what a transfer then waits, as the time that other
  /// instances leave unused counts for nothing.
  [[nodiscard]] Duration Wait(double aShare, Instant aNow) const;

private:
  [[nodiscard]] double Left(double aShare, Instant aNow) const;

  double m_seconds = 0; ///< Of the link's time, at `m_at`.
  Instant m_at{};
};

/// @brief What decides whether a transfer is ordered.
struct TransferOffer
{
  Duration wait{};      ///< On the link, by StoreLink::Wait().
  Duration transfer{};  ///< With what is added to each.
  Duration objective{}; ///< Of the request, to its first token.
};

/// @return whether a part is brought from a store that has it, rather than read
/// anew: a target's time is all its requests' time, so only a link that would
/// make the request late is passed over.
[[nodiscard]] bool
IsWorthReading(const TransferOffer& aOffer);

/// @return whether a part is kept at a store that does not have it. Nobody
/// waits for that, but reads wait behind it; so it takes what reads leave.
[[nodiscard]] bool
IsWorthKeeping(const TransferOffer& aOffer);

} // namespace jujubehead::core

#endif // JUJUBEHEAD_CORE_CONTEXT_STORE_LINK_HPP
