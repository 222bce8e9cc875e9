#ifndef JUJUBEHEAD_NET_HTTP1_OUTBOUND_CONNECTION_HPP
#define JUJUBEHEAD_NET_HTTP1_OUTBOUND_CONNECTION_HPP

#include <cstdint> // for uint8_t
#include <memory>  // for shared_ptr
#include <string>  // for string

#include <boost/asio/awaitable.hpp>    // for awaitable
#include <boost/asio/ip/tcp.hpp>       // for tcp
#include <boost/system/error_code.hpp> // for error_code

#include "jujubehead/core/runtime_clock.hpp"     // for Duration, Instant
#include "jujubehead/net/http1/relay_frames.hpp" // for RelayFrameReader

namespace jujubehead::net {

/// @brief Time limits of a connection to a target.
struct OutboundOptions
{
  /// A hand-shake takes a few round trips at most; a target that is silent for
  /// longer is down or cut off.
  core::Duration connect_timeout = std::chrono::milliseconds(400);
  /// Bytes that stay unacknowledged for so long end the connection: several
  /// resends of a lost packet, and short against any caller's patience.
  core::Duration unacknowledged_timeout = std::chrono::milliseconds(1500);
};

/// @brief Sets the options of a connected socket by which the other side's
/// silence ends the connection.
/// @param aUnacknowledged as in OutboundOptions.
void
DetectSilence(boost::asio::ip::tcp::socket& aSocket,
              core::Duration aUnacknowledged);

/// @brief Whether another process relays what a connection receives.
enum class RelayMode : std::uint8_t
{
  kNone,
  kFramed, ///< As relay frames, so that the end is explicit.
  kRaw,    ///< As it is: no end of the connection proves an orderly one.
};

/// @brief A connection to a target for one exchange after the other, on one
/// thread.
class OutboundConnection
  : public std::enable_shared_from_this<OutboundConnection>
{
public:
  static std::shared_ptr<OutboundConnection> Create(
    const boost::asio::any_io_executor& aExecutor,
    const OutboundOptions& aOptions);

  /// @return the error, `timed_out` after the time limit; none when it is
  /// connected.
  boost::asio::awaitable<boost::system::error_code> Connect(
    boost::asio::ip::tcp::endpoint aEndpoint);
  /// @brief Begins to send a message; does not wait. Its failure shows when
  /// reading.
  /// @param aBody sent after it; kept until it is written. May be null.
  void Send(std::string aMessage,
            std::shared_ptr<const std::string> aBody = nullptr);
  /// @brief Waits for bytes and appends them to Input().
  /// @return the error; `eof` when the target ended in order and has got all
  /// that was sent.
  boost::asio::awaitable<boost::system::error_code> Read();
  /// @brief From now on the bytes are relayed, those that were received already
  /// included.
  void SetRelayMode(RelayMode aMode);
  /// @brief Gives the socket up, to relay its bytes as they are.
  [[nodiscard]] boost::asio::ip::tcp::socket Release();
  /// @brief Closes it; a pending Connect() or Read() ends with an error.
  void Close();

  [[nodiscard]] std::string& Input() { return m_input; }
  /// @brief Frees the room of an empty Input(), for a connection at rest.
  void ShrinkInput();
  /// @return whether all that was sent is written.
  [[nodiscard]] bool IsSent() const { return m_is_sent; }
  /// @return whether nothing came, and no end, while nothing was asked.
  [[nodiscard]] bool IsAtRest();

  core::Instant resting_since{};
  bool was_used = false; ///< For an exchange before the present one.

private:
  OutboundConnection(const boost::asio::any_io_executor& aExecutor,
                     const OutboundOptions& aOptions);
  /// @return `eof`, or `connection_reset` if the end is no orderly one.
  boost::asio::awaitable<boost::system::error_code> EndOfInput();
  /// @return `would_block` if nothing was added to Input().
  boost::system::error_code ReadAvailable();

  OutboundOptions m_options;
  boost::asio::ip::tcp::socket m_socket;
  std::string m_input;
  std::string m_unsent;
  std::shared_ptr<const std::string> m_unsent_body;
  bool m_is_sent = true;
  RelayMode m_relay_mode = RelayMode::kNone;
  RelayFrameReader m_frames; ///< Only with RelayMode::kFramed.
};

} // namespace jujubehead::net

#endif // JUJUBEHEAD_NET_HTTP1_OUTBOUND_CONNECTION_HPP
