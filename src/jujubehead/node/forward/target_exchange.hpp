#ifndef JUJUBEHEAD_NODE_FORWARD_TARGET_EXCHANGE_HPP
#define JUJUBEHEAD_NODE_FORWARD_TARGET_EXCHANGE_HPP

#include <cstdint>    // for uint8_t
#include <functional> // for function
#include <memory>     // for shared_ptr, unique_ptr
#include <string>     // for string

#include <boost/asio/awaitable.hpp> // for awaitable

#include "jujubehead/core/overload/memory_budget.hpp"   // for MemoryBudget
#include "jujubehead/net/http1/message_parser.hpp"      // for MessageParser
#include "jujubehead/net/http1/outbound_connection.hpp" // for OutboundConnection
#include "jujubehead/node/forward/header_codec.hpp"     // for HeaderCodec

#include "target_connector.hpp" // for TargetConnector
#include "target_fleet.hpp"     // for FleetTarget

namespace jujubehead::node {

struct ExchangeOptions
{
  std::string request_id;
  bool is_head_request = false; ///< The request method is HEAD.
  /// Longest idle time of a reused connection. If the target closes it while a
  /// request is sent, the request may or may not have run; use a short time for
  /// requests that must not run twice.
  core::Duration max_idle{};
  bool is_repeatable = false;
  std::uint64_t body_limit = 16UL * 1024 * 1024; ///< Reply body, in bytes.
};

/// @brief Result of reading more of a reply.
enum class ReadResult : std::uint8_t
{
  kMore,     ///< Data was read, and more is expected.
  kComplete, ///< The reply is complete.
  kBroken,   ///< Truncated, invalid, or not a reply to this request.
};

/// @brief One request to one target and its reply.
///
/// Late replies to earlier requests on a reused connection are recognized by
/// their request ids and skipped. A connection that received unexpected data is
/// not reused.
class TargetExchange
{
public:
  /// @param aHomes where the request's data may pass.
  /// @param aMemory bounds what is held of requests and replies together.
  TargetExchange(const boost::asio::any_io_executor& aExecutor,
                 const HeaderCodec& aHeaderCodec,
                 TargetConnector& aConnector,
                 std::shared_ptr<core::MemoryBudget> aMemory,
                 std::shared_ptr<FleetTarget> aTarget,
                 core::Homes aHomes,
                 ExchangeOptions aOptions);
  ~TargetExchange();
  TargetExchange(const TargetExchange&) = delete;
  TargetExchange& operator=(const TargetExchange&) = delete;
  TargetExchange(TargetExchange&&) = delete;
  TargetExchange& operator=(TargetExchange&&) = delete;

  /// @return whether a connection is open.
  boost::asio::awaitable<bool> Open();
  void Send(std::string aHeader, std::shared_ptr<const std::string> aBody);
  /// @brief Waits for the header of the reply to this request.
  /// @return kComplete if the body is complete too.
  boost::asio::awaitable<ReadResult> ReadHead();
  /// @brief Waits for more of the body and appends it to Body().
  boost::asio::awaitable<ReadResult> ReadBody();
  /// @brief Closes the connection; pending reads end with kBroken.
  void Close();

  [[nodiscard]] const net::MessageHead& Head() const
  {
    return m_parser->Head();
  }
  [[nodiscard]] const ReplyMetadata& Metadata() const { return m_metadata; }
  /// @return received bytes of the body that were not consumed yet.
  [[nodiscard]] std::string& Body() { return m_body; }
  /// @brief From now on the complete reply is sent to the caller.
  /// @param aOnRevoked called when its memory is revoked, as the caller does
  /// not read it.
  /// @return its memory.
  core::MemoryBudget::Reservation& BeginRelay(std::function<void()> aOnRevoked);
  [[nodiscard]] bool IsOnNewConnection() const { return m_is_new; }
  /// @return whether the body has no length, so that it looks complete even if
  /// the target crashed.
  [[nodiscard]] bool EndsWithConnection() const
  {
    return m_parser->EndsWithConnection();
  }
  /// @return whether nothing listens at the target's address, and not only for
  /// this instance.
  [[nodiscard]] bool WasConnectionRefused() const
  {
    return m_connection_refused;
  }
  /// @return whether the target has finished the request, refused it, or never
  /// got it.
  [[nodiscard]] bool IsOver() const
  {
    return !m_parser || m_parser->IsWhole() || m_metadata.not_run;
  }
  /// @return the instance through which the target is reached; empty: none.
  [[nodiscard]] const std::string& Peer() const { return m_peer; }
  /// @return the reason of the last failure.
  [[nodiscard]] const std::string& Error() const { return m_error; }

private:
  enum class Owner : std::uint8_t
  {
    kUnknown,
    kThis,
    kOther,
  };

  boost::asio::awaitable<bool> ReadMore();
  bool Parse();
  /// @brief Keeps the reason for which the reply was revoked, if it was.
  void SetError(std::string aError);
  /// @brief Frees what is held of the reply, and breaks it.
  void OnRevoked();
  void StartReply();
  [[nodiscard]] Owner OwnerOfReply() const;
  ReadResult Broken(std::string aError);
  ReadResult Progress();
  void ReleaseConnection();

  boost::asio::any_io_executor m_executor;
  const HeaderCodec& m_header_codec;
  TargetConnector& m_connector;
  std::shared_ptr<FleetTarget> m_target;
  core::Homes m_homes;
  ExchangeOptions m_options;
  std::shared_ptr<ConnectionAttempt> m_attempt; ///< While it is opened.
  std::shared_ptr<net::OutboundConnection> m_connection;
  std::string m_peer;
  std::shared_ptr<void> m_tunnel_use;
  std::unique_ptr<net::MessageParser> m_parser;
  ReplyMetadata m_metadata;
  std::string m_body;
  core::MemoryBudget::Reservation m_held;
  std::function<void()> m_on_relay_revoked;
  std::string m_error;
  bool m_is_new = false;
  bool m_connection_refused = false;
  bool m_is_clean = true; ///< No unexpected data was received.
};

} // namespace jujubehead::node

#endif // JUJUBEHEAD_NODE_FORWARD_TARGET_EXCHANGE_HPP
