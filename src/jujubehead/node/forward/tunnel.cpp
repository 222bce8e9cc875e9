#include "tunnel.hpp"

#include <sstream> // for ostringstream

#include <boost/asio/this_coro.hpp> // for executor

#include "jujubehead/net/deadline.hpp"             // for Deadline
#include "jujubehead/net/http1/message_parser.hpp" // for MessageParser

namespace jujubehead::node {
namespace {

namespace asio = boost::asio;

/// Longest wait for the peer's reply: what it may take to connect, and transit.
constexpr core::Duration kReplyTimeout =
  kTunnelConnectTimeout + std::chrono::milliseconds(100);

std::string
FormatRequest(const core::TargetId& aTarget,
              const asio::ip::tcp::endpoint& aEndpoint)
{
  std::ostringstream text;
  text << "CONNECT " << aEndpoint << " HTTP/1.1\r\nHost: " << aEndpoint
       << "\r\n"
       << kTunnelTargetHeader << ": " << aTarget.View() << "\r\n"
       << kTunnelFramingHeader << ": " << kTunnelFraming << "\r\n\r\n";
  return text.str();
}

TunnelReply
ReplyOf(unsigned aStatus)
{
  TunnelReply reply;
  reply.is_from_peer = true;
  reply.status = static_cast<TunnelStatus>(aStatus);
  switch (reply.status) {
    case TunnelStatus::kOpen:
      return reply;
    case TunnelStatus::kUnknownTarget:
      reply.error = "the target is unknown there";
      return reply;
    case TunnelStatus::kTargetRefused:
      reply.error = "the target refused the connection";
      return reply;
    case TunnelStatus::kTargetSilent:
      reply.error = "the target did not respond there";
      return reply;
    case TunnelStatus::kRejected:
      break;
  }
  reply.error = "status " + std::to_string(aStatus);
  reply.status = TunnelStatus::kRejected;
  return reply;
}

} // namespace

asio::awaitable<TunnelReply>
OpenTunnel(std::shared_ptr<net::OutboundConnection> aConnection,
           asio::ip::tcp::endpoint aPeer,
           core::TargetId aTarget,
           asio::ip::tcp::endpoint aTargetEndpoint)
{
  const auto failed = [](const std::string& aError) {
    return TunnelReply{ TunnelStatus::kRejected, aError, false };
  };
  const auto executor = co_await asio::this_coro::executor;
  net::Deadline deadline(executor, [aConnection] { aConnection->Close(); });
  deadline.Set(kReplyTimeout);
  boost::system::error_code error = co_await aConnection->Connect(aPeer);
  if (error) {
    co_return failed("connect: " + error.message());
  }
  aConnection->Send(FormatRequest(aTarget, aTargetEndpoint));
  // The reply to CONNECT has no body, like that to HEAD.
  const auto parser = net::MessageParser::ForReply({}, true);
  std::string body;
  while (!parser->IsWhole()) {
    error = co_await aConnection->Read();
    if (error) {
      co_return failed("read: " + error.message());
    }
    try {
      std::string& input = aConnection->Input();
      input.erase(0, parser->Put(input, body));
    } catch (const net::MessageError& invalid) {
      co_return failed(std::string("invalid reply: ") + invalid.what());
    }
  }
  const net::MessageHead& head = parser->Head();
  const bool is_framed =
    head.headers.Find(kTunnelFramingHeader) == kTunnelFraming;
  aConnection->SetRelayMode(is_framed ? net::RelayMode::kFramed
                                      : net::RelayMode::kRaw);
  co_return ReplyOf(head.status);
}

} // namespace jujubehead::node
