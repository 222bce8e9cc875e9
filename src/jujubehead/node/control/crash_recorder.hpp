#ifndef JUJUBEHEAD_NODE_CONTROL_CRASH_RECORDER_HPP
#define JUJUBEHEAD_NODE_CONTROL_CRASH_RECORDER_HPP

#include <cstddef>     // for size_t
#include <functional>  // for function
#include <string>      // for string
#include <string_view> // for string_view
#include <vector>      // for vector

#include <boost/asio/awaitable.hpp>  // for awaitable
#include <boost/asio/io_context.hpp> // for io_context

#include "jujubehead/core/routing/crash_records.hpp" // for CrashRecords
#include "jujubehead/net/timer.hpp"                  // for Timer
#include "jujubehead/node/control/platform.hpp"      // for CrashRows

namespace jujubehead::node {

/// @brief Callbacks of a CrashRecorder.
struct CrashRecorderHooks
{
  /// Takes the crashes of all instances, as recorded before this one started.
  std::function<void(std::vector<core::PoisonReport> aReports)> on_read;
  /// @return this instance's rank, from 0, in an order of all instances by a
  /// row's key.
  std::function<std::size_t(std::string_view aKey)> rank;
};

/// @brief Records the crashes of this instance's requests, and reads those of
/// all instances at its start.
class CrashRecorder
{
public:
  CrashRecorder(boost::asio::io_context& aContext,
                CrashRows& aRows,
                std::string aInstance,
                const core::RemoteClock& aStoreClock,
                CrashRecorderHooks aHooks);

  void Start();
  /// @brief This instance reports a crash or a complete answer.
  void OnOwnReport(const core::PoisonReport& aReport);
  /// @brief Other instances do.
  void OnOthersReports(const std::vector<core::PoisonReport>& aReports);

private:
  void OnCompletion(const core::CompletionReport& aReport);
  boost::asio::awaitable<void> Run();
  /// @brief Reads the rows until that succeeds.
  boost::asio::awaitable<void> Read();
  void ApplyRows(const std::vector<SharedRow>& aRows);
  /// @return whether it had effect.
  boost::asio::awaitable<bool> Write(core::CrashRowWrite aWrite);
  /// @brief Removes rows of instances that may be gone, all of whose crashes
  /// are forgotten.
  boost::asio::awaitable<void> RemoveExpired();

  boost::asio::io_context& m_context;
  CrashRows& m_rows;
  std::string m_instance;
  CrashRecorderHooks m_hooks;
  core::CrashRecords m_records;
  net::Timer m_timer; ///< Cancelled when a write is due sooner.
  std::vector<SharedRow> m_expired;
  bool m_is_first_read = true;
};

} // namespace jujubehead::node

#endif // JUJUBEHEAD_NODE_CONTROL_CRASH_RECORDER_HPP
