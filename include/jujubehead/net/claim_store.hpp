#ifndef JUJUBEHEAD_NET_CLAIM_STORE_HPP
#define JUJUBEHEAD_NET_CLAIM_STORE_HPP

#include <cstdint>    // for int64_t
#include <functional> // for function
#include <memory>     // for unique_ptr

#include <boost/asio/awaitable.hpp>  // for awaitable
#include <boost/asio/io_context.hpp> // for io_context

#include "jujubehead/core/claims.hpp" // for ClaimKey, ClaimRules

namespace jujubehead::net {

class TableService;

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
  core::ClaimKey key;
  std::uint64_t token = 0; ///< Unique to this claim.
};

/// Tells milliseconds since the epoch; claims of all instances expire by it.
using EpochClock = std::function<std::int64_t()>;

/// @brief Claims in the platform's table service: the row is committed before
/// the request is dispatched, so that it runs at most once whatever instance
/// gets its duplicates.
///
/// Carries out what core::Claims decides. For one thread.
class ClaimStore
{
public:
  /// @param aService outlives this.
  static std::unique_ptr<ClaimStore> Create(boost::asio::io_context& aContext,
                                            TableService& aService,
                                            EpochClock aEpochClock,
                                            core::ClaimRules aRules = {});
  virtual ~ClaimStore() = default;

  /// @brief Claims a key. Throws nothing.
  virtual boost::asio::awaitable<Claim> Take(core::ClaimKey aKey) = 0;
  /// @brief Gives a claim back whose request was not run, so that the caller
  /// may send it again. Throws nothing; a claim that could not be given back
  /// stays until it expires.
  virtual boost::asio::awaitable<void> GiveBack(Claim aClaim) = 0;
};

} // namespace jujubehead::net

#endif // JUJUBEHEAD_NET_CLAIM_STORE_HPP
