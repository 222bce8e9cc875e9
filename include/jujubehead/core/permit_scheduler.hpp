#ifndef JUJUBEHEAD_CORE_PERMIT_SCHEDULER_HPP
#define JUJUBEHEAD_CORE_PERMIT_SCHEDULER_HPP

#include <cstdint> // for uint32_t, uint64_t
#include <memory>  // for unique_ptr
#include <span>    // for span
#include <vector>  // for vector

#include "jujubehead/core/permit.hpp" // for PermitId, PermitDecision

namespace jujubehead::core {

/// @brief Issues the permits of one target; run by its owner for one epoch.
///
/// Free slots go to accounts by weighted start-time fair queueing over the time
/// that their runs occupy slots; within an account to the lower priority
/// number, then the earlier deadline. Every used slot is accounted for: by a
/// permit of this epoch, by a permit of an earlier epoch that its holder
/// reported, or by a reservation for permits not reported yet. A slot becomes
/// free only by a message of the holder or, after the holder has timed out, by
/// a report of the target.
///
/// @code
/// auto scheduler = PermitScheduler::ForEpoch(7, 8);
/// scheduler.SetShare({ account, 1, 8, 64 });
/// scheduler.Request(request, now);
/// for (const auto& decision : scheduler.Decide(now)) { ... }
/// @endcode
class PermitScheduler
{
public:
  /// @param aEpoch of the ownership.
  /// @param aLimit the most that the target may run at once.
  static PermitScheduler ForEpoch(std::uint64_t aEpoch,
                                  std::uint32_t aLimit,
                                  PermitRules aRules = {});

  PermitScheduler(PermitScheduler&&) noexcept;
  PermitScheduler& operator=(PermitScheduler&&) noexcept;
  ~PermitScheduler();

  /// @brief Changes the limit; a lower one takes effect as runs end.
  void SetLimit(std::uint32_t aLimit);
  /// @brief Adds or changes one account's share.
  void SetShare(AccountShare aShare);
  /// @brief Replaces all shares; waiting requests of accounts that have none
  /// any more are refused by the next Decide().
  void SetShares(std::span<const AccountShare> aShares);
  /// @return whether the account has a share here.
  [[nodiscard]] bool HasShare(const AccountId& aAccount) const;

  /// @brief Enqueues a request, or refreshes a resent one. The next Decide()
  /// answers a resent one that was granted with the same permit.
  void Request(const PermitRequest& aRequest, Instant aNow);
  /// @brief The holder cancelled the request and will not start it.
  void Withdraw(const RequestId& aRequest, Instant aNow);
  /// @brief The run began. Used for estimates only: a run whose start was not
  /// reported occupies its slot as well.
  void Started(const PermitId& aPermit, Instant aNow);
  /// @brief The run is over, or will never begin. Also of earlier epochs.
  void Release(const PermitId& aPermit, Instant aNow);
  /// @return the decisions since the last call, in order.
  [[nodiscard]] std::vector<PermitDecision> Decide(Instant aNow);
  [[nodiscard]] PermitQuote Quote(Instant aNow,
                                  const AccountId& aAccount) const;

  /// @brief After a takeover: earlier owners may have issued up to this many
  /// permits, the last of which starts no later than `aLastStart`.
  void ReserveUnknown(std::uint32_t aCount, Instant aLastStart);
  /// @brief At a handover: adds the previous owner's complete list.
  void Adopt(std::span<const HeldPermit> aPermits, Instant aNow);
  /// @return the query to send to holders.
  [[nodiscard]] HoldingsQuery Query() const;
  /// @return the holders that should be queried again.
  [[nodiscard]] std::vector<InstanceId> HoldersToQuery(Instant aNow) const;
  void ApplyHoldings(const HoldingsReply& aAnswer, Instant aNow);
  void ApplyTargetReport(const TargetReport& aReport);
  /// @return whether a later target report could free slots.
  [[nodiscard]] bool NeedsTargetReport(Instant aNow) const;

  /// @brief Planned stop: grants nothing more and refuses waiting requests.
  void StopAdmitting();
  /// @brief Cancels a planned stop.
  void ResumeAdmitting();
  [[nodiscard]] bool Admits() const;

  [[nodiscard]] std::uint64_t Epoch() const;
  [[nodiscard]] std::uint32_t Limit() const;
  /// @return all outstanding permits, for a handover or a status page.
  [[nodiscard]] std::vector<HeldPermit> Held() const;
  /// @return slots reserved for permits and runs not attributed to a holder.
  [[nodiscard]] std::uint32_t Reserved() const;
  [[nodiscard]] std::uint32_t Waiting() const;

private:
  class Impl;
  explicit PermitScheduler(std::unique_ptr<Impl> aImpl);
  std::unique_ptr<Impl> m_impl;
};

} // namespace jujubehead::core

#endif // JUJUBEHEAD_CORE_PERMIT_SCHEDULER_HPP
