#ifndef JUJUBEHEAD_NET_RUN_AWAITABLE_HPP
#define JUJUBEHEAD_NET_RUN_AWAITABLE_HPP

#include <exception> // for exception_ptr, rethrow_exception
#include <optional>  // for optional
#include <utility>   // for move

#include <boost/asio/awaitable.hpp>  // for awaitable
#include <boost/asio/co_spawn.hpp>   // for co_spawn
#include <boost/asio/io_context.hpp> // for io_context

namespace jujubehead::net {

/// @brief Runs a context until a coroutine on it is done.
/// @return what it returned. @throws what it threw.
template<typename T>
T
RunAwaitable(boost::asio::io_context& aContext,
             boost::asio::awaitable<T> aAwaitable)
{
  std::exception_ptr error;
  std::optional<T> result;
  boost::asio::co_spawn(
    aContext, std::move(aAwaitable), [&](std::exception_ptr aError, T aResult) {
      error = std::move(aError);
      result = std::move(aResult);
    });
  aContext.restart();
  while (!error && !result && aContext.run_one() != 0) {
  }
  if (error) {
    std::rethrow_exception(error);
  }
  return std::move(*result);
}

} // namespace jujubehead::net

#endif // JUJUBEHEAD_NET_RUN_AWAITABLE_HPP
