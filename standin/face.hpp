#ifndef JUJUBEHEAD_STANDIN_FACE_HPP
#define JUJUBEHEAD_STANDIN_FACE_HPP

#include <chrono>     // for milliseconds
#include <cstdint>    // for uint16_t
#include <functional> // for function
#include <map>        // for map
#include <memory>     // for enable_shared_from_this, unique_ptr
#include <string>     // for string
#include <vector>     // for vector

#include <boost/asio/awaitable.hpp>  // for awaitable
#include <boost/asio/io_context.hpp> // for io_context
#include <boost/asio/ip/tcp.hpp>     // for tcp
#include <nlohmann/json.hpp>         // for json

#include "jujubehead/net/http_server.hpp" // for HttpExchange, HttpServer

#include "standin/event_log.hpp" // for EpochMs

namespace jujubehead::standin {

/// @return the platform's time now.
[[nodiscard]] EpochMs
NowMs();

/// @brief Waits on the steady clock, whatever the process's clock does.
boost::asio::awaitable<void>
Wait(std::chrono::microseconds aTime);

/// @return the endpoint that `ip:port` names.
[[nodiscard]] boost::asio::ip::tcp::endpoint
EndpointOf(const std::string& aAuthority);

/// @brief Sends a JSON reply.
boost::asio::awaitable<void>
Reply(net::HttpExchange& aExchange,
      unsigned aStatus,
      const nlohmann::json& aBody);
/// @return `{"error":{"code","message","type"}}`.
[[nodiscard]] nlohmann::json
ErrorJson(const std::string& aCode);
/// @brief Sends ErrorJson(). Bodies are made outside coroutines: g++ 12 fails
/// on nested initialiser lists inside them.
boost::asio::awaitable<void>
ReplyError(net::HttpExchange& aExchange,
           unsigned aStatus,
           const std::string& aCode);

/// @return the parts of a request's path, without the slashes.
[[nodiscard]] std::vector<std::string>
PathParts(const net::HttpRequest& aRequest);

/// @brief The HTTP side that all stand-ins share: listening, faults, counters.
class Face : public std::enable_shared_from_this<Face>
{
public:
  Face() = default;
  Face(const Face&) = delete;
  Face& operator=(const Face&) = delete;
  Face(Face&&) = delete;
  Face& operator=(Face&&) = delete;
  virtual ~Face() = default;

  /// @brief Starts to serve. @throws boost::system::system_error.
  void Listen(boost::asio::io_context& aContext,
              net::HttpServerOptions aOptions);
  /// @brief Closes all connections and ends the coroutines.
  virtual void Stop();
  [[nodiscard]] std::uint16_t Port() const { return m_server->Port(); }
  /// @brief What `crash_now` does after the state is lost, for a process: end.
  void SetOnCrash(std::function<void()> aOnCrash);

  void SetFault(const std::string& aName, const nlohmann::json& aBody);
  void ClearFaults();
  [[nodiscard]] virtual nlohmann::json Stats() const = 0;

protected:
  /// @brief Serves a request that no fault has stopped.
  virtual boost::asio::awaitable<void> Handle(net::HttpExchange& aExchange) = 0;
  /// @brief Starts the coroutines beside the server.
  virtual void OnListening(boost::asio::io_context& /*aContext*/) {}
  virtual void OnFaultsChanged() {}
  /// @brief Loses what a process loses when it dies.
  virtual void LoseState() {}
  /// @return whether `slow` delays whole requests.
  [[nodiscard]] virtual bool SlowDelaysRequests() const { return true; }

  [[nodiscard]] const nlohmann::json* Fault(const std::string& aName) const;
  [[nodiscard]] std::chrono::milliseconds FaultMs(
    const std::string& aName) const;
  /// @return whether a counted fault applies now; uses up one.
  bool TakeFault(const std::string& aName);
  /// @brief Loses the state and is down until the faults are cleared.
  void Crash();

private:
  boost::asio::awaitable<void> Serve(net::HttpExchange& aExchange);
  boost::asio::awaitable<void> ServeAdmin(net::HttpExchange& aExchange);

  std::unique_ptr<net::HttpServer> m_server;
  std::map<std::string, nlohmann::json> m_faults;
  std::function<void()> m_on_crash;
};

} // namespace jujubehead::standin

#endif // JUJUBEHEAD_STANDIN_FACE_HPP
