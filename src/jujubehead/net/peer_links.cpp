#include <algorithm> // for clamp, min
#include <map>       // for map
#include <utility>   // for move

#include "jujubehead/net/peer_link.hpp" // for PeerLinks
#include "jujubehead/net/timer.hpp"     // for Timer

#include "peer_handshake.hpp"     // for PeerHandshake
#include "peer_outbox.hpp"        // for PeerOutbox
#include "websocket_endpoint.hpp" // for WebsocketEndpoint

namespace jujubehead::net {
namespace {

using core::InstanceId;
using core::RuntimeClock;

constexpr core::Duration kSweepEvery = std::chrono::milliseconds(100);
constexpr core::Duration kShortestSweep = std::chrono::milliseconds(5);
/// The end that dialled closes an idle link; the other end only if that fails.
constexpr int kListenerPatience = 2;
/// A greeting may take this many connect timeouts.
constexpr int kGreetingPatience = 2;

/// @brief One websocket connection, from its dial or its accept.
struct Link
{
  PeerHandshake handshake;
  bool open = false; ///< Both ends have proved that they know the secret.
  bool closing = false;
  bool greeted = false;    ///< The connection was made, so greetings began.
  core::Instant last_used; ///< First the moment of the dial or the accept.
};

/// @brief What is known of another instance.
struct Peer
{
  std::string authority;
  WebsocketId link = 0; ///< The link that is sent on, or that is being made.
  PeerOutbox outbox;
};

class Links final : public PeerLinks
{
public:
  Links(boost::asio::io_context& aContext,
        PeerLinksOptions aOptions,
        OnMessage aOnMessage)
    : m_options(std::move(aOptions))
    , m_on_message(std::move(aOnMessage))
    , m_sweep(aContext)
    , m_endpoint(
        WebsocketEndpoint::Create(aContext, Settings(m_options), Events()))
  {
    SweepLater();
  }
  Links(const Links&) = delete;
  Links& operator=(const Links&) = delete;
  Links(Links&&) = delete;
  Links& operator=(Links&&) = delete;
  ~Links() override { Close(); }

  [[nodiscard]] std::uint16_t Port() const override
  {
    return m_endpoint->Port();
  }

  void SetAddress(const InstanceId& aPeer, std::string aAuthority) override
  {
    Peer& peer = m_peers[aPeer];
    const bool moved = peer.authority != aAuthority;
    peer.authority = std::move(aAuthority);
    if (moved && peer.link != 0 && LinkOf(peer.link).handshake.IsDialler()) {
      Retire(peer.link);
    }
    ForgetIfNowhere(aPeer);
  }

  bool Send(const InstanceId& aTo, Bytes aBytes) override
  {
    const auto found = m_peers.find(aTo);
    if (m_closed || found == m_peers.end() ||
        aBytes.size() > m_options.message_limit) {
      ++m_counters.dropped;
      return false;
    }
    Peer& peer = found->second;
    const bool open = peer.link != 0 && LinkOf(peer.link).open;
    return open ? SendOn(peer, aBytes) : Keep(aTo, peer, std::move(aBytes));
  }

  [[nodiscard]] PeerLinksCounters Counters() const override
  {
    return m_counters;
  }

  void Close() override
  {
    m_closed = true;
    m_sweep.cancel();
    m_endpoint->Close();
    m_links.clear();
    m_peers.clear();
  }

private:
  static WebsocketSettings Settings(const PeerLinksOptions& aOptions)
  {
    WebsocketSettings settings;
    settings.address = aOptions.address;
    settings.port = aOptions.port;
    settings.message_limit = aOptions.message_limit;
    settings.connect_timeout =
      std::chrono::ceil<std::chrono::milliseconds>(aOptions.connect_timeout);
    if (aOptions.tls) {
      settings.tls = [tls = aOptions.tls] { return tls->Current(); };
    }
    return settings;
  }

  WebsocketEvents Events()
  {
    return { [this](WebsocketId aId, bool aDialled) { OnOpen(aId, aDialled); },
             [this](
               WebsocketId aId, const std::uint8_t* aBytes, std::size_t aSize) {
               OnBytes(aId, { aBytes, aSize });
             },
             [this](WebsocketId aId) { OnClosed(aId); } };
  }

  bool SendOn(Peer& aPeer, const Bytes& aBytes)
  {
    const std::size_t waiting = m_endpoint->Waiting(aPeer.link);
    if (waiting + aBytes.size() > m_options.send_queue_limit) {
      ++m_counters.dropped;
      return false;
    }
    return HandOver(aPeer, aBytes);
  }

  bool HandOver(const Peer& aPeer, const Bytes& aBytes)
  {
    if (!m_endpoint->Send(aPeer.link, aBytes.data(), aBytes.size())) {
      ++m_counters.dropped;
      return false;
    }
    LinkOf(aPeer.link).last_used = RuntimeClock::now();
    ++m_counters.messages_sent;
    m_counters.bytes_sent += aBytes.size();
    return true;
  }

  /// Keeps a message until the link is there.
  bool Keep(const InstanceId& aTo, Peer& aPeer, Bytes aBytes)
  {
    if (!aPeer.outbox.Put(std::move(aBytes), m_options.send_queue_limit)) {
      ++m_counters.dropped;
      return false;
    }
    DialIfDue(aTo, aPeer);
    return true;
  }

  void DialIfDue(const InstanceId& aTo, Peer& aPeer)
  {
    const core::Instant now = RuntimeClock::now();
    if (aPeer.link != 0 || !aPeer.outbox.WantsLink(now)) {
      return;
    }
    aPeer.link = m_endpoint->Dial(aPeer.authority);
    if (aPeer.link == 0) {
      DialFailed(aPeer);
      return;
    }
    m_links.emplace(
      aPeer.link,
      Link{ PeerHandshake::Dialler(m_options.self, aTo, m_options.secret),
            false,
            false,
            false,
            now });
  }

  void DialFailed(Peer& aPeer)
  {
    m_counters.dropped += aPeer.outbox.Fail(RuntimeClock::now());
  }

  void OnOpen(WebsocketId aId, bool aDialled)
  {
    if (!aDialled) {
      m_links.emplace(
        aId,
        Link{ PeerHandshake::Listener(m_options.self, m_options.secret),
              false,
              false,
              true,
              RuntimeClock::now() });
      return;
    }
    Link& link = LinkOf(aId);
    link.greeted = true;
    const Bytes hello = link.handshake.Begin();
    m_endpoint->Send(aId, hello.data(), hello.size());
  }

  Link& LinkOf(WebsocketId aId) { return m_links.at(aId); }

  void OnBytes(WebsocketId aId, std::span<const std::uint8_t> aBytes)
  {
    Link& link = LinkOf(aId);
    if (!link.open) {
      if (!link.closing && !TakeGreeting(aId, link, aBytes)) {
        Retire(aId); // Counted as refused when it has closed.
      }
      return;
    }
    link.last_used = RuntimeClock::now();
    ++m_counters.messages_received;
    m_counters.bytes_received += aBytes.size();
    // A copy, as the callee may close the links.
    const InstanceId from = link.handshake.Peer();
    m_on_message(from, aBytes);
  }

  /// @return whether the other end may go on.
  bool TakeGreeting(WebsocketId aId,
                    Link& aLink,
                    std::span<const std::uint8_t> aBytes)
  {
    const auto [step, reply] = aLink.handshake.Take(aBytes);
    if (reply) {
      m_endpoint->Send(aId, reply->data(), reply->size());
    }
    if (step == PeerHandshake::Step::kOpen) {
      Open(aId, aLink);
    }
    return step != PeerHandshake::Step::kRefused;
  }

  void Open(WebsocketId aId, Link& aLink)
  {
    aLink.open = true;
    ++m_counters.open_links;
    aLink.last_used = RuntimeClock::now();
    Peer& peer = m_peers[aLink.handshake.Peer()];
    if (peer.link == 0) {
      peer.link = aId;
    }
    if (peer.link != aId) {
      return; // Both ends dialled: each sends on its own link.
    }
    for (const Bytes& bytes : peer.outbox.Open()) {
      HandOver(peer, bytes);
    }
  }

  /// Closes a link and uses it no more for sending.
  void Retire(WebsocketId aId)
  {
    Link& link = LinkOf(aId);
    link.closing = true;
    const auto entry = m_peers.find(link.handshake.Peer());
    if (link.open && entry != m_peers.end() && entry->second.link == aId) {
      Unlink(entry->second, link);
    }
    m_endpoint->CloseOne(aId);
  }

  void OnClosed(WebsocketId aId)
  {
    const auto found = m_links.find(aId);
    if (found == m_links.end()) {
      return;
    }
    const Link link = std::move(found->second);
    m_links.erase(found);
    m_counters.open_links -= link.open ? 1 : 0;
    if (!link.open && link.greeted) {
      ++m_counters.refused;
    }
    const auto entry = m_peers.find(link.handshake.Peer());
    if (entry != m_peers.end() && entry->second.link == aId) {
      Unlink(entry->second, link);
    }
  }

  void Unlink(Peer& aPeer, const Link& aLink)
  {
    aPeer.link = 0;
    for (const auto& [id, other] : m_links) {
      if (other.open && !other.closing &&
          other.handshake.Peer() == aLink.handshake.Peer()) {
        aPeer.link = id;
        return;
      }
    }
    if (!aLink.open) {
      DialFailed(aPeer);
    }
    ForgetIfNowhere(aLink.handshake.Peer());
  }

  /// A peer without an address and without a link cannot be reached.
  void ForgetIfNowhere(const InstanceId& aPeer)
  {
    const auto found = m_peers.find(aPeer);
    if (found != m_peers.end() && found->second.authority.empty() &&
        found->second.link == 0) {
      m_counters.dropped += found->second.outbox.Drop();
      m_peers.erase(found);
    }
  }

  void SweepLater()
  {
    m_sweep.expires_after(
      std::clamp(m_options.idle_close / 4, kShortestSweep, kSweepEvery));
    m_sweep.async_wait([this, alive = std::weak_ptr<char>(m_alive)](
                         const boost::system::error_code& aError) {
      if (!aError && !alive.expired() && !m_closed) {
        Sweep(RuntimeClock::now());
        SweepLater();
      }
    });
  }

  void Sweep(core::Instant aNow)
  {
    for (auto& [id, peer] : m_peers) {
      DialIfDue(id, peer);
    }
    std::vector<WebsocketId> over;
    for (const auto& [id, link] : m_links) {
      if (!link.closing && aNow - link.last_used > LimitOf(link)) {
        over.push_back(id);
      }
    }
    for (const WebsocketId id : over) {
      Retire(id);
    }
  }

  [[nodiscard]] core::Duration LimitOf(const Link& aLink) const
  {
    if (!aLink.open) {
      return kGreetingPatience * m_options.connect_timeout;
    }
    return aLink.handshake.IsDialler()
             ? m_options.idle_close
             : kListenerPatience * m_options.idle_close;
  }

  PeerLinksOptions m_options;
  OnMessage m_on_message;
  Timer m_sweep;
  std::map<WebsocketId, Link> m_links;
  std::map<InstanceId, Peer> m_peers;
  PeerLinksCounters m_counters;
  bool m_closed = false;
  std::shared_ptr<char> m_alive = std::make_shared<char>();
  std::unique_ptr<WebsocketEndpoint> m_endpoint;
};

} // namespace

std::unique_ptr<PeerLinks>
PeerLinks::Create(boost::asio::io_context& aContext,
                  PeerLinksOptions aOptions,
                  OnMessage aOnMessage)
{
  return std::make_unique<Links>(
    aContext, std::move(aOptions), std::move(aOnMessage));
}

} // namespace jujubehead::net
