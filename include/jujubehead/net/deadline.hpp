#ifndef JUJUBEHEAD_NET_DEADLINE_HPP
#define JUJUBEHEAD_NET_DEADLINE_HPP

#include <functional> // for function
#include <memory>     // for shared_ptr

#include <boost/asio/any_io_executor.hpp> // for any_io_executor

#include "jujubehead/core/runtime_clock.hpp" // for Duration

namespace jujubehead::net {

/// @brief One moving deadline of a connection.
///
/// Moving it later costs no timer operation: the timer wakes at the earlier
/// moment, sees that the deadline moved, and sleeps again. So it can be set
/// for every chunk of a stream.
class Deadline
{
public:
  /// @param aOnExpired called on the executor when the deadline has passed; not
  /// after the Deadline was destroyed.
  Deadline(const boost::asio::any_io_executor& aExecutor,
           std::function<void()> aOnExpired);
  ~Deadline();
  Deadline(const Deadline&) = delete;
  Deadline& operator=(const Deadline&) = delete;
  Deadline(Deadline&&) = delete;
  Deadline& operator=(Deadline&&) = delete;

  /// @brief Sets the deadline that much from now, in place of any other.
  void Set(core::Duration aFromNow);
  /// @brief Takes the deadline away.
  void Clear();

private:
  struct State;
  std::shared_ptr<State> m_state;
};

} // namespace jujubehead::net

#endif // JUJUBEHEAD_NET_DEADLINE_HPP
