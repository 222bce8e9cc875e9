#include "jujubehead/core/retry_budget.hpp"

#include <algorithm> // for min

namespace jujubehead::core {

RetryBudget::RetryBudget(RetryBudgetOptions aOptions)
  : m_options(aOptions)
  , m_saved(aOptions.burst)
{
}

void
RetryBudget::OnRequest()
{
  m_saved = std::min(m_saved + m_options.per_request, m_options.burst);
}

bool
RetryBudget::TryRetry()
{
  if (m_saved < 1) {
    ++m_denied;
    return false;
  }
  m_saved -= 1;
  ++m_retries;
  return true;
}

} // namespace jujubehead::core
