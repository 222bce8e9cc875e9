#ifndef JUJUBEHEAD_CORE_RETRY_BUDGET_HPP
#define JUJUBEHEAD_CORE_RETRY_BUDGET_HPP

#include <cstdint> // for uint64_t

namespace jujubehead::core {

/// @brief Settings of a retry budget.
struct RetryBudgetOptions
{
  double per_request = 0.1; ///< Retries earned by each first attempt.
  double burst = 10;        ///< Maximum accumulated retries.
};

/// @brief Limits retries to a share of the requests, so that retries never
/// multiply the load on targets that are slow because of load.
///
/// Each instance has its own budget. As every instance keeps within the share,
/// so does the whole system.
///
/// @code
/// RetryBudget budget(RetryBudgetOptions{});
/// budget.OnRequest();
/// if (budget.TryRetry()) { ... }
/// @endcode
class RetryBudget
{
public:
  explicit RetryBudget(RetryBudgetOptions aOptions);

  /// @brief Records a first attempt.
  void OnRequest();
  /// @return whether a retry is allowed now; if so, deducts it from the budget.
  [[nodiscard]] bool TryRetry();

  [[nodiscard]] std::uint64_t Retries() const { return m_retries; }
  [[nodiscard]] std::uint64_t Denied() const { return m_denied; }

private:
  RetryBudgetOptions m_options;
  double m_balance;
  std::uint64_t m_retries = 0;
  std::uint64_t m_denied = 0;
};

} // namespace jujubehead::core

#endif // JUJUBEHEAD_CORE_RETRY_BUDGET_HPP
