#include "stop_signal.hpp"

#include <sys/eventfd.h> // for eventfd
#include <unistd.h>      // for write, dup

#include <atomic>       // for atomic
#include <cerrno>       // for errno
#include <csignal>      // for sigaction, SIGTERM, SIGINT
#include <cstdint>      // for uint64_t
#include <system_error> // for system_error

#include <boost/asio/posix/stream_descriptor.hpp> // for stream_descriptor
#include <boost/asio/this_coro.hpp>               // for executor
#include <boost/asio/use_awaitable.hpp>           // for use_awaitable

namespace jujubehead::node {
namespace {

namespace asio = boost::asio;

// Read by the handler, which allows lock-free objects only.
std::atomic<core::Instant::rep> gReceivedAt{ 0 };
static_assert(std::atomic<core::Instant::rep>::is_always_lock_free);
std::atomic<int> gWakeUp{ -1 }; // An eventfd, readable once there was a signal.
static_assert(std::atomic<int>::is_always_lock_free);

extern "C" void
OnStopSignal(int)
{
  const int error = errno;
  core::Instant::rep none = 0;
  const auto now = core::RuntimeClock::now().time_since_epoch().count();
  if (gReceivedAt.compare_exchange_strong(none, now)) {
    const std::uint64_t one = 1;
    (void)!::write(gWakeUp.load(), &one, sizeof(one));
  }
  errno = error;
}

[[noreturn]] void
ThrowSystemError(const char* aWhat)
{
  throw std::system_error(errno, std::generic_category(), aWhat);
}

} // namespace

void
StopSignal::Install()
{
  gWakeUp = ::eventfd(0, EFD_CLOEXEC | EFD_NONBLOCK);
  if (gWakeUp < 0) {
    ThrowSystemError("eventfd");
  }
  struct sigaction action = {};
  action.sa_handler = OnStopSignal;
  action.sa_flags = SA_RESTART;
  for (const int signal : { SIGTERM, SIGINT }) {
    if (::sigaction(signal, &action, nullptr) != 0) {
      ThrowSystemError("sigaction");
    }
  }
}

std::optional<core::Instant>
StopSignal::ReceivedAt() noexcept
{
  const core::Instant::rep at = gReceivedAt;
  return at == 0 ? std::nullopt
                 : std::optional(core::Instant(core::Duration(at)));
}

asio::awaitable<void>
StopSignal::Wait()
{
  // Never read, so that it stays readable for all who wait.
  asio::posix::stream_descriptor wake_up(co_await asio::this_coro::executor,
                                         ::dup(gWakeUp));
  co_await wake_up.async_wait(asio::posix::stream_descriptor::wait_read,
                              asio::use_awaitable);
}

} // namespace jujubehead::node
