#ifndef JUJUBEHEAD_NODE_PEER_CALLS_HPP
#define JUJUBEHEAD_NODE_PEER_CALLS_HPP

#include <cstdint>       // for uint64_t
#include <functional>    // for function
#include <map>           // for map
#include <memory>        // for shared_ptr, unique_ptr
#include <optional>      // for optional
#include <unordered_map> // for unordered_map

#include <boost/asio/awaitable.hpp>  // for awaitable
#include <boost/asio/io_context.hpp> // for io_context

#include "jujubehead/core/ids.hpp"           // for InstanceId
#include "jujubehead/core/runtime_clock.hpp" // for Duration
#include "jujubehead/net/peer_link.hpp"      // for PeerLinks
#include "jujubehead/wire/messages.hpp"      // for Envelope, Message

namespace jujubehead::node {

/// @brief Questions and answers between instances, on the control thread.
///
/// A message to this instance itself goes to the same handler without the
/// codec. A lost message shows as no answer within the timeout.
class PeerCalls
{
public:
  /// Answers a question. For a message that wants no answer the result is
  /// ignored.
  using Handler = std::function<boost::asio::awaitable<wire::Message>(
    core::InstanceId aFrom,
    wire::Message aMessage)>;

  /// @throws std::runtime_error when the peer address cannot be bound.
  PeerCalls(boost::asio::io_context& aContext, net::PeerLinksOptions aOptions);

  /// @brief Sets who answers; call before the first message can come.
  void SetHandler(Handler aHandler);
  /// @brief Says where an instance is (`address:port`).
  void SetAddress(const core::InstanceId& aPeer, std::string aAuthority);
  /// @brief Sends without wanting an answer; may be lost.
  void Tell(const core::InstanceId& aTo, wire::Message aMessage);
  /// @return the answer, or nothing when none came in time.
  boost::asio::awaitable<std::optional<wire::Message>>
  Ask(core::InstanceId aTo, wire::Message aMessage, core::Duration aTimeout);

  [[nodiscard]] const core::InstanceId& Self() const { return m_self; }
  [[nodiscard]] boost::asio::io_context& Context() { return m_context; }
  [[nodiscard]] std::uint16_t Port() const { return m_links->Port(); }
  [[nodiscard]] net::PeerLinksCounters Counters() const;
  void Close();

private:
  struct PendingCall;

  void OnBytes(const core::InstanceId& aFrom,
               std::span<const std::uint8_t> aBytes);
  void Dispatch(const core::InstanceId& aFrom, wire::Envelope aEnvelope);
  void Answer(wire::Envelope aEnvelope);
  void Send(const core::InstanceId& aTo, const wire::Envelope& aEnvelope);

  boost::asio::io_context& m_context;
  core::InstanceId m_self;
  std::unique_ptr<net::PeerLinks> m_links;
  Handler m_handler;
  std::uint64_t m_next_call = 1;
  std::unordered_map<std::uint64_t, std::shared_ptr<PendingCall>> m_pending;
};

} // namespace jujubehead::node

#endif // JUJUBEHEAD_NODE_PEER_CALLS_HPP
