#ifndef JUJUBEHEAD_CORE_ROUTING_ACCOUNT_SHARES_HPP
#define JUJUBEHEAD_CORE_ROUTING_ACCOUNT_SHARES_HPP

#include <cstddef>       // for size_t
#include <cstdint>       // for uint16_t
#include <span>          // for span
#include <unordered_map> // for unordered_map
#include <vector>        // for vector

#include "jujubehead/core/ids.hpp"           // for AccountId, InstanceId
#include "jujubehead/core/runtime_clock.hpp" // for Duration, Instant

namespace jujubehead::core {

/// Identifies a client account in reports between instances, by a hash of its
/// id. Accounts whose hashes collide share one demand.
enum class AccountHash : std::uint16_t
{
};

AccountHash
HashOf(const AccountId& aAccount);

/// @brief A client account's demand at one instance.
struct AccountDemand
{
  AccountHash account{};
  std::uint16_t instance = 0; ///< Hash of the instance's id.
  double tokens_per_second = 0;
};

/// @brief Divides the room of a service between client accounts while it is
/// scarce, by max-min fairness: all accounts may use the same, and what some
/// leave goes to the others.
///
/// Demand is counted in tokens, admitted or not, over all instances: each
/// reports its own largest demands from time to time. So an account that asks
/// for little is served in full while larger ones are cut, and one whose
/// callers retry more often has a larger demand, of which a smaller share is
/// admitted.
///
/// @code
/// shares.OnRequest(account, tokens, now);
/// const double share = shares.ShareFor(account, 0.6, now); // of 0.6 for all
/// @endcode
class AccountShares
{
public:
  /// Demands that an instance reports at once. An instance has few callers, and
  /// small demands change the shares of others little.
  static constexpr std::size_t kMaxReported = 4;

  /// @brief A request came in.
  void OnRequest(const AccountId& aAccount, double aTokens, Instant aNow);
  /// @brief Another instance reported a demand.
  /// @param aReportedAt by this instance's clock.
  void OnReport(const AccountDemand& aDemand, Instant aReportedAt);
  /// @return the largest demands at this instance, largest first.
  [[nodiscard]] std::vector<AccountDemand> Report(const InstanceId& aSelf,
                                                  Instant aNow) const;
  /// @param aOfAll the share of all demand that there is room for, 0 to 1.
  /// @return the share of an account's requests to admit, 0 to 1.
  double ShareFor(const AccountId& aAccount, double aOfAll, Instant aNow);
  /// @brief Forgets demands that have decayed.
  void Tick(Instant aNow);

private:
  /// A rate that decays.
  struct Rate
  {
    double tokens_per_second = 0;
    Instant at{};

    [[nodiscard]] double As(Instant aNow) const;
  };

  /// @brief Adds up the demand of each account, of all instances, from time to
  /// time: there are a few reports of each instance.
  void UpdateTotals(Instant aNow);

  std::unordered_map<AccountHash, Rate> m_own;
  /// By account and instance.
  std::unordered_map<std::uint32_t, Rate> m_reported;
  std::unordered_map<AccountHash, double> m_totals;
  std::vector<double> m_demands; ///< Those of m_totals, ascending.
  double m_total = 0;
  Instant m_totals_at{};
};

/// @param aDemands ascending.
/// @return the level up to which each of some demands is met when `aRoom` is
/// divided by max-min fairness.
double
MaxMinLevel(std::span<const double> aDemands, double aRoom);

} // namespace jujubehead::core

#endif // JUJUBEHEAD_CORE_ROUTING_ACCOUNT_SHARES_HPP
