#include "jujubehead/core/retry_budget.hpp"

#include <algorithm> // for min

namespace jujubehead::core {

RetryBudget::RetryBudget(RetryBudgetOptions aOptions)
  : m_options(aOptions)
  , m_balance(aOptions.burst)
{
}

void
RetryBudget::OnRequest()
{
  m_balance = std::min(m_balance + m_options.per_request, m_options.burst);
}

bool
RetryBudget::TryRetry()
{
  if (m_balance < 1) {
    ++m_denied;
    return false;
  }
  m_balance -= 1;
  ++m_retries;
  return true;
}

} // namespace jujubehead::core
