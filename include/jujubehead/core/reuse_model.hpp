#ifndef JUJUBEHEAD_CORE_REUSE_MODEL_HPP
#define JUJUBEHEAD_CORE_REUSE_MODEL_HPP

#include <cstddef> // for size_t
#include <memory>  // for unique_ptr

#include "jujubehead/core/ids.hpp"           // for AccountId
#include "jujubehead/core/runtime_clock.hpp" // for Duration

namespace jujubehead::core {

/// @brief Weights of the prior and the pool, and the limit on accounts.
struct ReuseModelSettings
{
  /// Weight of the pool of all accounts in an account's estimate, in returns.
  double pool_weight = 8;
  /// Weight of the prior in the pool's estimate, in returns.
  double prior_weight = 8;
  /// Accounts with their own counts; the others use the pool's.
  std::size_t max_accounts = 50000;
};

/// @brief Estimates when an idle context is used again, from past idle times.
///
/// The rate of return is assumed constant within each span of idle time (two
/// spans per doubling), estimated as returns per time at risk. The estimate of
/// an account shrinks towards the pool of all accounts, that of the pool
/// towards a prior under which half of all contexts return within an hour.
class ReuseModel
{
public:
  explicit ReuseModel(const ReuseModelSettings& aSettings = {});
  ~ReuseModel();
  ReuseModel(ReuseModel&&) noexcept;
  ReuseModel& operator=(ReuseModel&&) noexcept;

  /// @brief Records that a context was idle from one age to another.
  /// @param aReturned whether it returned at the end; otherwise it is still
  /// idle or was removed.
  void Observe(const AccountId& aAccount,
               Duration aFrom,
               Duration aTo,
               bool aReturned);

  /// @brief Scales all observations so far by a factor, so that later ones
  /// count for more.
  void Decay(double aFactor);

  /// @return probability of a return within a time from now, for a context that
  /// has been idle for aIdle.
  [[nodiscard]] double ReuseProbability(const AccountId& aAccount,
                                        Duration aIdle,
                                        Duration aWithin) const;

  /// @return returns per second of retention, maximized over the retention
  /// time: the index by which contexts are ranked for space in a tier.
  [[nodiscard]] double ReuseRate(const AccountId& aAccount,
                                 Duration aIdle) const;

private:
  class Estimator;
  std::unique_ptr<Estimator> m_estimator;
};

} // namespace jujubehead::core

#endif // JUJUBEHEAD_CORE_REUSE_MODEL_HPP
