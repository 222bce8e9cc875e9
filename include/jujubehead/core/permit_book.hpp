#ifndef JUJUBEHEAD_CORE_PERMIT_BOOK_HPP
#define JUJUBEHEAD_CORE_PERMIT_BOOK_HPP

#include <cstdint> // for uint32_t, uint64_t
#include <memory>  // for unique_ptr
#include <span>    // for span
#include <vector>  // for vector

#include "jujubehead/core/permit.hpp" // for PermitId, PermitDecision

namespace jujubehead::core {

/// @brief The admission of one target, kept by its owner for one epoch.
///
/// Free places go to accounts by start-time fair queueing over the time that
/// their runs occupy places, weighted; within an account to the lower priority
/// number, then the earlier deadline. Every place is accounted for: by a permit
/// of this epoch, by a permit of an earlier epoch that its holder told of, or
/// by a reservation for what nobody told of yet. A place comes back only on the
/// word of the holder, or, if the holder is silent, of the target.
///
/// @code
/// auto book = PermitBook::ForEpoch(7, 8);
/// book.SetShare({ account, 1, 8, 64 });
/// book.Request(request, now);
/// for (const auto& decision : book.Decide(now)) { ... }
/// @endcode
class PermitBook
{
public:
  /// @param aEpoch of the ownership that admits.
  /// @param aLimit the most that the target may run at once.
  static PermitBook ForEpoch(std::uint64_t aEpoch,
                             std::uint32_t aLimit,
                             PermitRules aRules = {});

  PermitBook(PermitBook&&) noexcept;
  PermitBook& operator=(PermitBook&&) noexcept;
  ~PermitBook();

  /// @brief Changes the limit; a lower one takes effect as runs end.
  void SetLimit(std::uint32_t aLimit);
  /// @brief Adds or changes one account's share.
  void SetShare(AccountShare aShare);
  /// @brief Replaces all shares; waiting requests of accounts that have none
  /// any more are refused by the next Decide().
  void SetShares(std::span<const AccountShare> aShares);
  /// @return whether the account has a share here.
  [[nodiscard]] bool HasShare(const AccountId& aAccount) const;

  /// @brief Takes a request, or a repeat of one. The next Decide() answers a
  /// repeat of a granted one with the same permit.
  void Request(const PermitRequest& aRequest, Instant aNow);
  /// @brief The holder no longer wants it and will not start it.
  void Withdraw(const RequestId& aRequest, Instant aNow);
  /// @brief The run began. Only for figures: a start that was not told of
  /// counts as well.
  void Started(const PermitId& aPermit, Instant aNow);
  /// @brief The run is over, or will never begin. Also of earlier epochs.
  void Release(const PermitId& aPermit, Instant aNow);
  /// @return what is decided since the last call, in order.
  [[nodiscard]] std::vector<PermitDecision> Decide(Instant aNow);
  [[nodiscard]] PermitQuote Quote(Instant aNow,
                                  const AccountId& aAccount) const;

  /// @brief After a takeover: earlier owners may have given up to this many
  /// permits, the last of which starts no later than `aStartsEnd`.
  void ReserveUnknown(std::uint32_t aCount, Instant aStartsEnd);
  /// @brief At a hand-over: the previous owner's complete list.
  void Adopt(std::span<const HeldPermit> aPermits, Instant aNow);
  /// @return what to ask holders.
  [[nodiscard]] HoldingsQuery Query() const;
  /// @return the holders that should be asked again.
  [[nodiscard]] std::vector<InstanceId> HoldersToAsk(Instant aNow) const;
  void AcceptHolding(const HoldingsAnswer& aAnswer, Instant aNow);
  void ObserveTargetReport(const TargetReport& aReport);
  /// @return whether a report as of some later time would set places free.
  [[nodiscard]] bool NeedsTargetReport(Instant aNow) const;

  /// @brief Planned stop: grants nothing more and refuses what waits.
  void StopAdmitting();
  /// @brief The planned stop was taken back.
  void ResumeAdmitting();
  [[nodiscard]] bool Admits() const;

  [[nodiscard]] std::uint64_t Epoch() const;
  [[nodiscard]] std::uint32_t Limit() const;
  /// @return every permit that is out, for a hand-over or a status page.
  [[nodiscard]] std::vector<HeldPermit> Held() const;
  /// @return places reserved for what nobody told of yet.
  [[nodiscard]] std::uint32_t Reserved() const;
  [[nodiscard]] std::uint32_t Waiting() const;

private:
  class Impl;
  explicit PermitBook(std::unique_ptr<Impl> aImpl);
  std::unique_ptr<Impl> m_impl;
};

} // namespace jujubehead::core

#endif // JUJUBEHEAD_CORE_PERMIT_BOOK_HPP
