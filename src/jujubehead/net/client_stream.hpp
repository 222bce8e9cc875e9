#ifndef JUJUBEHEAD_NET_CLIENT_STREAM_HPP
#define JUJUBEHEAD_NET_CLIENT_STREAM_HPP

#include <array>    // for array
#include <memory>   // for shared_ptr
#include <optional> // for optional

#include <boost/beast/http/buffer_body.hpp> // for buffer_body
#include <boost/beast/http/parser.hpp>      // for response_parser

#include "client_connection.hpp" // for ClientConnection, ClientPool

#include "jujubehead/net/http_client.hpp" // for HttpStream, HttpCall

namespace jujubehead::net {

/// @brief A reply that is read from a connection of the client.
class ClientStream final : public HttpStream
{
public:
  /// @param aCall what was sent; its body is no longer needed.
  ClientStream(std::shared_ptr<ClientPool> aPool,
               std::shared_ptr<ClientConnection> aConnection,
               HttpCall aCall);
  ClientStream(const ClientStream&) = delete;
  ClientStream& operator=(const ClientStream&) = delete;
  ClientStream(ClientStream&&) = delete;
  ClientStream& operator=(ClientStream&&) = delete;
  ~ClientStream() override;

  /// @brief Reads status and headers. @throws HttpCallError.
  boost::asio::awaitable<void> ReadHead();

  [[nodiscard]] unsigned Status() const override;
  [[nodiscard]] const HttpHeaders& Headers() const override;
  boost::asio::awaitable<std::string_view> ReadSome() override;
  void Cancel() override;

private:
  using Parser =
    boost::beast::http::response_parser<boost::beast::http::buffer_body>;
  static constexpr std::size_t kBufferBytes = 2048;

  void ResetParser();
  boost::asio::awaitable<void> Fill();
  /// @return whether an end of the connection completes the body.
  boost::asio::awaitable<bool> EndsInOrder(ClientConnection& aConnection);
  void Parse();
  void Release();
  [[noreturn]] void Fail(const std::string& aWhy);

  std::shared_ptr<ClientPool> m_pool;
  std::shared_ptr<ClientConnection> m_connection;
  HttpCall m_call;
  std::optional<Parser> m_parser;
  HttpHeaders m_headers;
  unsigned m_status = 0;
  std::array<char, kBufferBytes> m_body;
};

} // namespace jujubehead::net

#endif // JUJUBEHEAD_NET_CLIENT_STREAM_HPP
