#ifndef JUJUBEHEAD_STANDIN_RAW_TARGET_HPP
#define JUJUBEHEAD_STANDIN_RAW_TARGET_HPP

#include <atomic>   // for atomic
#include <chrono>   // for milliseconds
#include <cstddef>  // for size_t
#include <cstdint>  // for uint8_t
#include <optional> // for optional
#include <string>   // for string
#include <thread>   // for thread

#include <boost/asio/awaitable.hpp>  // for awaitable
#include <boost/asio/io_context.hpp> // for io_context
#include <boost/asio/ip/tcp.hpp>     // for tcp

namespace jujubehead::standin {

/// @brief How a RawTarget ends a connection after its reply.
enum class RawEnd : std::uint8_t
{
  kClosed,     ///< In order, unless there are bytes that it has not read.
  kReset,      ///< By a reset.
  kOpen,       ///< It reads on until its caller ends.
  kHalfClosed, ///< In order, and reads on.
  kHalfClosedThenReset,
};

/// @brief What a RawTarget sends in response to each request.
struct RawReply
{
  /// Status line and headers; that of the request id is added to them.
  std::string head;
  /// The nth reply ends after n times as many bytes of its head; 0: none does.
  std::size_t cut_step = 0;
  std::string piece;      ///< Sent again and again after the head.
  std::size_t pieces = 0; ///< How often.
  std::chrono::milliseconds interval{ 0 }; ///< Between two pieces.
  /// It replies once a part of the request's body has come, and leaves that
  /// unread.
  bool is_early = false;
  RawEnd end = RawEnd::kClosed;
  std::chrono::milliseconds before_reset{ 0 }; ///< With kHalfClosedThenReset.
};

/// @brief A target that replies with any bytes, valid or not, and then ends the
/// connection. It has a thread of its own. For tests.
class RawTarget
{
public:
  explicit RawTarget(RawReply aReply);
  ~RawTarget();
  RawTarget(const RawTarget&) = delete;
  RawTarget& operator=(const RawTarget&) = delete;
  RawTarget(RawTarget&&) = delete;
  RawTarget& operator=(RawTarget&&) = delete;

  /// @brief Sends another reply from now on.
  void SetReply(RawReply aReply);

  [[nodiscard]] std::string Authority() const; ///< `address:port`.
  /// @return how many replies it has begun.
  [[nodiscard]] std::size_t Replies() const { return m_replies; }
  /// @return bytes sent to all connections.
  [[nodiscard]] std::size_t SentBytes() const { return m_sent_bytes; }

private:
  boost::asio::awaitable<void> Accept();
  boost::asio::awaitable<void> Serve(boost::asio::ip::tcp::socket aSocket);
  /// @return the request's id; none if it has ended before.
  boost::asio::awaitable<std::optional<std::string>> ReadRequest(
    boost::asio::ip::tcp::socket& aSocket);
  boost::asio::awaitable<void> End(boost::asio::ip::tcp::socket& aSocket,
                                   const RawReply& aReply);
  /// @return whether all bytes were sent.
  boost::asio::awaitable<bool> Write(boost::asio::ip::tcp::socket& aSocket,
                                     const std::string& aBytes);

  RawReply m_reply;
  boost::asio::io_context m_context{ 1 };
  boost::asio::ip::tcp::acceptor m_acceptor;
  std::atomic<std::size_t> m_sent_bytes = 0;
  std::atomic<std::size_t> m_replies = 0;
  std::thread m_thread;
};

} // namespace jujubehead::standin

#endif // JUJUBEHEAD_STANDIN_RAW_TARGET_HPP
