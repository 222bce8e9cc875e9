#include "jujubehead/net/timer.hpp"

#include <boost/asio/this_coro.hpp>     // for executor
#include <boost/asio/use_awaitable.hpp> // for use_awaitable

namespace jujubehead::net {

boost::asio::awaitable<void>
Sleep(core::Duration aDuration)
{
  Timer timer(co_await boost::asio::this_coro::executor, aDuration);
  co_await timer.async_wait(boost::asio::use_awaitable);
}

} // namespace jujubehead::net
