#include "jujubehead/net/deadline.hpp"

#include <utility> // for move

#include "jujubehead/net/timer.hpp" // for Timer

namespace jujubehead::net {

struct Deadline::State : std::enable_shared_from_this<State>
{
  State(const boost::asio::any_io_executor& aExecutor,
        std::function<void()> aOnExpired)
    : timer(aExecutor)
    , on_expired(std::move(aOnExpired))
  {
  }

  void Arm()
  {
    armed_for = deadline;
    timer.expires_at(deadline);
    timer.async_wait(
      [weak = weak_from_this()](const boost::system::error_code& aError) {
        const auto self = weak.lock();
        if (self && !aError) {
          self->Wake();
        }
      });
  }

  void Wake()
  {
    armed_for = core::Instant::max();
    if (deadline == core::Instant::max()) {
      return;
    }
    if (core::RuntimeClock::now() < deadline) {
      Arm();
      return;
    }
    deadline = core::Instant::max();
    on_expired();
  }

  Timer timer;
  std::function<void()> on_expired;
  core::Instant deadline = core::Instant::max();
  core::Instant armed_for = core::Instant::max();
};

Deadline::Deadline(const boost::asio::any_io_executor& aExecutor,
                   std::function<void()> aOnExpired)
  : m_state(std::make_shared<State>(aExecutor, std::move(aOnExpired)))
{
}

Deadline::~Deadline() = default;

void
Deadline::Set(core::Duration aFromNow)
{
  m_state->deadline = core::RuntimeClock::now() + aFromNow;
  if (m_state->deadline < m_state->armed_for) {
    m_state->Arm();
  }
}

void
Deadline::Clear()
{
  m_state->deadline = core::Instant::max();
}

} // namespace jujubehead::net
