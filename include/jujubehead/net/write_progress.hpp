#ifndef JUJUBEHEAD_NET_WRITE_PROGRESS_HPP
#define JUJUBEHEAD_NET_WRITE_PROGRESS_HPP

#include <cstddef> // for size_t

#include <boost/asio/completion_condition.hpp> // for transfer_all
#include <boost/system/error_code.hpp>         // for error_code

#include "jujubehead/core/overload/memory_budget.hpp" // for MemoryBudget

namespace jujubehead::net {

/// @brief Completion condition of a write of all bytes that reports its
/// progress to the reservation of what is written.
class WriteProgress
{
public:
  /// @param aHeld outlives the write; may be null.
  explicit WriteProgress(core::MemoryBudget::Reservation* aHeld)
    : m_held(aHeld)
  {
  }

  /// @return bytes that may be written next.
  std::size_t operator()(const boost::system::error_code& aError,
                         std::size_t aWritten)
  {
    if (m_held != nullptr && aWritten > m_reported) {
      m_held->OnProgress(aWritten - m_reported, core::RuntimeClock::now());
      m_reported = aWritten;
    }
    return boost::asio::transfer_all()(aError, aWritten);
  }

private:
  core::MemoryBudget::Reservation* m_held;
  std::size_t m_reported = 0;
};

} // namespace jujubehead::net

#endif // JUJUBEHEAD_NET_WRITE_PROGRESS_HPP
