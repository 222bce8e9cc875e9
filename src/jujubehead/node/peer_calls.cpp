#include "jujubehead/node/peer_calls.hpp"

#include <boost/asio/basic_waitable_timer.hpp> // for basic_waitable_timer
#include <boost/asio/co_spawn.hpp>             // for co_spawn
#include <boost/asio/detached.hpp>             // for detached
#include <boost/asio/post.hpp>                 // for post
#include <boost/asio/redirect_error.hpp>       // for redirect_error
#include <boost/asio/use_awaitable.hpp>        // for use_awaitable

#include "jujubehead/net/timer.hpp"  // for Timer
#include "jujubehead/wire/codec.hpp" // for Encode, Decode

namespace jujubehead::node {

namespace asio = boost::asio;

struct PeerCalls::PendingCall
{
  explicit PendingCall(asio::io_context& aContext)
    : timer(aContext)
  {
  }

  net::Timer timer;
  std::optional<wire::Message> answer;
};

PeerCalls::PeerCalls(asio::io_context& aContext, net::PeerLinksOptions aOptions)
  : m_context(aContext)
  , m_self(aOptions.self)
  , m_links(net::PeerLinks::Create(
      aContext,
      std::move(aOptions),
      [this](const core::InstanceId& aFrom,
             std::span<const std::uint8_t> aBytes) { OnBytes(aFrom, aBytes); }))
{
}

void
PeerCalls::SetHandler(Handler aHandler)
{
  m_handler = std::move(aHandler);
}

void
PeerCalls::SetAddress(const core::InstanceId& aPeer, std::string aAuthority)
{
  m_links->SetAddress(aPeer, std::move(aAuthority));
}

void
PeerCalls::Tell(const core::InstanceId& aTo, wire::Message aMessage)
{
  Send(aTo, { 0, false, std::move(aMessage) });
}

asio::awaitable<std::optional<wire::Message>>
PeerCalls::Ask(core::InstanceId aTo,
               wire::Message aMessage,
               core::Duration aTimeout)
{
  const std::uint64_t call = m_next_call++;
  const auto pending = std::make_shared<PendingCall>(m_context);
  m_pending.emplace(call, pending);
  pending->timer.expires_after(aTimeout);
  Send(aTo, { call, false, std::move(aMessage) });
  boost::system::error_code ignored;
  co_await pending->timer.async_wait(
    asio::redirect_error(asio::use_awaitable, ignored));
  m_pending.erase(call);
  co_return std::move(pending->answer);
}

net::PeerLinksCounters
PeerCalls::Counters() const
{
  return m_links->Counters();
}

void
PeerCalls::Close()
{
  m_links->Close();
}

void
PeerCalls::OnBytes(const core::InstanceId& aFrom,
                   std::span<const std::uint8_t> aBytes)
{
  try {
    Dispatch(aFrom, wire::Decode(aBytes));
  } catch (const wire::DecodeError&) {
    // A peer of another version; its call times out at its own end.
  }
}

void
PeerCalls::Dispatch(const core::InstanceId& aFrom, wire::Envelope aEnvelope)
{
  if (aEnvelope.is_reply) {
    Answer(std::move(aEnvelope));
    return;
  }
  if (!m_handler) {
    return;
  }
  asio::co_spawn(
    m_context,
    [this,
     from = aFrom,
     envelope = std::move(aEnvelope)]() mutable -> asio::awaitable<void> {
      const std::uint64_t call = envelope.call;
      wire::Message answer =
        co_await m_handler(from, std::move(envelope.message));
      if (call != 0) {
        Send(from, { call, true, std::move(answer) });
      }
    },
    asio::detached);
}

void
PeerCalls::Answer(wire::Envelope aEnvelope)
{
  const auto found = m_pending.find(aEnvelope.call);
  if (found == m_pending.end()) {
    return; // Too late: the asker has given up.
  }
  found->second->answer = std::move(aEnvelope.message);
  found->second->timer.cancel();
}

void
PeerCalls::Send(const core::InstanceId& aTo, const wire::Envelope& aEnvelope)
{
  if (aTo == m_self) {
    asio::post(m_context, [this, envelope = aEnvelope]() mutable {
      Dispatch(m_self, std::move(envelope));
    });
    return;
  }
  m_links->Send(aTo, wire::Encode(aEnvelope));
}

} // namespace jujubehead::node
