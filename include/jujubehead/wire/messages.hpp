#ifndef JUJUBEHEAD_WIRE_MESSAGES_HPP
#define JUJUBEHEAD_WIRE_MESSAGES_HPP

#include <cstdint> // for uint32_t, uint64_t
#include <string>  // for string
#include <tuple>   // for tie
#include <variant> // for variant
#include <vector>  // for vector

#include "jujubehead/core/ids.hpp"           // for TargetId, AccountId
#include "jujubehead/core/ownership.hpp"     // for HandedOver, LeaseRenew
#include "jujubehead/core/permit.hpp"        // for PermitId, HeldPermit
#include "jujubehead/core/runtime_clock.hpp" // for Duration

/// Messages between instances. Times are durations from the moment of sending:
/// clocks of two instances are never compared.
///
/// Each message lists its fields once, in Fields(); the codec writes them as
/// one CBOR array, so that no field name travels.
namespace jujubehead::wire {

/// @brief Entry to owner: how soon could these targets take a request?
struct QuoteAsk
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

/// @brief One target's state as its owner knows it.
struct TargetQuote
{
  core::TargetId target;
  std::uint32_t running = 0;
  std::uint32_t waiting = 0;
  std::uint32_t limit = 0;
  core::Duration expected_wait{};
  std::uint32_t prefill_tokens_per_second = 0; ///< 0: not known yet.
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

/// @brief Owner to entry: quotes of those asked targets that it owns.
struct QuoteAnswer
{
  std::vector<TargetQuote> quotes;

  template<typename Self>
  static auto Fields(Self& aSelf)
  {
    return std::tie(aSelf.quotes);
  }
};

/// @brief Entry to owner: admit this request to the target. Repeated while it
/// waits; idempotent by `request`. Answered by PermitAnswer, not as a call.
struct PermitAsk
{
  core::TargetId target;
  core::RequestId request;
  core::AccountId account;
  std::int32_t priority = 0;
  core::Duration deadline{}; ///< How long the request may wait from now.
  std::uint32_t cost_tokens = 0;
  std::uint64_t mark = 0;    ///< When this message was sent, by its sender.
  std::uint64_t process = 0; ///< Of the entry: drawn when it starts.

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

/// @brief What the owner made of a PermitAsk.
enum class PermitOutcome : std::uint8_t
{
  kGranted,
  kRefused,  ///< See `reason`; the request was not run.
  kNotOwner, ///< Ask whom the ownership rows name.
};

/// @brief Owner to entry: the answer to a PermitAsk, when it is decided.
struct PermitAnswer
{
  core::TargetId target;
  core::RequestId request;
  PermitOutcome outcome = PermitOutcome::kNotOwner;
  std::uint64_t epoch = 0;  ///< Of the permit: the fencing number.
  std::uint64_t number = 0; ///< Of the permit, within its epoch.
  std::uint8_t reason = 0;  ///< core::RefusalReason.
  core::Duration retry_after{};
  std::uint64_t mark = 0; ///< Of the latest PermitAsk.

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

/// @brief Entry to owner: the run under this permit began.
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

/// @brief Entry to owner: the run under this permit is over. One that is lost
/// is made up for by HoldingsAsk.
struct PermitRelease
{
  core::TargetId target;
  std::uint64_t epoch = 0;
  std::uint64_t number = 0;
  core::Duration first_token{};         ///< From dispatch; 0: none came.
  std::uint32_t recomputed_tokens = 0;  ///< Prompt tokens it computed.
  std::vector<std::string> cached_keys; ///< Context keys that it now holds.

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

/// @brief Entry to directory home: who holds a prefix of this context?
struct HoldersAsk
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
  std::uint32_t keys = 0; ///< How many of the asked keys, from the first.

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

/// @brief Directory home to entry. Hints: a wrong one costs time only.
struct HoldersAnswer
{
  std::vector<TargetHolder> targets;
  std::vector<StoreHolder> stores;

  template<typename Self>
  static auto Fields(Self& aSelf)
  {
    return std::tie(aSelf.targets, aSelf.stores);
  }
};

/// @brief To directory home: a target now holds, or lost, these keys.
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

/// @brief To directory home: a store now holds, or lost, a copy.
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

/// @brief Both ways: the newest version of the operators' table seen.
struct TableHead
{
  std::uint64_t version = 0;

  template<typename Self>
  static auto Fields(Self& aSelf)
  {
    return std::tie(aSelf.version);
  }
};

/// @brief Starting instance to a peer: send a page of the table in force.
struct TableAsk
{
  std::uint64_t version = 0; ///< Of the pages before; 0: the one in force.
  std::uint64_t offset = 0;  ///< Bytes that are there already.

  template<typename Self>
  static auto Fields(Self& aSelf)
  {
    return std::tie(aSelf.version, aSelf.offset);
  }
};

/// @brief Peer to starting instance: a page of a serialised table snapshot.
struct TableAnswer
{
  std::uint64_t version = 0; ///< 0: that version is not kept.
  std::uint64_t size = 0;    ///< Bytes of the whole.
  std::string bytes;

  template<typename Self>
  static auto Fields(Self& aSelf)
  {
    return std::tie(aSelf.version, aSelf.size, aSelf.bytes);
  }
};

/// @brief Owner to entry: which permits of this target do you hold? Answered
/// by HoldingsAnswer.
struct HoldingsAsk
{
  core::TargetId target;
  core::PermitId up_to;

  template<typename Self>
  static auto Fields(Self& aSelf)
  {
    return std::tie(aSelf.target, aSelf.up_to);
  }
};

/// @brief Entry to owner: these, and none else up to `up_to`.
struct HoldingsAnswer
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

/// @brief Entry to a store's owner: a target holds this context now; keep a
/// copy if that is worth it.
struct KeepOffer
{
  core::StoreId store;
  core::TargetId target;
  std::uint64_t fencing = 0; ///< Of the target's owner, for the order.
  core::AccountId account;
  std::vector<std::string> keys; ///< One a full block, as raw bytes.
  std::uint32_t tokens = 0;      ///< Of all blocks together.
  double recompute_price = 0;    ///< Seconds that a token saved is worth.

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

/// @brief Entry to a store's owner: how soon could an import cross its link?
struct LinkAsk
{
  core::StoreId store;
  core::AccountId account;

  template<typename Self>
  static auto Fields(Self& aSelf)
  {
    return std::tie(aSelf.store, aSelf.account);
  }
};

/// @brief A store's owner to an entry. A rate of 0: it is not the owner.
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

/// @brief The answer that says no more than "received and done".
struct Ack
{
  template<typename Self>
  static auto Fields(Self& /*aSelf*/)
  {
    return std::tie();
  }
};

/// @brief Any message. The index is its type on the wire: append only.
using Message = std::variant<QuoteAsk,
                             QuoteAnswer,
                             PermitAsk,
                             PermitAnswer,
                             PermitWithdraw,
                             PermitStarted,
                             PermitRelease,
                             HoldersAsk,
                             HoldersAnswer,
                             TargetHint,
                             StoreHint,
                             TableHead,
                             TableAsk,
                             TableAnswer,
                             Ack,
                             HoldingsAsk,
                             HoldingsAnswer,
                             core::HandedOver,
                             core::LeaseRenew,
                             core::LeaseAck,
                             core::LeaseResign,
                             core::VoteRequest,
                             core::VoteReply,
                             core::OwnersAnnounce,
                             core::OwnersAsk,
                             KeepOffer,
                             LinkAsk,
                             LinkQuote,
                             CopyMissing>;

/// @brief A message with what ties an answer to its question.
struct Envelope
{
  /// Chosen by the asker; 0: no answer is expected.
  std::uint64_t call = 0;
  bool is_answer = false;
  Message message;
};

} // namespace jujubehead::wire

#endif // JUJUBEHEAD_WIRE_MESSAGES_HPP
