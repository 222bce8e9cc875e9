#ifndef JUJUBEHEAD_NODE_FORWARD_CALLER_SESSION_HPP
#define JUJUBEHEAD_NODE_FORWARD_CALLER_SESSION_HPP

#include <functional> // for function
#include <memory>     // for shared_ptr, enable_shared_from_this
#include <string>     // for string

#include <boost/asio/awaitable.hpp> // for awaitable
#include <boost/asio/ip/tcp.hpp>    // for tcp

#include "jujubehead/core/routing/configuration.hpp" // for CallerLimits
#include "jujubehead/core/runtime_clock.hpp"         // for Instant
#include "jujubehead/net/http1/message_parser.hpp"   // for MessageParser

namespace jujubehead::node {

/// @brief One request as a caller sent it.
struct CallerRequest
{
  net::MessageHead head;
  std::string body;
  bool had_body = false; ///< A length or chunks were given.
  core::Instant begun{}; ///< When its first byte was read.
};

/// @brief An answer with its whole body.
struct WholeAnswer
{
  unsigned status = 200;
  std::string reason;
  net::HttpHeaders headers; ///< Without those of the connection and length.
  std::string body;
};

class CallerSession;

/// @brief Who answers the requests of sessions.
class RequestHandler
{
public:
  virtual ~RequestHandler() = default;
  /// @brief Answers one request by the session's Answer() or its stream calls.
  virtual boost::asio::awaitable<void> Handle(
    std::shared_ptr<CallerSession> aSession) = 0;
  [[nodiscard]] virtual core::CallerLimits Limits() const = 0;
  /// @return whether connections are to end after the present answer.
  [[nodiscard]] virtual bool IsStopping() const = 0;
  virtual void OnSessionBegin(CallerSession& aSession) = 0;
  virtual void OnSessionEnd(CallerSession& aSession) = 0;
  /// @brief A message could not be read; its caller was told so.
  virtual void OnUnreadable(const std::string& aWhy, unsigned aStatus) = 0;
};

/// @brief One connection of a caller: reads requests, writes answers, and
/// notices while an answer is under way that the caller has left.
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

  /// @brief Called once when the caller leaves before its answer is complete;
  /// an empty function removes it.
  void OnGone(std::function<void()> aCallback);
  [[nodiscard]] bool IsGone() const { return m_gone; }

  /// @brief Gives the whole answer at once.
  /// @return whether the caller's socket took it.
  boost::asio::awaitable<bool> Answer(WholeAnswer aAnswer);
  /// @brief Begins an answer whose body comes in pieces; written with the
  /// first piece.
  void BeginStream(unsigned aStatus,
                   std::string_view aReason,
                   const net::HttpHeaders& aHeaders);
  boost::asio::awaitable<bool> WritePiece(std::string_view aBytes);
  boost::asio::awaitable<bool> EndStream();
  [[nodiscard]] bool HasStreamBegun() const { return m_stream_begun; }
  /// @brief Ends the connection unless a request is under way or just comes.
  void CloseIfIdle();
  /// @brief Ends the connection so that an answer under way does not look
  /// complete.
  void Abort();
  /// @brief Ends the connection and the request under way.
  void Abandon();

private:
  CallerSession(boost::asio::ip::tcp::socket aSocket, RequestHandler& aHandler);

  boost::asio::awaitable<void> Run();
  boost::asio::awaitable<bool> ReadRequest();
  boost::asio::awaitable<bool> ReadMore(core::Duration aTimeout);
  boost::asio::awaitable<bool> AllowBody(const net::MessageParser& aParser);
  boost::asio::awaitable<bool> Write(std::string aBytes);
  boost::asio::awaitable<void> Reject(unsigned aStatus, std::string aWhy);
  boost::asio::awaitable<void> LetCallerRead();
  void WatchCaller();
  void OnReadable();
  void TellGone();
  [[nodiscard]] std::string HeadOf(unsigned aStatus,
                                   std::string_view aReason,
                                   const net::HttpHeaders& aHeaders);

  boost::asio::ip::tcp::socket m_socket;
  RequestHandler& m_handler;
  std::string m_input;
  CallerRequest m_request;
  std::function<void()> m_on_gone;
  std::string m_unwritten; ///< Head of a stream before its first piece.
  bool m_keep = true;
  bool m_gone = false;
  bool m_answering = false;
  bool m_watching = false;
  bool m_stream_begun = false;
  bool m_writes_chunks = false;
};

} // namespace jujubehead::node

#endif // JUJUBEHEAD_NODE_FORWARD_CALLER_SESSION_HPP
