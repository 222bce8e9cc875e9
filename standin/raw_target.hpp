#ifndef JUJUBEHEAD_STANDIN_RAW_TARGET_HPP
#define JUJUBEHEAD_STANDIN_RAW_TARGET_HPP

#include <atomic>  // for atomic
#include <chrono>  // for milliseconds
#include <cstddef> // for size_t
#include <string>  // for string
#include <thread>  // for thread

#include <boost/asio/awaitable.hpp>  // for awaitable
#include <boost/asio/io_context.hpp> // for io_context
#include <boost/asio/ip/tcp.hpp>     // for tcp

namespace jujubehead::standin {

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
};

/// @brief A target that replies with any bytes, valid or not, and then closes
/// the connection in order. It has a thread of its own. For tests.
class RawTarget
{
public:
  explicit RawTarget(RawReply aReply);
  ~RawTarget();
  RawTarget(const RawTarget&) = delete;
  RawTarget& operator=(const RawTarget&) = delete;
  RawTarget(RawTarget&&) = delete;
  RawTarget& operator=(RawTarget&&) = delete;

  [[nodiscard]] std::string Authority() const; ///< `address:port`.
  /// @return bytes sent to all connections.
  [[nodiscard]] std::size_t SentBytes() const { return m_sent_bytes; }

private:
  boost::asio::awaitable<void> Accept();
  boost::asio::awaitable<void> Serve(boost::asio::ip::tcp::socket aSocket);
  /// @return whether all bytes were sent.
  boost::asio::awaitable<bool> Write(boost::asio::ip::tcp::socket& aSocket,
                                     const std::string& aBytes);

  RawReply m_reply;
  boost::asio::io_context m_context{ 1 };
  boost::asio::ip::tcp::acceptor m_acceptor;
  std::atomic<std::size_t> m_sent_bytes = 0;
  std::size_t m_replies = 0;
  std::thread m_thread;
};

} // namespace jujubehead::standin

#endif // JUJUBEHEAD_STANDIN_RAW_TARGET_HPP
