#ifndef JUJUBEHEAD_NODE_STOP_SIGNAL_HPP
#define JUJUBEHEAD_NODE_STOP_SIGNAL_HPP

#include <optional> // for optional

#include <boost/asio/awaitable.hpp> // for awaitable

#include "jujubehead/core/runtime_clock.hpp" // for Instant

namespace jujubehead::node {

/// @brief SIGTERM or SIGINT, whichever comes first, as the request for a
/// planned stop of the process.
///
/// The handler takes the time, so a stop begins when its signal is delivered,
/// however busy the threads are. There is one per process.
class StopSignal
{
public:
  /// @brief Installs the handler; once a process.
  /// @throws std::system_error when the system does not allow it.
  static void Install();
  /// @return when the signal was delivered, if it was. Thread-safe.
  [[nodiscard]] static std::optional<core::Instant> ReceivedAt() noexcept;
  /// @brief Waits for the signal; any number of coroutines may, on any thread.
  static boost::asio::awaitable<void> Wait();
};

} // namespace jujubehead::node

#endif // JUJUBEHEAD_NODE_STOP_SIGNAL_HPP
