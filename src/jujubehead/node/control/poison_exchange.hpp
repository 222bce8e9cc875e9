#ifndef JUJUBEHEAD_NODE_CONTROL_POISON_EXCHANGE_HPP
#define JUJUBEHEAD_NODE_CONTROL_POISON_EXCHANGE_HPP

#include <cstddef>     // for size_t
#include <cstdint>     // for uint64_t
#include <functional>  // for function
#include <map>         // for map
#include <memory>      // for unique_ptr
#include <optional>    // for optional
#include <string>      // for string
#include <string_view> // for string_view
#include <vector>      // for vector

#include <boost/asio/awaitable.hpp>  // for awaitable
#include <boost/asio/io_context.hpp> // for io_context

#include "jujubehead/core/membership/hubs.hpp"              // for HubRole
#include "jujubehead/core/membership/poison_report_log.hpp" // for PoisonReportLog
#include "jujubehead/net/http_client.hpp"                   // for HttpClient
#include "jujubehead/net/http_server.hpp"                   // for HttpExchange
#include "jujubehead/node/metrics.hpp"                      // for Gauge

namespace jujubehead::node {

/// Path of the request by which an instance sends reports about suspects.
inline constexpr std::string_view kPoisonReportsPath = "/poison-reports";

/// @brief Distributes the reports about suspects, over the tree of
/// core::HubPlan.
///
/// An instance sends each report to its upstream at once, a reader to the other
/// readers, which are all other instances where there is no tree. Downwards the
/// reports come with the polls of HubExchange. Nothing is sent while no target
/// crashes.
class PoisonExchange
{
public:
  using ReportsHook = std::function<void(std::vector<core::PoisonReport>)>;

  /// @param aOnReports takes the reports of other instances.
  PoisonExchange(boost::asio::io_context& aContext,
                 const core::HubRole& aRole,
                 ReportsHook aOnReports);

  /// @brief Passes on a report of this instance.
  void Report(const core::PoisonReport& aReport);
  /// @brief Answers a kPoisonReportsPath request of another instance.
  boost::asio::awaitable<void> Handle(net::HttpExchange& aExchange);

  /// @return the reports for an instance that polls this one.
  [[nodiscard]] core::PoisonReportLog::Page PageAfter(
    std::uint64_t aPosition) const
  {
    return m_log.After(aPosition, false);
  }
  /// @brief Takes the reports that an upstream sent with a poll's reply.
  void OnPage(std::vector<core::PoisonReport> aReports);
  [[nodiscard]] std::vector<Gauge> Gauges() const;

private:
  /// What a receiver has acknowledged.
  struct Receiver
  {
    std::uint64_t position = 0;
    std::string start; ///< Identifies its run; another one has no reports.
    bool is_sending = false;
  };

  void Put(std::vector<core::PoisonReport> aReports,
           core::ReportOrigin aOrigin);
  void Send();
  /// @return the receivers of this instance's reports: ids of other readers, or
  /// the name that stands for its upstreams.
  [[nodiscard]] std::vector<std::string> Receivers() const;
  /// @return the instance to send to; nothing if it is no receiver any more.
  [[nodiscard]] std::optional<core::KnownInstance> Find(
    std::string_view aReceiver,
    std::size_t aFailures) const;
  boost::asio::awaitable<void> SendTo(std::string aReceiver);
  /// @return the run of the process that took them; nothing if none did.
  boost::asio::awaitable<std::optional<std::string>> Post(
    core::KnownInstance aReceiver,
    std::string aBytes);

  boost::asio::io_context& m_context;
  const core::HubRole& m_role;
  ReportsHook m_on_reports;
  core::PoisonReportLog m_log;
  std::map<std::string, Receiver> m_receivers; ///< See Receivers().
  std::string m_start; ///< Identifies this run of the process.
  std::unique_ptr<net::HttpClient> m_client;
  std::uint64_t m_sent_bytes = 0;
};

} // namespace jujubehead::node

#endif // JUJUBEHEAD_NODE_CONTROL_POISON_EXCHANGE_HPP
