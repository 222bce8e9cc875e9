#include "websocket_endpoint.hpp"

#include <netinet/tcp.h> // for TCP_USER_TIMEOUT

#include <map>       // for map
#include <stdexcept> // for runtime_error
#include <utility>   // for move

#include <boost/asio/post.hpp>                       // for post
#include <websocketpp/client.hpp>                    // for client
#include <websocketpp/concurrency/none.hpp>          // for none
#include <websocketpp/config/asio_client.hpp>        // for asio_tls_client
#include <websocketpp/config/asio_no_tls_client.hpp> // for asio_client
#include <websocketpp/server.hpp>                    // for server

namespace jujubehead::net {
namespace {

namespace ws = websocketpp;
using boost::asio::ip::tcp;

/// Bytes sent that stay unacknowledged for so long break the connection.
constexpr int kUnacknowledgedMilliseconds = 5000;
constexpr std::size_t kReadBufferBytes = 2048;

// NOLINTBEGIN(readability-identifier-naming): the library looks for these
// names.

/// The library's settings: one thread, no log, small buffers, binary messages.
template<typename Base>
struct Config : Base
{
  using type = Config;
  using base = Base;
  using concurrency_type = ws::concurrency::none;
  using alog_type = ws::log::basic<concurrency_type, ws::log::alevel>;
  using elog_type = ws::log::basic<concurrency_type, ws::log::elevel>;

  struct transport_config : Base::transport_config
  {
    using concurrency_type = type::concurrency_type;
    using alog_type = type::alog_type;
    using elog_type = type::elog_type;
    static bool const enable_multithreading = false;
  };
  using transport_type = ws::transport::asio::endpoint<transport_config>;

  static const std::size_t connection_read_buffer_size = kReadBufferBytes;
  static const std::size_t max_http_body_size = kReadBufferBytes;
  static const bool drop_on_protocol_error = true;
  static const bool silent_close = true;
};

// NOLINTEND(readability-identifier-naming)

using PlainConfig = Config<ws::config::asio_client>;
using TlsConfig = Config<ws::config::asio_tls_client>;

const char*
SchemeOf(const PlainConfig* /*aTag*/)
{
  return "ws://";
}

const char*
SchemeOf(const TlsConfig* /*aTag*/)
{
  return "wss://";
}

template<typename Endpoint>
void
SetUpTls(Endpoint& /*aEndpoint*/,
         const WebsocketSettings& /*aSettings*/,
         const PlainConfig* /*aTag*/)
{
}

template<typename Endpoint>
void
SetUpTls(Endpoint& aEndpoint,
         const WebsocketSettings& aSettings,
         const TlsConfig* /*aTag*/)
{
  aEndpoint.set_tls_init_handler(
    [tls = aSettings.tls](const ws::connection_hdl&) { return tls(); });
}

template<typename Endpoint>
void
SetUp(Endpoint& aEndpoint,
      boost::asio::io_context& aContext,
      const WebsocketSettings& aSettings)
{
  aEndpoint.clear_access_channels(ws::log::alevel::all);
  aEndpoint.clear_error_channels(ws::log::elevel::all);
  aEndpoint.init_asio(&aContext);
  aEndpoint.set_max_message_size(aSettings.message_limit);
  const long timeout = static_cast<long>(aSettings.connect_timeout.count());
  aEndpoint.set_open_handshake_timeout(timeout);
  aEndpoint.set_close_handshake_timeout(timeout);
}

template<typename Connection>
void
SetSocketOptions(Connection& aConnection)
{
  boost::system::error_code ignored;
  auto& socket = aConnection->get_raw_socket();
  socket.set_option(tcp::no_delay(true), ignored);
  using UserTimeout =
    boost::asio::detail::socket_option::integer<IPPROTO_TCP, TCP_USER_TIMEOUT>;
  socket.set_option(UserTimeout(kUnacknowledgedMilliseconds), ignored);
}

/// The library's two endpoints and their connections. Pending operations of the
/// library point into it, so it is kept until they have ended.
template<typename ConfigType>
class State : public std::enable_shared_from_this<State<ConfigType>>
{
public:
  using Server = ws::server<ConfigType>;
  using Client = ws::client<ConfigType>;
  using Connection = typename Server::connection_ptr;
  using MessagePointer = typename Server::message_ptr;

  static_assert(std::is_same_v<Connection, typename Client::connection_ptr>);

  State(boost::asio::io_context& aContext,
        const WebsocketSettings& aSettings,
        WebsocketEvents aEvents)
    : m_context(aContext)
    , m_events(std::move(aEvents))
  {
    SetUp(m_server, aContext, aSettings);
    SetUp(m_client, aContext, aSettings);
    SetUpTls(m_server, aSettings, kTag);
    SetUpTls(m_client, aSettings, kTag);
    m_server.set_reuse_addr(true);
  }

  void Listen(const WebsocketSettings& aSettings)
  {
    m_server.set_open_handler(
      [weak = this->weak_from_this()](const ws::connection_hdl& aHandle) {
        if (const auto self = weak.lock()) {
          self->OnAccepted(aHandle);
        }
      });
    ws::lib::error_code error;
    m_server.listen(
      tcp::endpoint(boost::asio::ip::make_address(aSettings.address),
                    aSettings.port),
      error);
    if (!error) {
      m_server.start_accept(error);
    }
    if (error) {
      throw std::runtime_error("cannot listen on " + aSettings.address + ":" +
                               std::to_string(aSettings.port) + ": " +
                               error.message());
    }
    boost::system::error_code ignored;
    m_port = m_server.get_local_endpoint(ignored).port();
  }

  [[nodiscard]] std::uint16_t Port() const { return m_port; }

  WebsocketId Dial(const std::string& aAuthority)
  {
    ws::lib::error_code error;
    const Connection connection =
      m_client.get_connection(SchemeOf(kTag) + aAuthority + "/", error);
    if (error) {
      return 0;
    }
    const WebsocketId id = Adopt(connection);
    connection->set_open_handler(
      [weak = this->weak_from_this(), id](const ws::connection_hdl&) {
        if (const auto self = weak.lock()) {
          self->OnDialled(id);
        }
      });
    m_client.connect(connection);
    return id;
  }

  bool Send(WebsocketId aId, const std::uint8_t* aBytes, std::size_t aSize)
  {
    const auto found = m_connections.find(aId);
    return found != m_connections.end() &&
           !found->second->send(aBytes, aSize, ws::frame::opcode::binary);
  }

  [[nodiscard]] std::size_t Waiting(WebsocketId aId) const
  {
    const auto found = m_connections.find(aId);
    return found == m_connections.end() ? 0
                                        : found->second->get_buffered_amount();
  }

  void CloseOne(WebsocketId aId)
  {
    const auto found = m_connections.find(aId);
    if (found != m_connections.end()) {
      Close(found->second);
    }
  }

  void Close()
  {
    if (m_closed) {
      return;
    }
    m_closed = true;
    m_events = {};
    ws::lib::error_code ignored;
    m_server.stop_listening(ignored);
    const auto connections = std::move(m_connections);
    m_connections.clear();
    for (const auto& entry : connections) {
      Close(entry.second);
    }
    // The accept that was pending ends before what is posted after it.
    boost::asio::post(m_context, [self = this->shared_from_this()] {
      boost::asio::post(self->m_context, [self] {});
    });
  }

private:
  /// Chooses between functions by the configuration.
  static constexpr const ConfigType* kTag = nullptr;

  static void Close(const Connection& aConnection)
  {
    ws::lib::error_code ignored;
    aConnection->close(ws::close::status::going_away, "", ignored);
  }

  WebsocketId Adopt(const Connection& aConnection)
  {
    const WebsocketId id = ++m_last_id;
    m_connections.emplace(id, aConnection);
    const auto weak = this->weak_from_this();
    aConnection->set_message_handler(
      [weak, id](const ws::connection_hdl&, const MessagePointer& aMessage) {
        if (const auto self = weak.lock()) {
          self->OnMessage(id, aMessage->get_payload());
        }
      });
    const auto on_end = [weak, id](const ws::connection_hdl&) {
      if (const auto self = weak.lock()) {
        self->OnEnd(id);
      }
    };
    aConnection->set_close_handler(on_end);
    aConnection->set_fail_handler(on_end);
    return id;
  }

  void OnAccepted(const ws::connection_hdl& aHandle)
  {
    Connection connection = m_server.get_con_from_hdl(aHandle);
    if (m_closed) {
      Close(connection);
      return;
    }
    SetSocketOptions(connection);
    const WebsocketId id = Adopt(connection);
    m_events.on_open(id, false);
  }

  void OnDialled(WebsocketId aId)
  {
    const auto found = m_connections.find(aId);
    if (found != m_connections.end()) {
      SetSocketOptions(found->second);
      m_events.on_open(aId, true);
    }
  }

  void OnMessage(WebsocketId aId, const std::string& aPayload)
  {
    if (m_connections.count(aId) != 0) {
      m_events.on_message(
        aId,
        reinterpret_cast<const std::uint8_t*>(aPayload.data()),
        aPayload.size());
    }
  }

  void OnEnd(WebsocketId aId)
  {
    if (m_connections.erase(aId) != 0) {
      m_events.on_close(aId);
    }
  }

  boost::asio::io_context& m_context;
  WebsocketEvents m_events;
  Server m_server;
  Client m_client;
  std::map<WebsocketId, Connection> m_connections;
  WebsocketId m_last_id = 0;
  std::uint16_t m_port = 0;
  bool m_closed = false;
};

template<typename ConfigType>
class Endpoint final : public WebsocketEndpoint
{
public:
  Endpoint(boost::asio::io_context& aContext,
           const WebsocketSettings& aSettings,
           WebsocketEvents aEvents)
    : m_state(std::make_shared<State<ConfigType>>(aContext,
                                                  aSettings,
                                                  std::move(aEvents)))
  {
    m_state->Listen(aSettings);
  }
  Endpoint(const Endpoint&) = delete;
  Endpoint& operator=(const Endpoint&) = delete;
  Endpoint(Endpoint&&) = delete;
  Endpoint& operator=(Endpoint&&) = delete;
  ~Endpoint() override { m_state->Close(); }

  [[nodiscard]] std::uint16_t Port() const override { return m_state->Port(); }
  WebsocketId Dial(const std::string& aAuthority) override
  {
    return m_state->Dial(aAuthority);
  }
  bool Send(WebsocketId aId,
            const std::uint8_t* aBytes,
            std::size_t aSize) override
  {
    return m_state->Send(aId, aBytes, aSize);
  }
  [[nodiscard]] std::size_t Waiting(WebsocketId aId) const override
  {
    return m_state->Waiting(aId);
  }
  void CloseOne(WebsocketId aId) override { m_state->CloseOne(aId); }
  void Close() override { m_state->Close(); }

private:
  std::shared_ptr<State<ConfigType>> m_state;
};

} // namespace

std::unique_ptr<WebsocketEndpoint>
WebsocketEndpoint::Create(boost::asio::io_context& aContext,
                          const WebsocketSettings& aSettings,
                          WebsocketEvents aEvents)
{
  if (aSettings.tls) {
    return std::make_unique<Endpoint<TlsConfig>>(
      aContext, aSettings, std::move(aEvents));
  }
  return std::make_unique<Endpoint<PlainConfig>>(
    aContext, aSettings, std::move(aEvents));
}

} // namespace jujubehead::net
