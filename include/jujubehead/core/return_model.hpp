#ifndef JUJUBEHEAD_CORE_RETURN_MODEL_HPP
#define JUJUBEHEAD_CORE_RETURN_MODEL_HPP

#include <cstddef> // for size_t
#include <memory>  // for unique_ptr

#include "jujubehead/core/ids.hpp"           // for AccountId
#include "jujubehead/core/runtime_clock.hpp" // for Duration

namespace jujubehead::core {

/// @brief What the return model starts from and how fast it trusts an account.
struct ReturnModelSettings
{
  /// Returns that a pool of all accounts weighs against an account's own.
  double pool_weight = 8;
  /// Returns that the prior weighs against the pool's own.
  double prior_weight = 8;
  /// Accounts with counts of their own; the rest share the pool's.
  std::size_t max_accounts = 50000;
};

/// @brief Chance that an idle context returns, learnt from gaps.
///
/// The rate of return is taken as constant within each span of idle time
/// (spans double in length), estimated as returns by time at risk. An account
/// is drawn towards the pool of all accounts, the pool towards a prior under
/// which half of all contexts return within an hour.
class ReturnModel
{
public:
  explicit ReturnModel(const ReturnModelSettings& aSettings = {});
  ~ReturnModel();
  ReturnModel(ReturnModel&&) noexcept;
  ReturnModel& operator=(ReturnModel&&) noexcept;

  /// @brief A context was idle from one age to another.
  /// @param aReturned whether it returned at the end; otherwise it is idle yet
  /// or was given up.
  void Observe(const AccountId& aAccount,
               Duration aFrom,
               Duration aTo,
               bool aReturned);

  /// @brief Weighs all that was seen so far by a factor, so that later
  /// observations count for more.
  void Fade(double aFactor);

  /// @return chance of a return within a time from now, for a context that has
  /// been idle for aIdle.
  [[nodiscard]] double ChanceOfReturn(const AccountId& aAccount,
                                      Duration aIdle,
                                      Duration aWithin) const;

  /// @return returns a second of keeping, over the time to keep that makes it
  /// largest: the index by which contexts are ranked for room in a tier.
  [[nodiscard]] double ReturnRate(const AccountId& aAccount,
                                  Duration aIdle) const;

private:
  class Estimator;
  std::unique_ptr<Estimator> m_estimator;
};

} // namespace jujubehead::core

#endif // JUJUBEHEAD_CORE_RETURN_MODEL_HPP
