#ifndef JUJUBEHEAD_NET_HTTP_CONNECTION_HPP
#define JUJUBEHEAD_NET_HTTP_CONNECTION_HPP

#include <cstddef>    // for size_t
#include <functional> // for function
#include <memory>     // for shared_ptr
#include <optional>   // for optional

#include <boost/beast/core/flat_buffer.hpp> // for flat_buffer
#include <boost/beast/http/parser.hpp>      // for request_parser
#include <boost/beast/http/string_body.hpp> // for string_body

#include "byte_stream.hpp"             // for ByteStream
#include "jujubehead/net/deadline.hpp" // for Deadline

#include "jujubehead/core/overload/connection_choice.hpp" // for ConnectionState
#include "jujubehead/net/api_error.hpp"                   // for ApiError
#include "jujubehead/net/http_server.hpp"                 // for HttpExchange
#include "jujubehead/net/timer.hpp"                       // for Timer

namespace jujubehead::net {

/// @brief What the connections of one server share.
struct HttpServerShared
{
  HttpServerOptions options;
  HttpHandler handler;
  bool stopping = false;
};

/// @brief One connection of a caller: reads requests one after the other and
/// gives each to the handler. Runs on one thread.
class HttpConnection final
  : public HttpExchange
  , public std::enable_shared_from_this<HttpConnection>
{
public:
  HttpConnection(ByteStream aStream, std::shared_ptr<HttpServerShared> aShared);

  /// @brief Serves until the connection ends; never throws.
  boost::asio::awaitable<void> Run();
  /// @brief Closes at once; a running handler's writes throw.
  void Close() override;
  /// @brief Ends soon if no request is being served.
  void Drain();

  [[nodiscard]] const HttpRequest& Request() const override;
  std::string TakeBody() override;
  boost::asio::awaitable<void> Send(HttpResponse aResponse) override;
  boost::asio::awaitable<void> StartStream(unsigned aStatus,
                                           HttpHeaders aHeaders) override;
  boost::asio::awaitable<void> WriteChunk(std::string_view aBytes) override;
  boost::asio::awaitable<void> EndStream() override;
  [[nodiscard]] bool HasStarted() const override;
  void OnCallerGone(std::function<void()> aCallback) override;
  bool Reserve(std::size_t aBytes) override;

  [[nodiscard]] core::ConnectionState State() const;
  /// @brief Closes an idle connection, and rejects a request that makes no
  /// progress, so that another connection may be served.
  void Yield();

private:
  using Parser =
    boost::beast::http::request_parser<boost::beast::http::string_body>;
  using Error = boost::system::error_code;

  /// What the one deadline stands for now.
  enum class Phase
  {
    kIdle,     ///< Between requests.
    kReading,  ///< A request has begun to come in.
    kHandling, ///< The handler runs; deadlines are those of writes.
  };

  boost::asio::awaitable<void> ShakeHands();
  boost::asio::awaitable<bool> ServeOne();
  boost::asio::awaitable<std::optional<ApiError>> ReadRequest();
  boost::asio::awaitable<Error> ParseMore(Parser& aParser, bool& aNeedsBytes);
  /// @brief Reserves memory for a request that is being received.
  /// @return whether there is room.
  bool ReserveReceived(const Parser& aParser);
  void OnRevoked();
  boost::asio::awaitable<Error> Fill();
  boost::asio::awaitable<void> BeginBody(Parser& aParser);
  boost::asio::awaitable<void> Handle();
  boost::asio::awaitable<void> Refuse(ApiError aRefusal);
  boost::asio::awaitable<void> DiscardInput();
  /// @brief Writes m_out whole, and empties it.
  /// @param aBody written after it.
  boost::asio::awaitable<void> WriteOut(const std::string& aBody = {});
  /// @brief Holds memory for a reply in place of its request.
  void HoldReply(std::size_t aBytes);
  void BeginHead(unsigned aStatus, const HttpHeaders& aHeaders);
  void TakeRequest(Parser& aParser);
  void Watch();
  void OnWatched(const Error& aError, std::size_t aBytes);
  void OnDeadline();
  void FinishReply();

  ByteStream m_stream;
  std::shared_ptr<HttpServerShared> m_shared;
  boost::beast::flat_buffer m_buffer;
  Deadline m_deadline;
  Timer m_watch_done; ///< Cancelled when the pending read of Watch() ends.
  Error m_watch_error;
  /// From a request's first byte to the end of its reply.
  std::optional<core::MemoryBudget::Reservation> m_held;
  core::Instant m_idle_since = core::RuntimeClock::now();
  std::uint64_t m_body_bytes = 0; ///< Received of a body, with its framing.
  std::size_t m_header_lines = 0; ///< Of the request that is received.
  bool m_has_sent_request = false;
  HttpRequest m_request;
  std::string m_out; ///< What is being written.
  std::function<void()> m_on_caller_gone;
  Phase m_phase = Phase::kIdle;
  bool m_watching = false;
  bool m_timed_out = false;
  bool m_closed = false;
  bool m_caller_gone = false;
  bool m_keep_alive = false;
  bool m_http_1_0 = false;
  bool m_started = false;
  bool m_complete = false;
};

} // namespace jujubehead::net

#endif // JUJUBEHEAD_NET_HTTP_CONNECTION_HPP
