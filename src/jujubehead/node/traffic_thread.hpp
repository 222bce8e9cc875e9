#ifndef JUJUBEHEAD_NODE_TRAFFIC_THREAD_HPP
#define JUJUBEHEAD_NODE_TRAFFIC_THREAD_HPP

#include <memory> // for unique_ptr
#include <string> // for string

#include <boost/asio/io_context.hpp> // for io_context

#include "jujubehead/core/overload/capacity.hpp"      // for Capacity
#include "jujubehead/core/overload/memory_budget.hpp" // for MemoryBudget
#include "jujubehead/core/retry_budget.hpp"           // for RetryBudget
#include "jujubehead/net/http_client.hpp"             // for HttpClient
#include "jujubehead/node/authenticator.hpp"          // for Authenticator
#include "jujubehead/node/control.hpp"                // for Control
#include "jujubehead/node/serve_options.hpp"          // for ServeOptions

namespace jujubehead::node {

/// @brief What the requests of one traffic thread share.
struct TrafficThread
{
  TrafficThread(const ServeOptions& aOptions, Control& aControl)
    : options(aOptions)
    , control(aControl)
    , client(net::HttpClient::Create(context))
    , capacity(core::CapacityOf(aOptions.machine,
                                aOptions.caller_tls ? core::kTlsConnectionBytes
                                                    : core::kConnectionBytes))
    , memory(std::make_shared<core::MemoryBudget>(capacity.traffic_bytes /
                                                  aOptions.traffic_threads))
    , metrics(aControl.GetMetrics().ForThread())
  {
  }

  const ServeOptions& options;
  Control& control;
  boost::asio::io_context context{ 1 };
  std::unique_ptr<net::HttpClient> client;
  core::Capacity capacity; ///< Of the instance.
  /// Of this thread's requests and replies.
  std::shared_ptr<core::MemoryBudget> memory;
  Authenticator authenticator;
  core::RetryBudget retry_budget{ core::RetryBudgetOptions{} };
  std::string request_prefix;     ///< Unique to this thread of this process.
  std::uint64_t next_request = 0; ///< After the prefix.
  ThreadMetrics& metrics;
};

} // namespace jujubehead::node

#endif // JUJUBEHEAD_NODE_TRAFFIC_THREAD_HPP
