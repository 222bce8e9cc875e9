#ifndef JUJUBEHEAD_STANDIN_FAULT_PROXY_HPP
#define JUJUBEHEAD_STANDIN_FAULT_PROXY_HPP

#include <chrono>   // for milliseconds
#include <cstdint>  // for uint64_t
#include <iosfwd>   // for ostream
#include <memory>   // for unique_ptr
#include <optional> // for optional
#include <random>   // for mt19937_64
#include <set>      // for set
#include <string>   // for string

#include <boost/asio/awaitable.hpp>  // for awaitable
#include <boost/asio/io_context.hpp> // for io_context
#include <boost/asio/ip/tcp.hpp>     // for tcp

#include "standin/stand_in.hpp" // for ListenOptions

namespace jujubehead::standin {

/// @brief Which faults a FaultProxy causes, and how often.
struct FaultProxyOptions
{
  ListenOptions listen;
  std::string upstream; ///< `ip:port`.
  std::uint64_t seed = 1;
  /// Mean time without a fault, between two; 0: no faults.
  std::chrono::milliseconds mean_calm{ 10000 };
  std::chrono::milliseconds max_fault{ 5000 };
};

/// @brief How a path is cut on demand.
enum class PathCut : std::uint8_t
{
  kNone,
  kSilent,   ///< Nothing passes, and new connections get no response.
  kToTarget, ///< The same, but replies pass on open connections.
  kReset,    ///< Open connections are reset, new ones refused.
  kClosed,   ///< New connections are refused, open ones go on.
};

/// @brief Relays TCP connections to one upstream and, from time to time, delays
/// or resets them, drops one direction, or keeps them silent.
///
/// It refuses connections while the upstream does, so that callers see the end
/// of its process as they would without the proxy.
class FaultProxy
{
public:
  /// @param aLog gets a line for each fault: begin and end in Unix
  /// milliseconds, kind.
  FaultProxy(boost::asio::io_context& aContext,
             FaultProxyOptions aOptions,
             std::ostream& aLog);
  ~FaultProxy();
  FaultProxy(const FaultProxy&) = delete;
  FaultProxy& operator=(const FaultProxy&) = delete;
  FaultProxy(FaultProxy&&) = delete;
  FaultProxy& operator=(FaultProxy&&) = delete;

  /// @throws boost::system::system_error when the address is not free.
  void Start();
  /// @brief Cuts the path until the next call. Not beside random faults.
  void SetCut(PathCut aCut);
  [[nodiscard]] std::string Authority() const; ///< `address:port`.

private:
  enum class Fault : std::uint8_t
  {
    kNone,
    kDelay,          ///< Each chunk.
    kReset,          ///< All connections, at the begin.
    kDropToUpstream, ///< Nothing passes in this direction.
    kDropToCaller,
    kSilence, ///< Nothing passes.
  };
  struct Connection;

  [[nodiscard]] static const char* NameOf(Fault aFault);
  /// @brief Whether a direction passes nothing now.
  [[nodiscard]] bool IsBlocked(bool aIsToUpstream) const;

  boost::asio::awaitable<void> CauseFaults();
  boost::asio::awaitable<void> Accept();
  boost::asio::awaitable<void> Relay(std::shared_ptr<Connection> aConnection);
  boost::asio::awaitable<void> Pump(std::shared_ptr<Connection> aConnection,
                                    bool aIsToUpstream);
  /// @brief Refuses connections, and closes all, if the upstream refuses them.
  void CloseIfUpstreamIsGone();
  [[nodiscard]] bool IsUpstreamGone();
  void ResetAll();
  /// @brief Lets the kernel drop the opening packets of new connections.
  void FillListenQueue();

  boost::asio::io_context& m_context;
  FaultProxyOptions m_options;
  std::ostream& m_log;
  boost::asio::ip::tcp::endpoint m_endpoint;
  boost::asio::ip::tcp::endpoint m_upstream;
  std::optional<boost::asio::ip::tcp::acceptor> m_acceptor;
  /// Fills the acceptor's queue while new connections get no response.
  std::optional<boost::asio::ip::tcp::socket> m_filler;
  std::set<std::shared_ptr<Connection>> m_connections;
  std::mt19937_64 m_random;
  Fault m_fault = Fault::kNone;
  PathCut m_cut = PathCut::kNone;
};

} // namespace jujubehead::standin

#endif // JUJUBEHEAD_STANDIN_FAULT_PROXY_HPP
