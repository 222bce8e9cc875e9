#ifndef JUJUBEHEAD_WIRE_MESSAGES_HPP
#define JUJUBEHEAD_WIRE_MESSAGES_HPP

#include <cstdint> // for uint32_t, uint64_t
#include <string>  // for string
#include <tuple>   // for tie
#include <variant> // for variant
#include <vector>  // for vector

#include "jujubehead/core/ids.hpp"           // for TargetId, AccountId
#include "jujubehead/core/ownership.hpp"     // for GroupHandover, LeaseRenew
#include "jujubehead/core/permit.hpp"        // for PermitId, HeldPermit
#include "jujubehead/core/runtime_clock.hpp" // for Duration

/// Messages between instances. Times are durations relative to sending, since
/// clocks of different instances are not comparable.
///
/// Each message lists its fields once, in Fields(); the codec writes them as
/// one CBOR array, without field names. Their order is the wire format.
namespace jujubehead::wire {

/// @brief Entry to owner: requests the expected wait at these targets.
struct QuoteRequest
{
  core::AccountId account;
  std::string version; ///< Weight version that the request needs.
  std::string adapter;
  std::vector<core::TargetId> targets;

  template<typename Self>
  static auto Fields(Self& aSelf)
  {
    return std::tie(aSelf.account, aSelf.version, aSelf.adapter, aSelf.targets);
  }
};

/// @brief A target's state as seen by its owner.
struct TargetQuote
{
  core::TargetId target;
  std::uint32_t running = 0;
  std::uint32_t waiting = 0;
  std::uint32_t limit = 0;
  core::Duration expected_wait{};
  std::uint32_t prefill_tokens_per_second = 0; ///< 0: unknown.
  bool admits = false;

  template<typename Self>
  static auto Fields(Self& aSelf)
  {
    return std::tie(aSelf.target,
                    aSelf.running,
                    aSelf.waiting,
                    aSelf.limit,
                    aSelf.expected_wait,
                    aSelf.prefill_tokens_per_second,
                    aSelf.admits);
  }
};

/// @brief Owner to entry: quotes for the requested targets that it owns.
struct QuoteReply
{
  std::vector<TargetQuote> quotes;

  template<typename Self>
  static auto Fields(Self& aSelf)
  {
    return std::tie(aSelf.quotes);
  }
};

/// @brief Entry to owner: requests admission to the target. Resent while the
/// request waits; idempotent by `request`. PermitReply comes as a separate
/// message, not as the reply to a call.
struct PermitAcquire
{
  core::TargetId target;
  core::RequestId request;
  core::AccountId account;
  std::int32_t priority = 0;
  core::Duration deadline{}; ///< Longest wait, from the time of sending.
  std::uint32_t cost_tokens = 0;
  std::uint64_t mark = 0;    ///< Time of sending, on the sender's clock.
  std::uint64_t process = 0; ///< Id of the entry process, drawn at start.

  template<typename Self>
  static auto Fields(Self& aSelf)
  {
    return std::tie(aSelf.target,
                    aSelf.request,
                    aSelf.account,
                    aSelf.priority,
                    aSelf.deadline,
                    aSelf.cost_tokens,
                    aSelf.mark,
                    aSelf.process);
  }
};

/// @brief The owner's decision on a PermitAcquire.
enum class PermitOutcome : std::uint8_t
{
  kGranted,
  kRefused,  ///< See `reason`; the request did not run.
  kNotOwner, ///< Retry at the owner in the ownership rows.
};

/// @brief Owner to entry: the decision on a PermitAcquire, sent once made.
struct PermitReply
{
  core::TargetId target;
  core::RequestId request;
  PermitOutcome outcome = PermitOutcome::kNotOwner;
  std::uint64_t epoch = 0;  ///< Epoch of the permit: the fencing token.
  std::uint64_t number = 0; ///< Number of the permit within its epoch.
  std::uint8_t reason = 0;  ///< core::RefusalReason.
  core::Duration retry_after{};
  std::uint64_t mark = 0; ///< Echoed from the latest PermitAcquire.

  template<typename Self>
  static auto Fields(Self& aSelf)
  {
    return std::tie(aSelf.target,
                    aSelf.request,
                    aSelf.outcome,
                    aSelf.epoch,
                    aSelf.number,
                    aSelf.reason,
                    aSelf.retry_after,
                    aSelf.mark);
  }
};

/// @brief Entry to owner: this request no longer waits for a permit.
struct PermitWithdraw
{
  core::TargetId target;
  core::RequestId request;

  template<typename Self>
  static auto Fields(Self& aSelf)
  {
    return std::tie(aSelf.target, aSelf.request);
  }
};

/// @brief Entry to owner: the run under this permit has started.
struct PermitStarted
{
  core::TargetId target;
  std::uint64_t epoch = 0;
  std::uint64_t number = 0;

  template<typename Self>
  static auto Fields(Self& aSelf)
  {
    return std::tie(aSelf.target, aSelf.epoch, aSelf.number);
  }
};

/// @brief Entry to owner: the run under this permit has ended. If the message
/// is lost, HoldingsRequest finds the ended run.
struct PermitRelease
{
  core::TargetId target;
  std::uint64_t epoch = 0;
  std::uint64_t number = 0;
  core::Duration first_token{};        ///< From dispatch; 0: no token received.
  std::uint32_t recomputed_tokens = 0; ///< Prompt tokens prefilled.
  std::vector<std::string> cached_keys; ///< Context keys the target holds.

  template<typename Self>
  static auto Fields(Self& aSelf)
  {
    return std::tie(aSelf.target,
                    aSelf.epoch,
                    aSelf.number,
                    aSelf.first_token,
                    aSelf.recomputed_tokens,
                    aSelf.cached_keys);
  }
};

/// @brief Entry to directory owner: requests the holders of a prefix of this
/// context.
struct HoldersRequest
{
  std::vector<std::string> keys; ///< Context keys as raw bytes, shortest first.

  template<typename Self>
  static auto Fields(Self& aSelf)
  {
    return std::tie(aSelf.keys);
  }
};

/// @brief A target that holds a prefix.
struct TargetHolder
{
  core::TargetId target;
  std::uint32_t keys = 0; ///< Length of the held prefix, in keys.

  template<typename Self>
  static auto Fields(Self& aSelf)
  {
    return std::tie(aSelf.target, aSelf.keys);
  }
};

/// @brief A store that holds a committed copy of a prefix.
struct StoreHolder
{
  core::StoreId store;
  std::string handle;
  std::uint64_t generation = 0;
  std::uint32_t keys = 0;

  template<typename Self>
  static auto Fields(Self& aSelf)
  {
    return std::tie(aSelf.store, aSelf.handle, aSelf.generation, aSelf.keys);
  }
};

/// @brief Directory owner to entry. The entries are hints: a wrong one only
/// adds latency.
struct HoldersReply
{
  std::vector<TargetHolder> targets;
  std::vector<StoreHolder> stores;

  template<typename Self>
  static auto Fields(Self& aSelf)
  {
    return std::tie(aSelf.targets, aSelf.stores);
  }
};

/// @brief To directory owner: a target now holds, or has lost, these keys.
struct TargetHint
{
  core::TargetId target;
  bool stored = true;
  std::vector<std::string> keys;

  template<typename Self>
  static auto Fields(Self& aSelf)
  {
    return std::tie(aSelf.target, aSelf.stored, aSelf.keys);
  }
};

/// @brief To directory owner: a store now holds, or has lost, a copy.
struct StoreHint
{
  core::StoreId store;
  bool stored = true;
  std::string handle;
  std::uint64_t generation = 0;
  std::vector<std::string> keys;

  template<typename Self>
  static auto Fields(Self& aSelf)
  {
    return std::tie(
      aSelf.store, aSelf.stored, aSelf.handle, aSelf.generation, aSelf.keys);
  }
};

/// @brief Both directions: the newest version seen of the operators' table.
struct TableHead
{
  std::uint64_t version = 0;

  template<typename Self>
  static auto Fields(Self& aSelf)
  {
    return std::tie(aSelf.version);
  }
};

/// @brief Starting instance to a peer: requests a page of the current table.
struct TablePageRequest
{
  std::uint64_t version = 0; ///< Of the earlier pages; 0: current version.
  std::uint64_t offset = 0;  ///< Bytes already received.

  template<typename Self>
  static auto Fields(Self& aSelf)
  {
    return std::tie(aSelf.version, aSelf.offset);
  }
};

/// @brief Peer to starting instance: a page of a serialised table snapshot.
struct TablePageReply
{
  std::uint64_t version = 0; ///< 0: the version is no longer available.
  std::uint64_t size = 0;    ///< Bytes of the whole snapshot.
  std::string bytes;

  template<typename Self>
  static auto Fields(Self& aSelf)
  {
    return std::tie(aSelf.version, aSelf.size, aSelf.bytes);
  }
};

/// @brief Owner to entry: requests the permits of this target that the entry
/// holds. The reply is HoldingsReply.
struct HoldingsRequest
{
  core::TargetId target;
  core::PermitId up_to;

  template<typename Self>
  static auto Fields(Self& aSelf)
  {
    return std::tie(aSelf.target, aSelf.up_to);
  }
};

/// @brief Entry to owner: all permits that it holds, up to `up_to`.
struct HoldingsReply
{
  core::TargetId target;
  core::PermitId up_to;
  std::vector<core::HeldPermit> held;
  std::uint64_t process = 0;

  template<typename Self>
  static auto Fields(Self& aSelf)
  {
    return std::tie(aSelf.target, aSelf.up_to, aSelf.held, aSelf.process);
  }
};

/// @brief Entry to a store's owner: a target now holds this context; the owner
/// decides whether a stored copy is worth its cost.
struct ExportOffer
{
  core::StoreId store;
  core::TargetId target;
  std::uint64_t fencing = 0; ///< Epoch of the target's owner, for the order.
  core::AccountId account;
  std::vector<std::string> keys; ///< One per full block, as raw bytes.
  std::uint32_t tokens = 0;      ///< Total of all blocks.
  double recompute_price = 0;    ///< Value of a token saved, in seconds.

  template<typename Self>
  static auto Fields(Self& aSelf)
  {
    return std::tie(aSelf.store,
                    aSelf.target,
                    aSelf.fencing,
                    aSelf.account,
                    aSelf.keys,
                    aSelf.tokens,
                    aSelf.recompute_price);
  }
};

/// @brief Entry to a store's owner: requests the expected wait for an import
/// over its link.
struct LinkQuoteRequest
{
  core::StoreId store;
  core::AccountId account;

  template<typename Self>
  static auto Fields(Self& aSelf)
  {
    return std::tie(aSelf.store, aSelf.account);
  }
};

/// @brief Store's owner to entry. A rate of 0 means that it is not the owner.
struct LinkQuote
{
  core::Duration wait{};
  std::uint64_t bytes_per_second = 0;
  std::uint32_t bytes_per_block = 0;

  template<typename Self>
  static auto Fields(Self& aSelf)
  {
    return std::tie(aSelf.wait, aSelf.bytes_per_second, aSelf.bytes_per_block);
  }
};

/// @brief Entry to a store's owner: a copy could not be read.
struct CopyMissing
{
  core::StoreId store;
  std::string handle;
  std::uint64_t generation = 0;

  template<typename Self>
  static auto Fields(Self& aSelf)
  {
    return std::tie(aSelf.store, aSelf.handle, aSelf.generation);
  }
};

/// @brief An empty reply: the message was received and processed.
struct Ack
{
  template<typename Self>
  static auto Fields(Self& /*aSelf*/)
  {
    return std::tie();
  }
};

/// @brief Any message. The index is the type on the wire: append only.
using Message = std::variant<QuoteRequest,
                             QuoteReply,
                             PermitAcquire,
                             PermitReply,
                             PermitWithdraw,
                             PermitStarted,
                             PermitRelease,
                             HoldersRequest,
                             HoldersReply,
                             TargetHint,
                             StoreHint,
                             TableHead,
                             TablePageRequest,
                             TablePageReply,
                             Ack,
                             HoldingsRequest,
                             HoldingsReply,
                             core::GroupHandover,
                             core::LeaseRenew,
                             core::LeaseAck,
                             core::LeaseResign,
                             core::VoteRequest,
                             core::VoteReply,
                             core::OwnersAnnouncement,
                             core::OwnersQuery,
                             ExportOffer,
                             LinkQuoteRequest,
                             LinkQuote,
                             CopyMissing>;

/// @brief A message with the id that matches a reply to its call.
struct Envelope
{
  /// Id chosen by the caller; 0: no reply is expected.
  std::uint64_t call = 0;
  bool is_reply = false;
  Message message;
};

} // namespace jujubehead::wire

#endif // JUJUBEHEAD_WIRE_MESSAGES_HPP
