#ifndef JUJUBEHEAD_NET_BYTE_STREAM_HPP
#define JUJUBEHEAD_NET_BYTE_STREAM_HPP

#include <cstddef> // for size_t
#include <memory>  // for shared_ptr, unique_ptr
#include <utility> // for forward, move
#include <variant> // for variant, visit

#include <boost/asio/async_result.hpp> // for async_initiate
#include <boost/asio/ip/tcp.hpp>       // for tcp
#include <boost/asio/ssl/stream.hpp>   // for ssl::stream

namespace jujubehead::net {

// NOLINTBEGIN(readability-identifier-naming): Asio looks for these names.

/// @brief A connection's bytes, plain or through TLS; an Asio stream.
class ByteStream
{
public:
  using Plain = boost::asio::ip::tcp::socket;
  using Secure = boost::asio::ssl::stream<Plain>;
  using executor_type = Plain::executor_type;

  explicit ByteStream(Plain aSocket)
    : m_stream(std::move(aSocket))
  {
  }
  /// @param aContext is kept as long as the stream.
  ByteStream(Plain aSocket, std::shared_ptr<boost::asio::ssl::context> aContext)
    : m_context(std::move(aContext))
    , m_stream(std::make_unique<Secure>(std::move(aSocket), *m_context))
  {
  }

  [[nodiscard]] Plain& Socket()
  {
    auto* const secure = std::get_if<std::unique_ptr<Secure>>(&m_stream);
    return secure ? (*secure)->next_layer() : std::get<Plain>(m_stream);
  }
  /// @return the TLS stream, or null on a plain connection.
  [[nodiscard]] Secure* Tls()
  {
    auto* const secure = std::get_if<std::unique_ptr<Secure>>(&m_stream);
    return secure ? secure->get() : nullptr;
  }
  [[nodiscard]] executor_type get_executor() { return Socket().get_executor(); }

  template<typename Buffers, typename Token>
  auto async_read_some(const Buffers& aBuffers, Token&& aToken)
  {
    return boost::asio::async_initiate<Token, Signature>(
      [this](auto aHandler, const Buffers& aTo) {
        if (Secure* const secure = Tls()) {
          secure->async_read_some(aTo, std::move(aHandler));
        } else {
          Socket().async_read_some(aTo, std::move(aHandler));
        }
      },
      aToken,
      aBuffers);
  }

  template<typename Buffers, typename Token>
  auto async_write_some(const Buffers& aBuffers, Token&& aToken)
  {
    return boost::asio::async_initiate<Token, Signature>(
      [this](auto aHandler, const Buffers& aFrom) {
        if (Secure* const secure = Tls()) {
          secure->async_write_some(aFrom, std::move(aHandler));
        } else {
          Socket().async_write_some(aFrom, std::move(aHandler));
        }
      },
      aToken,
      aBuffers);
  }

private:
  using Signature = void(boost::system::error_code, std::size_t);

  std::shared_ptr<boost::asio::ssl::context> m_context;
  std::variant<Plain, std::unique_ptr<Secure>> m_stream;
};

// NOLINTEND(readability-identifier-naming)

} // namespace jujubehead::net

#endif // JUJUBEHEAD_NET_BYTE_STREAM_HPP
