#ifndef JUJUBEHEAD_STANDIN_PATH_VIEW_HPP
#define JUJUBEHEAD_STANDIN_PATH_VIEW_HPP

#include <iosfwd> // for ostream
#include <map>    // for map
#include <memory> // for unique_ptr
#include <string> // for string

#include <boost/asio/awaitable.hpp>  // for awaitable
#include <boost/asio/io_context.hpp> // for io_context
#include <nlohmann/json.hpp>         // for json

#include "jujubehead/net/http_client.hpp" // for HttpClient
#include "jujubehead/net/http_server.hpp" // for HttpServer

#include "standin/fault_proxy.hpp" // for FaultProxy, PathCut

namespace jujubehead::standin {

/// @brief The network paths of one instance to all targets, which can be cut
/// while all other instances still reach them.
///
/// The instance reads the operators' store through this. In the targets' rows
/// it finds the addresses of proxies of its own in place of the targets'.
/// `PUT /admin/cut` with `{"how": "silent"}` cuts all paths, `none` heals them.
class PathView
{
public:
  /// @param aRows `ip:port` of the store of rows.
  /// @param aLog gets a line for each cut: Unix milliseconds, how.
  PathView(boost::asio::io_context& aContext,
           const ListenOptions& aListen,
           std::string aRows,
           std::ostream& aLog);
  ~PathView();
  PathView(const PathView&) = delete;
  PathView& operator=(const PathView&) = delete;
  PathView(PathView&&) = delete;
  PathView& operator=(PathView&&) = delete;

  [[nodiscard]] std::string Authority() const; ///< `address:port`.
  /// @throws std::invalid_argument for an unknown name.
  void SetCut(const std::string& aHow);

private:
  boost::asio::awaitable<void> Handle(net::HttpExchange& aExchange);
  boost::asio::awaitable<net::HttpResponse> Forward(
    const net::HttpRequest& aRequest);
  /// @brief Puts the proxies' addresses into a reply of the store.
  [[nodiscard]] std::string Rewrite(const std::string& aBody);
  [[nodiscard]] nlohmann::json RewriteRow(nlohmann::json aRow);
  FaultProxy& ProxyOf(const std::string& aTarget);

  boost::asio::io_context& m_context;
  std::string m_rows;
  std::ostream& m_log;
  std::string m_address;
  PathCut m_cut = PathCut::kNone;
  std::map<std::string, std::unique_ptr<FaultProxy>> m_proxies; ///< By target.
  std::unique_ptr<net::HttpClient> m_client;
  std::unique_ptr<net::HttpServer> m_server;
};

} // namespace jujubehead::standin

#endif // JUJUBEHEAD_STANDIN_PATH_VIEW_HPP
