#ifndef JUJUBEHEAD_NODE_FORWARD_CALLER_SESSION_HPP
#define JUJUBEHEAD_NODE_FORWARD_CALLER_SESSION_HPP

#include <functional> // for function
#include <memory>     // for shared_ptr, enable_shared_from_this
#include <optional>   // for optional
#include <string>     // for string

#include <boost/asio/awaitable.hpp> // for awaitable
#include <boost/asio/ip/tcp.hpp>    // for tcp

#include "jujubehead/core/overload/connection_choice.hpp" // for ConnectionState
#include "jujubehead/core/overload/memory_budget.hpp"     // for MemoryBudget
#include "jujubehead/core/routing/configuration.hpp"      // for CallerLimits
#include "jujubehead/core/runtime_clock.hpp"              // for Instant
#include "jujubehead/net/http1/message_parser.hpp"        // for MessageParser

#include "caller_connections.hpp" // for CallerConnections

namespace jujubehead::node {

/// What the kernel keeps of a caller's bytes until they are read.
inline constexpr std::size_t kReceiveBufferBytes = 64UL * 1024;

/// @brief A request as received from a caller.
struct CallerRequest
{
  net::MessageHead head;
  /// Shared with the sends to targets, which may outlive the request.
  std::shared_ptr<const std::string> body = std::make_shared<std::string>();
  bool has_body = false;       ///< A length or chunked encoding was given.
  core::Instant received_at{}; ///< When its first byte was read.
};

/// @brief A response with its complete body.
struct FullResponse
{
  unsigned status = 200;
  std::string reason;
  net::HttpHeaders headers; ///< Without connection and length lines.
  std::string body;
};

class CallerSession;

/// @brief Handles the requests of sessions.
class RequestHandler
{
public:
  virtual ~RequestHandler() = default;
  /// @brief Responds to one request with the session's Answer() or stream
  /// calls.
  virtual boost::asio::awaitable<void> Handle(
    std::shared_ptr<CallerSession> aSession) = 0;
  [[nodiscard]] virtual core::CallerLimits Limits() const = 0;
  /// @return whether connections should close after the current response.
  [[nodiscard]] virtual bool IsStopping() = 0;
  /// @brief Bounds what the thread's connections hold together.
  [[nodiscard]] virtual std::shared_ptr<core::MemoryBudget> Memory() = 0;
  virtual CallerConnections& Connections() = 0;
  /// @brief Called when there is no memory for a request, which has not run.
  /// @param aHead of the request, as far as it was read.
  /// @param aBytes that it would hold.
  /// @return the response to it.
  virtual FullResponse OnOverload(const net::MessageHead& aHead,
                                  std::size_t aBytes) = 0;
  /// @brief Called when a request is incomplete as the instance ends. It has
  /// not run.
  /// @param aHead of the request, as far as it was read.
  /// @return the response to it.
  virtual FullResponse OnShutdown(const net::MessageHead& aHead) = 0;
  /// @brief Called when a request is rejected as malformed or late.
  virtual void OnRejected(const std::string& aDetail, unsigned aStatus) = 0;
};

/// @brief One connection of a caller: reads requests, writes responses, and
/// detects when the caller disconnects during a request.
class CallerSession : public std::enable_shared_from_this<CallerSession>
{
public:
  /// @brief Serves a connection until it ends.
  static void Start(boost::asio::ip::tcp::socket aSocket,
                    RequestHandler& aHandler);

  ~CallerSession();
  CallerSession(const CallerSession&) = delete;
  CallerSession& operator=(const CallerSession&) = delete;
  CallerSession(CallerSession&&) = delete;
  CallerSession& operator=(CallerSession&&) = delete;

  [[nodiscard]] const CallerRequest& Request() const { return m_request; }
  [[nodiscard]] boost::asio::any_io_executor Executor();

  /// @brief Sets a function that is called once if the caller disconnects
  /// before its response is complete; an empty function removes it.
  void OnDisconnect(std::function<void()> aCallback);
  [[nodiscard]] bool IsDisconnected() const { return m_disconnected; }

  /// @brief Sends a complete response.
  /// @param aHeld of its body; null: none.
  /// @return whether it was written to the socket.
  boost::asio::awaitable<bool> SendResponse(
    FullResponse aResponse,
    core::MemoryBudget::Reservation* aHeld = nullptr);
  /// @brief Begins a streamed response; its header is written with the first
  /// piece of the body.
  void BeginStream(unsigned aStatus,
                   std::string_view aReason,
                   const net::HttpHeaders& aHeaders);
  boost::asio::awaitable<bool> WriteChunk(std::string_view aBytes);
  boost::asio::awaitable<bool> EndStream();
  [[nodiscard]] bool HasStreamBegun() const { return m_stream_begun; }
  /// @brief Closes the connection unless a request is being read or handled.
  /// @param aMinIdle a connection with a more recent request, or a new one, is
  /// left open.
  void CloseIfIdle(core::Duration aMinIdle = core::Duration(0));
  /// @brief The instance ends: rejects a request that is incomplete.
  void RejectIncomplete();
  [[nodiscard]] core::ConnectionState State() const;
  /// @brief Closes an idle connection, and rejects a request that makes no
  /// progress, so that another connection may be served.
  void Yield();
  /// @brief Resets the connection, so that a partial response does not look
  /// complete.
  void Abort();
  /// @brief Resets the connection and cancels its request.
  void Cancel();

private:
  CallerSession(boost::asio::ip::tcp::socket aSocket, RequestHandler& aHandler);

  boost::asio::awaitable<void> Run();
  // Reading of requests, in caller_reading.cpp.
  boost::asio::awaitable<bool> ReadRequest();
  boost::asio::awaitable<bool> ReadMore(core::Instant aUntil);
  /// @brief Parses what was received. @return the rejection, if it is faulty or
  /// there is no memory for it.
  std::optional<FullResponse> Parse(net::MessageParser& aParser);
  /// @brief Reserves memory for the body to come.
  /// @return whether there is room.
  bool ReserveBody(const net::MessageParser& aParser);
  bool Resize(std::size_t aBytes);
  /// @brief Makes a complete request the one that is handled.
  /// @return whether there is memory to handle it.
  bool TakeRequest(const net::MessageParser& aParser);
  [[nodiscard]] core::Instant ReadDeadline(
    const net::MessageParser& aParser,
    const core::CallerLimits& aLimits) const;
  [[nodiscard]] std::size_t HandledBytes() const;
  /// @brief Frees what an incomplete request holds, and rejects it.
  void OnRevoked();
  boost::asio::awaitable<bool> AllowBody(const net::MessageParser& aParser);
  FullResponse MakeRejection(unsigned aStatus, std::string aDetail);
  boost::asio::awaitable<void> Reject(FullResponse aResponse);
  boost::asio::awaitable<void> Linger();
  /// @brief Ends the connection in order.
  boost::asio::awaitable<void> Close();
  /// @return whether the caller has sent more than was read.
  [[nodiscard]] bool HasUnreadInput() const;

  boost::asio::awaitable<bool> Write(
    std::string aBytes,
    const std::string& aBody = {},
    core::MemoryBudget::Reservation* aHeld = nullptr);
  void WatchForDisconnect();
  void OnReadable();
  void NotifyDisconnect();
  [[nodiscard]] std::string FormatHead(unsigned aStatus,
                                       std::string_view aReason,
                                       const net::HttpHeaders& aHeaders);

  boost::asio::ip::tcp::socket m_socket;
  RequestHandler& m_handler;
  std::string m_input;
  std::size_t m_new_bytes = 0;     ///< Received since the last Parse().
  std::size_t m_burst = 0;         ///< Bytes received without a pause.
  std::string m_body;              ///< Of an incomplete request.
  std::size_t m_revoked_bytes = 0; ///< Of it, when its memory was revoked.
  core::Instant m_head_at{};       ///< When its header was complete.
  /// From a request's first byte to its response.
  std::optional<core::MemoryBudget::Reservation> m_held;
  CallerRequest m_request;
  core::Instant m_idle_since = core::RuntimeClock::now();
  std::function<void()> m_on_disconnect;
  std::string m_pending_head; ///< Header of a stream, until its first piece.
  bool m_keep_alive = true;
  bool m_disconnected = false;
  bool m_has_sent_request = false;
  bool m_is_closing = false;
  bool m_is_shut_down = false; ///< Reads no more of an incomplete request.
  bool m_is_handling = false;
  bool m_is_watching = false;
  bool m_stream_begun = false;
  bool m_is_chunked = false;
};

} // namespace jujubehead::node

#endif // JUJUBEHEAD_NODE_FORWARD_CALLER_SESSION_HPP
