#ifndef JUJUBEHEAD_NET_WEBSOCKET_ENDPOINT_HPP
#define JUJUBEHEAD_NET_WEBSOCKET_ENDPOINT_HPP

// This header is compiled as C++17 on one side and as C++20 on the other: the
// websocket library does not compile as C++20. It holds nothing newer.

#include <chrono>     // for milliseconds
#include <cstddef>    // for size_t
#include <cstdint>    // for uint8_t, uint16_t, uint64_t
#include <functional> // for function
#include <memory>     // for shared_ptr, unique_ptr
#include <string>     // for string

#include <boost/asio/io_context.hpp>  // for io_context
#include <boost/asio/ssl/context.hpp> // for ssl::context

namespace jujubehead::net {

/// @brief Names one websocket connection of an endpoint; 0 names none.
using WebsocketId = std::uint64_t;

struct WebsocketSettings
{
  std::string address;
  std::uint16_t port = 0;
  std::size_t message_limit = 0; ///< Bytes; a longer one ends the connection.
  std::chrono::milliseconds connect_timeout{ 0 };
  /// Gives the TLS context of each new connection; empty: plain.
  std::function<std::shared_ptr<boost::asio::ssl::context>()> tls;
};

/// @brief What an endpoint reports, on the thread of its io_context.
struct WebsocketEvents
{
  std::function<void(WebsocketId, bool aDialled)> on_open;
  std::function<void(WebsocketId, const std::uint8_t*, std::size_t)> on_message;
  /// Also for a dial that failed. The id is not used again.
  std::function<void(WebsocketId)> on_close;
};

/// @brief Listens for and dials websocket connections; binary messages.
class WebsocketEndpoint
{
public:
  /// @throws std::runtime_error when the address cannot be bound.
  static std::unique_ptr<WebsocketEndpoint> Create(
    boost::asio::io_context& aContext,
    const WebsocketSettings& aSettings,
    WebsocketEvents aEvents);
  virtual ~WebsocketEndpoint() = default;

  [[nodiscard]] virtual std::uint16_t Port() const = 0;
  /// @return the connection that is being made; 0 when the text names no
  /// `address:port`.
  virtual WebsocketId Dial(const std::string& aAuthority) = 0;
  /// @return whether the connection took the message.
  virtual bool Send(WebsocketId aId,
                    const std::uint8_t* aBytes,
                    std::size_t aSize) = 0;
  /// @return bytes that wait to be written.
  [[nodiscard]] virtual std::size_t Waiting(WebsocketId aId) const = 0;
  /// @brief Closes one connection; on_close follows.
  virtual void CloseOne(WebsocketId aId) = 0;
  /// @brief Closes all and stops listening; no event follows.
  virtual void Close() = 0;
};

} // namespace jujubehead::net

#endif // JUJUBEHEAD_NET_WEBSOCKET_ENDPOINT_HPP
