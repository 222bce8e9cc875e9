#ifndef JUJUBEHEAD_NET_NET_TEST_TOOLS_HPP
#define JUJUBEHEAD_NET_NET_TEST_TOOLS_HPP

#include <exception>  // for exception_ptr
#include <functional> // for function
#include <string>     // for string

#include <boost/asio/awaitable.hpp>  // for awaitable
#include <boost/asio/co_spawn.hpp>   // for co_spawn
#include <boost/asio/io_context.hpp> // for io_context

#include "jujubehead/net/http_server.hpp" // for HttpServer

namespace jujubehead::net::test {

/// @brief Runs a coroutine to its end on the context, with all else there.
/// @throws what the coroutine throws.
inline void
RunIn(boost::asio::io_context& aContext,
      const std::function<boost::asio::awaitable<void>()>& aBody)
{
  bool done = false;
  std::exception_ptr failure;
  boost::asio::co_spawn(
    aContext, aBody, [&](const std::exception_ptr& aFailure) {
      failure = aFailure;
      done = true;
    });
  aContext.restart();
  while (!done && aContext.run_one() != 0) {
  }
  if (failure) {
    std::rethrow_exception(failure);
  }
}

/// @brief Runs the context until a condition holds.
inline void
RunUntil(boost::asio::io_context& aContext,
         const std::function<bool()>& aCondition)
{
  aContext.restart();
  while (!aCondition() && aContext.run_one() != 0) {
  }
}

inline std::string
AuthorityOf(const HttpServer& aServer)
{
  return "127.0.0.1:" + std::to_string(aServer.Port());
}

} // namespace jujubehead::net::test

#endif // JUJUBEHEAD_NET_NET_TEST_TOOLS_HPP
