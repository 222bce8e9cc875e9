#ifndef JUJUBEHEAD_SRC_CORE_FAIR_QUEUE_HPP
#define JUJUBEHEAD_SRC_CORE_FAIR_QUEUE_HPP

#include <cstdint>       // for uint32_t, uint64_t
#include <map>           // for map
#include <optional>      // for optional
#include <span>          // for span
#include <tuple>         // for tuple
#include <unordered_map> // for unordered_map
#include <vector>        // for vector

#include "jujubehead/core/permit.hpp" // for PermitRequest, AccountShare
#include "service_estimate.hpp"       // for ServiceEstimate

namespace jujubehead::core {

/// @brief A waiting request, and when its holder last sent it.
struct WaitingRequest
{
  PermitRequest request;
  Instant last_request_at;
};

/// @brief A request selected to run, and the run time charged for it.
struct ChosenRequest
{
  WaitingRequest waiting;
  Duration charged{};
};

/// @brief Start-time fair queueing over accounts; see PermitScheduler.
class FairQueue
{
public:
  void SetShare(AccountShare aShare);
  /// @return the removed requests of accounts that no longer have a share.
  std::vector<WaitingRequest> SetShares(std::span<const AccountShare> aShares);
  [[nodiscard]] const AccountShare* Share(const AccountId& aAccount) const;

  [[nodiscard]] WaitingRequest* Find(const RequestId& aRequest);
  void Push(WaitingRequest aWaiting);
  bool Remove(const RequestId& aRequest);
  /// @brief Removes all waiting requests and returns them.
  std::vector<WaitingRequest> Clear();
  /// @return the next request to run, of those last sent at or after
  /// `aActiveSince`.
  std::optional<ChosenRequest> Pop(Instant aActiveSince);
  /// @brief Removes and returns requests whose deadline has passed or that
  /// their holder last sent before `aInactiveBefore`.
  std::vector<WaitingRequest> TakeExpired(Instant aNow,
                                          Instant aInactiveBefore);

  /// @brief Ends a run and corrects its account's charge to the time used.
  void Settle(const AccountId& aAccount, Duration aCharged, Duration aUsed);
  /// @brief Counts a continuing run that an earlier owner permitted.
  void CountRunning(const AccountId& aAccount);
  /// @brief Ends a run of unknown duration.
  void CountEnded(const AccountId& aAccount);
  /// @brief Adds a run to the service time estimates.
  void AddSample(const AccountId& aAccount,
                 std::uint32_t aTokens,
                 Duration aUsed);

  [[nodiscard]] std::uint32_t Size() const { return m_size; }
  [[nodiscard]] std::uint32_t SizeOf(const AccountId& aAccount) const;
  /// @brief Expected wait of another request behind `aAhead` requests of its
  /// account.
  [[nodiscard]] Duration ExpectedWait(const AccountId& aAccount,
                                      std::uint32_t aAhead,
                                      std::uint32_t aSlots,
                                      std::uint32_t aFreeSlots) const;
  /// @return the number of the account's requests that precede this one.
  [[nodiscard]] std::uint32_t CountAhead(const PermitRequest& aRequest) const;

private:
  /// Priority, deadline, order of arrival.
  using Order = std::tuple<std::int32_t, Instant, std::uint64_t>;

  struct Account
  {
    AccountShare share;
    std::map<Order, WaitingRequest> waiting;
    std::uint32_t running = 0;
    double finish = 0; ///< Virtual finish time, in seconds.
    ServiceEstimate service;
  };

  struct Position
  {
    AccountId account;
    Order order;
  };

  [[nodiscard]] static bool IsBusy(const Account& aAccount);
  [[nodiscard]] Account* SelectAccount(Instant aActiveSince);
  [[nodiscard]] Duration Estimate(const Account& aAccount,
                                  std::uint32_t aTokens) const;
  [[nodiscard]] double BusyWeight(const Account& aIncluded) const;
  void Erase(Account& aAccount, std::map<Order, WaitingRequest>::iterator aAt);

  std::map<AccountId, Account> m_accounts;
  std::unordered_map<RequestId, Position> m_positions;
  ServiceEstimate m_service; ///< Over all accounts.
  double m_virtual_time = 0;
  std::uint64_t m_arrivals = 0;
  std::uint32_t m_size = 0;
};

} // namespace jujubehead::core

#endif // JUJUBEHEAD_SRC_CORE_FAIR_QUEUE_HPP
