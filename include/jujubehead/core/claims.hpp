#ifndef JUJUBEHEAD_CORE_CLAIMS_HPP
#define JUJUBEHEAD_CORE_CLAIMS_HPP

#include <compare> // for strong_ordering
#include <cstddef> // for size_t
#include <cstdint> // for uint64_t
#include <deque>   // for deque
#include <map>     // for map
#include <string>  // for string
#include <variant> // for variant
#include <vector>  // for vector

#include "jujubehead/core/ids.hpp"           // for AccountId
#include "jujubehead/core/runtime_clock.hpp" // for Duration, Instant

namespace jujubehead::core {

/// @brief Identifies a non-idempotent request.
struct ClaimKey
{
  AccountId account;
  std::string idempotency_key; ///< As the caller gave it.

  // NOLINTNEXTLINE(modernize-use-nullptr)
  friend auto operator<=>(const ClaimKey&, const ClaimKey&) = default;
};

/// @brief A stored row: some instance runs, or ran, the request. It is written
/// before the request is dispatched, and never changed.
struct ClaimRow
{
  ClaimKey key;
  std::string token;    ///< Unique for one attempt to claim.
  std::int64_t day = 0; ///< Days since the epoch; rows are deleted by it.
};

/// @brief Time limits and sizes for claims.
struct ClaimRules
{
  /// How long a claim waits for others to share its transaction.
  Duration batch_delay = std::chrono::milliseconds(5);
  std::size_t max_batch_rows = 50;
  std::size_t max_transactions = 4;
  /// A request is refused when its claim is not settled within this time.
  Duration settle_timeout = std::chrono::seconds(5);
  Duration retry_delay = std::chrono::milliseconds(100);
  /// Further claims are refused immediately.
  std::size_t max_waiting = 2000;
};

/// @brief Retention of a claim in days. A request repeated later may run
/// again.
inline constexpr std::int64_t kClaimDays = 7;

/// @return whether the row is so old that it may be deleted.
[[nodiscard]] bool
IsClaimExpired(const ClaimRow& aRow, std::int64_t aToday);

/// @brief Insert these rows if none of the keys exists: all or none.
struct WriteClaims
{
  std::uint64_t transaction = 0;
  std::vector<ClaimRow> rows;
};

/// @brief Read this row.
struct ReadClaim
{
  std::uint64_t transaction = 0;
  ClaimKey key;
};

/// @brief The request may be dispatched, once.
struct ClaimWon
{
  std::string token;
};

/// @brief Another attempt holds the claim: this one must not run.
struct ClaimTaken
{
  std::string token;
};

/// @brief The claim was not confirmed: the request is not run. The attempt's
/// row may still appear, and then blocks the key until it expires.
struct ClaimFailed
{
  std::string token;
  bool may_be_claimed = false; ///< Tell the caller that a retry may be refused.
};

using ClaimAction =
  std::variant<WriteClaims, ReadClaim, ClaimWon, ClaimTaken, ClaimFailed>;

/// @brief All rows were written.
struct ClaimsCommitted
{};
/// @brief None was written: the keys at these indices exist already.
struct ClaimsConflict
{
  std::vector<std::size_t> indices;
};
/// @brief None was written.
struct ClaimsNotWritten
{};
/// @brief All or none were written; which is not known.
struct ClaimsUnknown
{};
using ClaimsOutcome = std::
  variant<ClaimsCommitted, ClaimsConflict, ClaimsNotWritten, ClaimsUnknown>;

/// @brief The result of ReadClaim.
struct ClaimRead
{
  bool failed = false;
  bool found = false;
  std::string token; ///< Of the row.
};

/// @brief Claims of one instance: batches several into one transaction, removes
/// conflicting ones and writes the rest again, and resolves a lost response by
/// reading the row and comparing its token.
///
/// A claim is won only when its own row is confirmed as stored; no request is
/// dispatched before that, so a request runs at most once.
class Claims
{
public:
  static Claims Create(ClaimRules aRules = {});

  /// @param aRow its token must be unique in the whole system.
  void Claim(ClaimRow aRow, Instant aNow);
  void OnWritten(std::uint64_t aTransaction,
                 const ClaimsOutcome& aOutcome,
                 Instant aNow);
  void OnRead(std::uint64_t aTransaction, const ClaimRead& aRead, Instant aNow);
  /// @brief Call at least every few milliseconds while claims wait.
  void Tick(Instant aNow);
  [[nodiscard]] std::vector<ClaimAction> TakeActions();
  /// @return claims that are not settled yet.
  [[nodiscard]] std::size_t Pending() const;

private:
  struct Attempt
  {
    ClaimRow row;
    Instant since;
    bool uncertain = false; ///< Its row may have been written.
  };

  explicit Claims(ClaimRules aRules)
    : m_rules(aRules)
  {
  }

  void Settle(const Attempt& aAttempt, const ClaimRead& aRead, Instant aNow);
  void Fail(const Attempt& aAttempt);
  void Expire(Instant aNow);
  void StartWrites(Instant aNow);
  void ReadOne(Attempt aAttempt);
  [[nodiscard]] std::vector<Attempt> NextBatch();

  ClaimRules m_rules;
  std::deque<Attempt> m_waiting;
  std::map<std::uint64_t, std::vector<Attempt>> m_writing;
  std::map<std::uint64_t, Attempt> m_reading;
  std::vector<ClaimAction> m_actions;
  std::uint64_t m_last_transaction = 0;
  Instant m_next_write_at;
  bool m_batch_open = false;
};

} // namespace jujubehead::core

#endif // JUJUBEHEAD_CORE_CLAIMS_HPP
