#ifndef JUJUBEHEAD_NET_RAW_CALLER_HPP
#define JUJUBEHEAD_NET_RAW_CALLER_HPP

#include <sys/socket.h> // for getsockopt

#include <array>       // for array
#include <cstdint>     // for uint16_t
#include <string>      // for string
#include <string_view> // for string_view

#include <boost/asio/as_tuple.hpp>      // for as_tuple
#include <boost/asio/awaitable.hpp>     // for awaitable
#include <boost/asio/ip/tcp.hpp>        // for tcp
#include <boost/asio/use_awaitable.hpp> // for use_awaitable
#include <boost/asio/write.hpp>         // for async_write

namespace jujubehead::net::test {

/// @brief A caller that sends any bytes, for tests.
class RawCaller
{
public:
  RawCaller(boost::asio::io_context& aContext, std::uint16_t aPort)
    : m_socket(aContext)
  {
    namespace ip = boost::asio::ip;
    m_socket.connect({ ip::address_v4::loopback(), aPort });
  }

  boost::asio::awaitable<void> Write(std::string_view aText)
  {
    co_await boost::asio::async_write(
      m_socket,
      boost::asio::buffer(aText),
      boost::asio::as_tuple(boost::asio::use_awaitable));
  }

  /// @return what came, up to a text or to the end of the connection.
  boost::asio::awaitable<std::string> ReadTo(std::string_view aText)
  {
    std::string all;
    std::array<char, 4096> part{};
    while (aText.empty() || all.find(aText) == std::string::npos) {
      const auto [error, bytes] = co_await m_socket.async_read_some(
        boost::asio::buffer(part),
        boost::asio::as_tuple(boost::asio::use_awaitable));
      all.append(part.data(), bytes);
      if (error) {
        m_end = error;
        break;
      }
    }
    co_return all;
  }

  boost::asio::awaitable<std::string> ReadAll() { return ReadTo({}); }
  /// @return how the connection ended; no error if it has not.
  [[nodiscard]] boost::system::error_code End() const { return m_end; }
  /// @return whether the other side has reset the connection, also after an
  /// orderly end.
  [[nodiscard]] bool WasReset()
  {
    int error = 0;
    socklen_t size = sizeof(error);
    ::getsockopt(m_socket.native_handle(), SOL_SOCKET, SO_ERROR, &error, &size);
    return error != 0;
  }
  void Close() { m_socket.close(); }

private:
  boost::asio::ip::tcp::socket m_socket;
  boost::system::error_code m_end;
};

} // namespace jujubehead::net::test

#endif // JUJUBEHEAD_NET_RAW_CALLER_HPP
