#ifndef JUJUBEHEAD_CORE_PERMIT_HPP
#define JUJUBEHEAD_CORE_PERMIT_HPP

#include <chrono>     // for seconds
#include <compare>    // for strong_ordering
#include <cstddef>    // for size_t
#include <cstdint>    // for uint32_t, uint64_t
#include <functional> // for hash
#include <tuple>      // for tie
#include <variant>    // for variant
#include <vector>     // for vector

#include "jujubehead/core/ids.hpp"           // for RequestId, AccountId
#include "jujubehead/core/runtime_clock.hpp" // for Duration, Instant

namespace jujubehead::core {

/// @brief Identifies a permit to run one request on one target, once.
/// Ordered: an owner of a later epoch issues greater ids.
struct PermitId
{
  std::uint64_t epoch = 0; ///< Of the ownership; the fencing token.
  std::uint64_t number = 0;

  // NOLINTNEXTLINE(modernize-use-nullptr)
  friend auto operator<=>(const PermitId&, const PermitId&) = default;

  template<typename Self>
  static auto Fields(Self& aSelf)
  {
    return std::tie(aSelf.epoch, aSelf.number);
  }
};

/// @brief How much of one target an account may use.
struct AccountShare
{
  AccountId account;
  std::uint32_t weight = 1;
  std::uint32_t max_running = 0; ///< Also while other shares are idle.
  std::uint32_t max_waiting = 0;

  friend bool operator==(const AccountShare&, const AccountShare&) = default;
};

/// @brief Requests one permit. Resent while it waits (see PermitRules).
struct PermitRequest
{
  /// Unique for this attempt: a resumed or retried run uses another id.
  RequestId request;
  InstanceId holder; ///< The instance that will run it.
  AccountId account;
  std::int32_t priority = 0;     ///< Lower goes first within the account.
  Instant deadline;              ///< Latest useful start, by the owner's clock.
  std::uint32_t cost_tokens = 1; ///< Expected work, for the service time.
  /// Opaque to the owner, which echoes the latest. The holder derives from it
  /// when it sent that message; it starts only within the start window after.
  std::uint64_t mark = 0;
  std::uint64_t process = 0; ///< Of the holder: random, drawn at process start.
};

/// @brief Why a request was not run.
enum class RefusalReason : std::uint8_t
{
  kDeadline,      ///< It could not start by its deadline.
  kQueueFull,     ///< The account has max_waiting requests here already.
  kNoShare,       ///< The account has no share of this target.
  kStopping,      ///< The target or its owner is shutting down.
  kHolderTimeout, ///< The holder stopped resending it.
};

/// @brief The request may start now.
struct PermitGranted
{
  RequestId request;
  InstanceId holder;
  PermitId permit;
  Instant start_by;       ///< By the owner's clock; invalid afterwards.
  std::uint64_t mark = 0; ///< Of the latest PermitRequest.
};

/// @brief The request was not run and will not be.
struct PermitRefused
{
  RequestId request;
  InstanceId holder;
  RefusalReason reason = RefusalReason::kDeadline;
  Duration retry_after{};
  std::uint64_t mark = 0; ///< Of the latest PermitRequest.
};

using PermitDecision = std::variant<PermitGranted, PermitRefused>;

/// @brief How busy a target is, for choosing among targets.
struct PermitQuote
{
  std::uint32_t running = 0; ///< Outstanding permits, and reserved slots.
  std::uint32_t waiting = 0;
  std::uint32_t limit = 0;
  Duration expected_wait{}; ///< For a request of the given account.
};

/// @brief A permit that a holder has, as exchanged by owners and holders.
struct HeldPermit
{
  PermitId permit;
  RequestId request;
  InstanceId holder;
  AccountId account;
  std::uint64_t process = 0; ///< Of the holder.

  friend bool operator==(const HeldPermit&, const HeldPermit&) = default;

  template<typename Self>
  static auto Fields(Self& aSelf)
  {
    return std::tie(
      aSelf.permit, aSelf.request, aSelf.holder, aSelf.account, aSelf.process);
  }
};

/// @brief Owner to holder: requests the held permits up to this one.
struct HoldingsQuery
{
  PermitId up_to;
};

/// @brief Holder to owner: the complete list. From now on the holder starts
/// nothing under a permit up to `up_to` that is not listed. It covers the
/// sending process only: runs started by an earlier process of the instance may
/// still be in progress.
struct HoldingsReply
{
  InstanceId holder;
  PermitId up_to;
  std::vector<HeldPermit> held;
  std::uint64_t process = 0;
};

/// @brief The requests that a target reports as running.
struct TargetReport
{
  /// By the owner's clock: the report shows the target at this time or later.
  /// It is the time of sending an order that the report acknowledges, never a
  /// time of the target's clock.
  Instant as_of;
  std::vector<RequestId> running;
};

/// @brief Time limits shared by owners and holders of permits.
struct PermitRules
{
  /// A holder starts a run within this of sending the message that the grant
  /// answers, or not at all.
  Duration start_window = std::chrono::seconds(2);
  /// Covers drift between two clocks over a start window, and the time that a
  /// dispatched request takes to arrive at the target.
  Duration margin = std::chrono::seconds(1);
  /// A waiting request is skipped when its last message is older; holders
  /// resend at half of this interval.
  Duration request_ttl = std::chrono::seconds(1);
  /// A waiting request is dropped when its last message is older.
  Duration request_timeout = std::chrono::seconds(5);
  /// A holder is queried when its permits were last confirmed longer ago.
  Duration query_after = std::chrono::seconds(5);
  /// A holder that sent nothing for this long counts as failed: the target's
  /// report then decides over its permits.
  Duration holder_timeout = std::chrono::seconds(10);
};

} // namespace jujubehead::core

template<>
struct std::hash<jujubehead::core::PermitId>
{
  std::size_t operator()(const jujubehead::core::PermitId& aId) const noexcept
  {
    constexpr std::uint64_t kMix = 0x9E3779B97F4A7C15U;
    return std::hash<std::uint64_t>{}((aId.epoch * kMix) ^ aId.number);
  }
};

#endif // JUJUBEHEAD_CORE_PERMIT_HPP
