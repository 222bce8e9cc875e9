#ifndef JUJUBEHEAD_NODE_FORWARD_TARGET_EXCHANGE_HPP
#define JUJUBEHEAD_NODE_FORWARD_TARGET_EXCHANGE_HPP

#include <cstdint> // for uint8_t
#include <memory>  // for shared_ptr, unique_ptr
#include <string>  // for string

#include <boost/asio/awaitable.hpp> // for awaitable

#include "jujubehead/net/http1/message_parser.hpp"      // for MessageParser
#include "jujubehead/net/http1/outbound_connection.hpp" // for OutboundConnection
#include "jujubehead/node/forward/dialect.hpp"          // for Dialect

#include "target_fleet.hpp" // for FleetTarget

namespace jujubehead::node {

/// @brief How an exchange is made.
struct ExchangeOptions
{
  std::string request_id;
  bool to_head = false; ///< The request is a HEAD.
  /// Longest rest of a connection that may be used again. A target may close
  /// it just then, and the request could have run; so short where it may not
  /// run twice.
  core::Duration longest_rest{};
  std::uint64_t body_limit = 16UL * 1024 * 1024; ///< Bytes of the reply's body.
};

/// @brief What came of waiting for a reply's next part.
enum class ReplyPart : std::uint8_t
{
  kMore,   ///< Something came, and more is to come.
  kWhole,  ///< The reply is whole.
  kBroken, ///< It ended before its end, or is no reply to this request.
};

/// @brief One request to one target and its reply.
///
/// Replies to other requests, which may come late on a connection that was used
/// before, are passed over by their ids. A connection on which anything
/// unexpected came is not used again.
class TargetExchange
{
public:
  TargetExchange(const boost::asio::any_io_executor& aExecutor,
                 const Dialect& aDialect,
                 std::shared_ptr<FleetTarget> aTarget,
                 ExchangeOptions aOptions);
  ~TargetExchange();
  TargetExchange(const TargetExchange&) = delete;
  TargetExchange& operator=(const TargetExchange&) = delete;
  TargetExchange(TargetExchange&&) = delete;
  TargetExchange& operator=(TargetExchange&&) = delete;

  /// @return whether there is a connection; without one nothing was sent.
  boost::asio::awaitable<bool> Open();
  void Send(std::string aMessage);
  /// @brief Waits for the head of the reply to this request.
  /// @return kBroken, or kMore, or kWhole when the body came with it.
  boost::asio::awaitable<ReplyPart> ReadHead();
  /// @brief Waits for more of the body; see Body().
  boost::asio::awaitable<ReplyPart> ReadBody();
  /// @brief Closes the connection; what is pending ends as kBroken.
  void Close();

  [[nodiscard]] const net::MessageHead& Head() const
  {
    return m_parser->Head();
  }
  [[nodiscard]] const ReplyFacts& Facts() const { return m_facts; }
  /// @return bytes of the body that came and were not taken yet.
  [[nodiscard]] std::string& Body() { return m_body; }
  [[nodiscard]] bool IsOnNewConnection() const { return m_is_new; }
  /// @return whether nothing listens at the target's address.
  [[nodiscard]] bool WasRefused() const { return m_was_refused; }
  /// @return why it was broken.
  [[nodiscard]] const std::string& Why() const { return m_why; }

private:
  enum class Owner : std::uint8_t
  {
    kUnknown,
    kThis,
    kOther,
  };

  boost::asio::awaitable<bool> ReadMore();
  bool Parse();
  void StartReply();
  [[nodiscard]] Owner OwnerOfReply() const;
  ReplyPart Broken(std::string aWhy);
  ReplyPart Progress();
  void GiveBack();

  boost::asio::any_io_executor m_executor;
  const Dialect& m_dialect;
  std::shared_ptr<FleetTarget> m_target;
  ExchangeOptions m_options;
  std::shared_ptr<net::OutboundConnection> m_connection;
  std::unique_ptr<net::MessageParser> m_parser;
  ReplyFacts m_facts;
  std::string m_body;
  std::string m_why;
  bool m_is_new = false;
  bool m_was_refused = false;
  bool m_is_clean = true; ///< Nothing unexpected came on the connection.
};

} // namespace jujubehead::node

#endif // JUJUBEHEAD_NODE_FORWARD_TARGET_EXCHANGE_HPP
