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

/// @brief A request that waits, and when it was last heard of.
struct WaitingRequest
{
  PermitRequest request;
  Instant heard_at;
};

/// @brief A request that was chosen to run, with the time it was charged.
struct ChosenRequest
{
  WaitingRequest waiting;
  Duration charged{};
};

/// @brief Start-time fair queueing over accounts; see PermitBook.
class FairQueue
{
public:
  void SetShare(AccountShare aShare);
  /// @return the requests of accounts that have no share any more.
  std::vector<WaitingRequest> SetShares(std::span<const AccountShare> aShares);
  [[nodiscard]] const AccountShare* Share(const AccountId& aAccount) const;

  [[nodiscard]] WaitingRequest* Find(const RequestId& aRequest);
  void Push(WaitingRequest aWaiting);
  bool Remove(const RequestId& aRequest);
  /// @return what waits, removed.
  std::vector<WaitingRequest> Clear();
  /// @return the next to run among holders heard of since `aHeardSince`.
  std::optional<ChosenRequest> Pop(Instant aHeardSince);
  /// @return what is removed because its deadline is over or its holder fell
  /// silent before `aSilentBefore`.
  std::vector<WaitingRequest> TakeHopeless(Instant aNow, Instant aSilentBefore);

  /// @brief A run ended: corrects what its account was charged.
  void Settle(const AccountId& aAccount, Duration aCharged, Duration aUsed);
  /// @brief A run of an earlier owner goes on under this account.
  void CountRunning(const AccountId& aAccount);
  /// @brief A run whose length is unknown ended.
  void CountEnded(const AccountId& aAccount);
  /// @brief Learns how long a run occupies a place.
  void Learn(const AccountId& aAccount, std::uint32_t aTokens, Duration aUsed);

  [[nodiscard]] std::uint32_t Size() const { return m_size; }
  [[nodiscard]] std::uint32_t SizeOf(const AccountId& aAccount) const;
  /// @brief Expected wait of one more request behind `aAhead` of its account.
  [[nodiscard]] Duration ExpectedWait(const AccountId& aAccount,
                                      std::uint32_t aAhead,
                                      std::uint32_t aPlaces,
                                      std::uint32_t aFree) const;
  /// @return how many of the account's requests go before this one.
  [[nodiscard]] std::uint32_t Ahead(const PermitRequest& aRequest) const;

private:
  /// Priority, deadline, order of arrival.
  using Order = std::tuple<std::int32_t, Instant, std::uint64_t>;

  struct Account
  {
    AccountShare share;
    std::map<Order, WaitingRequest> waiting;
    std::uint32_t running = 0;
    double finish = 0; ///< Virtual seconds.
    ServiceEstimate service;
  };

  struct Position
  {
    AccountId account;
    Order order;
  };

  [[nodiscard]] static bool IsBusy(const Account& aAccount);
  [[nodiscard]] Account* Next(Instant aHeardSince);
  [[nodiscard]] Duration Estimate(const Account& aAccount,
                                  std::uint32_t aTokens) const;
  [[nodiscard]] double BusyWeight(const Account& aWith) const;
  void Forget(Account& aAccount, std::map<Order, WaitingRequest>::iterator aAt);

  std::map<AccountId, Account> m_accounts;
  std::unordered_map<RequestId, Position> m_positions;
  ServiceEstimate m_service; ///< Over all accounts.
  double m_virtual_time = 0;
  std::uint64_t m_arrivals = 0;
  std::uint32_t m_size = 0;
};

} // namespace jujubehead::core

#endif // JUJUBEHEAD_SRC_CORE_FAIR_QUEUE_HPP
