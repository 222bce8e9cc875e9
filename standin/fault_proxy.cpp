#include "standin/fault_proxy.hpp"

#include <array>   // for array
#include <ostream> // for ostream
#include <utility> // for move

#include <boost/asio/as_tuple.hpp>      // for as_tuple
#include <boost/asio/co_spawn.hpp>      // for co_spawn
#include <boost/asio/detached.hpp>      // for detached
#include <boost/asio/use_awaitable.hpp> // for use_awaitable
#include <boost/asio/write.hpp>         // for async_write

#include "jujubehead/net/http1/connection_end.hpp" // for EndOf
#include "jujubehead/net/reset_on_close.hpp"       // for CloseWithReset
#include "standin/face.hpp" // for EndpointOf, NowMs, Wait

namespace jujubehead::standin {
namespace {

namespace asio = boost::asio;
using asio::ip::tcp;
using std::chrono::milliseconds;

constexpr auto kTuple = asio::as_tuple(asio::use_awaitable);
constexpr std::size_t kChunkBytes = 16UL * 1024;
/// How often a blocked direction, or a closed listener, checks again.
constexpr milliseconds kPoll{ 10 };
constexpr milliseconds kMinFault{ 200 };
constexpr milliseconds kMinDelay{ 5 };
constexpr milliseconds kMaxDelay{ 300 };

milliseconds
Between(std::mt19937_64& aRandom, milliseconds aFrom, milliseconds aTo)
{
  return milliseconds(std::uniform_int_distribution<std::int64_t>(
    aFrom.count(), aTo.count())(aRandom));
}

} // namespace

struct FaultProxy::Connection
{
  tcp::socket caller;
  tcp::socket upstream;
  int open_directions = 2;

  void ResetBoth()
  {
    net::CloseWithReset(caller);
    net::CloseWithReset(upstream);
  }
};

FaultProxy::FaultProxy(asio::io_context& aContext,
                       FaultProxyOptions aOptions,
                       std::ostream& aLog)
  : m_context(aContext)
  , m_options(std::move(aOptions))
  , m_log(aLog)
  , m_endpoint(asio::ip::make_address(m_options.listen.address),
               m_options.listen.port)
  , m_upstream(EndpointOf(m_options.upstream))
  , m_random(m_options.seed)
{
}

FaultProxy::~FaultProxy() = default;

void
FaultProxy::Start()
{
  m_acceptor.emplace(m_context, m_endpoint);
  m_endpoint = m_acceptor->local_endpoint();
  asio::co_spawn(m_context, Accept(), asio::detached);
  if (m_options.mean_calm.count() > 0) {
    asio::co_spawn(m_context, CauseFaults(), asio::detached);
  }
}

void
FaultProxy::SetCut(PathCut aCut)
{
  m_cut = aCut;
  m_fault = aCut == PathCut::kSilent     ? Fault::kSilence
            : aCut == PathCut::kToTarget ? Fault::kDropToUpstream
                                         : Fault::kNone;
  m_filler.reset();
  if (aCut == PathCut::kSilent || aCut == PathCut::kToTarget) {
    FillListenQueue();
  } else if (aCut != PathCut::kNone) {
    m_acceptor.reset();
  } else if (m_acceptor) {
    m_acceptor->listen();
    m_acceptor->cancel(); // Accept() goes on.
  }
  if (aCut == PathCut::kReset) {
    ResetAll();
  }
}

void
FaultProxy::FillListenQueue()
{
  if (!m_acceptor) {
    return;
  }
  m_acceptor->cancel();
  m_acceptor->listen(0);
  m_filler.emplace(m_context);
  boost::system::error_code ignored;
  m_filler->connect(m_endpoint, ignored);
}

std::string
FaultProxy::Authority() const
{
  return m_endpoint.address().to_string() + ':' +
         std::to_string(m_endpoint.port());
}

const char*
FaultProxy::NameOf(Fault aFault)
{
  constexpr std::array<const char*, 6> kNames{
    "none", "delay", "reset", "drop_to_upstream", "drop_to_caller", "silence"
  };
  return kNames.at(static_cast<std::size_t>(aFault));
}

bool
FaultProxy::IsBlocked(bool aIsToUpstream) const
{
  return m_fault == Fault::kSilence ||
         m_fault ==
           (aIsToUpstream ? Fault::kDropToUpstream : Fault::kDropToCaller);
}

asio::awaitable<void>
FaultProxy::CauseFaults()
{
  constexpr int kLastFault = static_cast<int>(Fault::kSilence);
  std::exponential_distribution<> calm(
    1.0 / static_cast<double>(m_options.mean_calm.count()));
  std::uniform_int_distribution<int> kind(1, kLastFault);
  for (;;) {
    co_await Wait(milliseconds(static_cast<std::int64_t>(calm(m_random))));
    const auto fault = static_cast<Fault>(kind(m_random));
    const milliseconds time = Between(m_random, kMinFault, m_options.max_fault);
    const EpochMs begin = NowMs();
    m_log << begin << ' ' << begin + time.count() << ' ' << NameOf(fault)
          << std::endl;
    if (fault == Fault::kReset) {
      ResetAll();
      continue;
    }
    m_fault = fault;
    co_await Wait(time);
    m_fault = Fault::kNone;
  }
}

asio::awaitable<void>
FaultProxy::Accept()
{
  for (;;) {
    if (!m_acceptor) {
      co_await Wait(kPoll);
      if (m_cut == PathCut::kNone && !IsUpstreamGone()) {
        m_acceptor.emplace(m_context, m_endpoint);
      }
      continue;
    }
    if (m_filler) {
      co_await Wait(kPoll);
      continue;
    }
    auto [error, caller] = co_await m_acceptor->async_accept(kTuple);
    if (!error) {
      auto connection = std::make_shared<Connection>(
        Connection{ std::move(caller), tcp::socket(m_context) });
      m_connections.insert(connection);
      asio::co_spawn(m_context, Relay(std::move(connection)), asio::detached);
    }
  }
}

asio::awaitable<void>
FaultProxy::Relay(std::shared_ptr<Connection> aConnection)
{
  const auto [error] =
    co_await aConnection->upstream.async_connect(m_upstream, kTuple);
  if (error) {
    CloseIfUpstreamIsGone();
    net::CloseWithReset(aConnection->caller);
    m_connections.erase(aConnection);
    co_return;
  }
  asio::co_spawn(m_context, Pump(aConnection, true), asio::detached);
  asio::co_spawn(m_context, Pump(aConnection, false), asio::detached);
}

asio::awaitable<void>
FaultProxy::Pump(std::shared_ptr<Connection> aConnection, bool aIsToUpstream)
{
  tcp::socket& from =
    aIsToUpstream ? aConnection->caller : aConnection->upstream;
  tcp::socket& to = aIsToUpstream ? aConnection->upstream : aConnection->caller;
  std::array<char, kChunkBytes> chunk{};
  boost::system::error_code error;
  while (!error) {
    std::size_t size = 0;
    std::tie(error, size) =
      co_await from.async_read_some(asio::buffer(chunk), kTuple);
    const bool is_open = aConnection->open_directions == 2;
    if (error == asio::error::eof && is_open &&
        net::EndOf(from) == net::ConnectionEnd::kReset) {
      error = asio::error::connection_reset;
    }
    if (error && !aIsToUpstream) {
      CloseIfUpstreamIsGone();
    }
    while (IsBlocked(aIsToUpstream) && from.is_open()) {
      co_await Wait(kPoll);
    }
    if (m_fault == Fault::kDelay) {
      co_await Wait(Between(m_random, kMinDelay, kMaxDelay));
    }
    if (!error) {
      std::tie(error, size) = co_await asio::async_write(
        to, asio::buffer(chunk.data(), size), kTuple);
    }
  }
  if (error != asio::error::eof) {
    aConnection->ResetBoth();
  }
  boost::system::error_code ignored;
  to.shutdown(tcp::socket::shutdown_send, ignored);
  if (--aConnection->open_directions == 0) {
    m_connections.erase(aConnection);
  }
}

bool
FaultProxy::IsUpstreamGone()
{
  tcp::socket probe(m_context);
  boost::system::error_code error;
  probe.connect(m_upstream, error);
  return error == asio::error::connection_refused;
}

void
FaultProxy::CloseIfUpstreamIsGone()
{
  if (m_acceptor && IsUpstreamGone()) {
    m_acceptor.reset();
    ResetAll();
  }
}

void
FaultProxy::ResetAll()
{
  for (const auto& connection : m_connections) {
    connection->ResetBoth();
  }
}

} // namespace jujubehead::standin
