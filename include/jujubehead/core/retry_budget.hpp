#ifndef JUJUBEHEAD_CORE_RETRY_BUDGET_HPP
#define JUJUBEHEAD_CORE_RETRY_BUDGET_HPP

#include <cstdint> // for uint64_t

namespace jujubehead::core {

/// @brief Settings of a retry budget.
struct RetryBudgetOptions
{
  double per_request = 0.1; ///< Retries that each first attempt earns.
  double burst = 10;        ///< Most retries saved up.
};

/// @brief Bounds retries to a share of the requests, so that retries never
/// multiply the load on targets that are slow because of load.
///
/// Each instance keeps one. As every instance holds to the share, so does the
/// whole system.
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

  /// @brief A first attempt was made.
  void OnRequest();
  /// @return whether one more attempt may be made now; takes it from the
  /// budget.
  [[nodiscard]] bool TryRetry();

  [[nodiscard]] std::uint64_t Retries() const { return m_retries; }
  [[nodiscard]] std::uint64_t Denied() const { return m_denied; }

private:
  RetryBudgetOptions m_options;
  double m_saved;
  std::uint64_t m_retries = 0;
  std::uint64_t m_denied = 0;
};

} // namespace jujubehead::core

#endif // JUJUBEHEAD_CORE_RETRY_BUDGET_HPP
