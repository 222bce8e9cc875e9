#ifndef JUJUBEHEAD_NET_CLAIM_STORE_HPP
#define JUJUBEHEAD_NET_CLAIM_STORE_HPP

#include <chrono>     // for hours
#include <cstddef>    // for size_t
#include <cstdint>    // for int64_t
#include <functional> // for function
#include <memory>     // for unique_ptr
#include <string>     // for string

#include <boost/asio/awaitable.hpp>  // for awaitable
#include <boost/asio/io_context.hpp> // for io_context

#include "jujubehead/core/ids.hpp" // for AccountId, ModelId

namespace jujubehead::net {

class TableService;

/// @brief What may run at most once: a client account's key, for a model or a
/// plain service.
struct ClaimKey
{
  core::AccountId account;
  core::ModelId model;
  std::string key; ///< The caller's `Idempotency-Key`.
};

/// @brief What became of a claim.
enum class ClaimOutcome : std::uint8_t
{
  kClaimed,     ///< This request alone may run.
  kDuplicate,   ///< Another request with this key was first.
  kUnavailable, ///< Not settled in time: do not run.
};

/// @brief A claim, as its holder names it.
struct Claim
{
  ClaimOutcome outcome = ClaimOutcome::kUnavailable;
  ClaimKey key;
  std::uint64_t token = 0; ///< Unique to this claim.
};

/// @brief Settings of the claims.
struct ClaimStoreOptions
{
  /// A claim is kept for so long; afterwards its key may be used again.
  std::int64_t keep_ms =
    std::chrono::milliseconds(std::chrono::hours(24)).count();
  std::size_t batch = 50; ///< Claims a transaction at the most.
  /// Milliseconds since the epoch; the platform's services share that clock.
  std::function<std::int64_t()> now_ms;
};

/// @brief Claims in the platform's table service: the row is committed before
/// the request is dispatched, so that it runs at most once whatever instance
/// gets its duplicates.
///
/// Claims that come while a write is out go together in the next transaction,
/// so that a peak costs few writes. A lost answer is settled by reading back
/// the claim's own token. For one thread.
class ClaimStore
{
public:
  /// @param aService outlives this.
  static std::unique_ptr<ClaimStore> Create(boost::asio::io_context& aContext,
                                            TableService& aService,
                                            ClaimStoreOptions aOptions);
  virtual ~ClaimStore() = default;

  /// @brief Claims a key. Throws nothing.
  virtual boost::asio::awaitable<Claim> Take(ClaimKey aKey) = 0;
  /// @brief Gives a claim back whose request was not run, so that the caller
  /// may send it again. Throws nothing; a claim that could not be given back
  /// stays until it expires.
  virtual boost::asio::awaitable<void> GiveBack(Claim aClaim) = 0;
};

} // namespace jujubehead::net

#endif // JUJUBEHEAD_NET_CLAIM_STORE_HPP
