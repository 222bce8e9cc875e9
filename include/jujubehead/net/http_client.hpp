#ifndef JUJUBEHEAD_NET_HTTP_CLIENT_HPP
#define JUJUBEHEAD_NET_HTTP_CLIENT_HPP

#include <cstddef>     // for size_t
#include <memory>      // for shared_ptr, unique_ptr
#include <stdexcept>   // for runtime_error
#include <string>      // for string
#include <string_view> // for string_view

#include <boost/asio/awaitable.hpp>  // for awaitable
#include <boost/asio/io_context.hpp> // for io_context

#include "jujubehead/core/overload/memory_budget.hpp" // for MemoryBudget
#include "jujubehead/core/runtime_clock.hpp"          // for Duration
#include "jujubehead/net/call_cancel.hpp"             // for CallCancel
#include "jujubehead/net/http_message.hpp" // for HttpHeaders, HttpResponse
#include "jujubehead/net/tls.hpp"          // for TlsCredentials

namespace jujubehead::net {

/// Usual limit of a reply's body, in bytes.
inline constexpr std::size_t kMaxReplyBytes = 64UL * 1024 * 1024;

/// @brief A call to make.
struct HttpCall
{
  std::string authority; ///< `address:port`, by IP number.
  std::string method = "GET";
  std::string target = "/";
  HttpHeaders headers;
  std::string body;
  core::Duration connect_timeout = std::chrono::seconds(1);
  /// The longest silence while waiting for the next bytes.
  core::Duration idle_timeout = std::chrono::seconds(30);
  /// The longest body that Fetch() takes; a longer one fails the call.
  std::size_t reply_limit = kMaxReplyBytes;
  /// Bounds what Fetch() holds of the reply; null: only the limit above does.
  std::shared_ptr<core::MemoryBudget> memory = nullptr;
  /// Ends the call, and its stream, from outside; may be null.
  std::shared_ptr<CallCancel> cancel;
  /// Speaks TLS with these, on a connection that is not kept; null: plain.
  std::shared_ptr<const TlsCredentials> tls;
};

/// @brief A call failed. `dispatched` says whether any byte of the request may
/// have reached the other side; only `false` allows a refusal `not_run`.
class HttpCallError : public std::runtime_error
{
public:
  HttpCallError(const std::string& aWhat, bool aDispatched)
    : std::runtime_error(aWhat)
    , m_dispatched(aDispatched)
  {
  }
  [[nodiscard]] bool Dispatched() const { return m_dispatched; }

private:
  bool m_dispatched;
};

/// @brief A reply whose body is read as it comes. Destroying it before the end
/// closes its connection, which cancels the run at the other side.
class HttpStream
{
public:
  virtual ~HttpStream() = default;
  [[nodiscard]] virtual unsigned Status() const = 0;
  [[nodiscard]] virtual const HttpHeaders& Headers() const = 0;
  /// @return the next bytes of the body (valid until the next call); empty at
  /// its complete end. @throws HttpCallError when it was cut off.
  virtual boost::asio::awaitable<std::string_view> ReadSome() = 0;
  /// @brief Closes the connection now; a pending ReadSome() throws.
  virtual void Cancel() = 0;
};

/// @brief Reads a whole body.
/// @param aMemory bounds what is held of it meanwhile; may be null.
/// @throws HttpCallError when it was cut off, is longer than `aLimit` bytes, or
/// there is no memory for it.
boost::asio::awaitable<std::string>
ReadBody(HttpStream& aStream,
         std::size_t aLimit,
         std::shared_ptr<core::MemoryBudget> aMemory);

/// @brief A client with kept-alive connections, on one io_context.
/// Pooled connections that turn out closed before any byte of the reply are
/// replaced by a new one only when nothing was written on them.
class HttpClient
{
public:
  static std::unique_ptr<HttpClient> Create(boost::asio::io_context& aContext);
  virtual ~HttpClient() = default;

  /// @brief Makes a call and reads the whole reply. @throws HttpCallError.
  virtual boost::asio::awaitable<HttpResponse> Fetch(HttpCall aCall) = 0;
  /// @brief Makes a call; the body is read through the stream.
  /// @throws HttpCallError.
  virtual boost::asio::awaitable<std::unique_ptr<HttpStream>> Open(
    HttpCall aCall) = 0;
};

} // namespace jujubehead::net

#endif // JUJUBEHEAD_NET_HTTP_CLIENT_HPP
