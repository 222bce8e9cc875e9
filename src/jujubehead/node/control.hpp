#ifndef JUJUBEHEAD_NODE_CONTROL_HPP
#define JUJUBEHEAD_NODE_CONTROL_HPP

#include <atomic> // for atomic
#include <memory> // for unique_ptr
#include <string> // for string
#include <thread> // for thread

#include <boost/asio/awaitable.hpp>           // for awaitable
#include <boost/asio/co_spawn.hpp>            // for co_spawn
#include <boost/asio/executor_work_guard.hpp> // for executor_work_guard
#include <boost/asio/io_context.hpp>          // for io_context
#include <boost/asio/use_awaitable.hpp>       // for use_awaitable

#include "jujubehead/core/change_log.hpp"        // for TableSnapshot, TableView
#include "jujubehead/net/claim_store.hpp"        // for ClaimStore
#include "jujubehead/net/http_client.hpp"        // for HttpClient
#include "jujubehead/net/member_list.hpp"        // for MemberList
#include "jujubehead/net/object_store.hpp"       // for ObjectStore
#include "jujubehead/net/table_service.hpp"      // for TableService
#include "jujubehead/node/directory_service.hpp" // for DirectoryService
#include "jujubehead/node/entry_service.hpp"     // for EntryService
#include "jujubehead/node/member_book.hpp"       // for MemberBook
#include "jujubehead/node/metrics.hpp"           // for Metrics
#include "jujubehead/node/owner_service.hpp"     // for OwnerService
#include "jujubehead/node/ownership_service.hpp" // for OwnershipService
#include "jujubehead/node/peer_calls.hpp"        // for PeerCalls
#include "jujubehead/node/published.hpp"         // for Published
#include "jujubehead/node/serve_options.hpp"     // for ServeOptions
#include "jujubehead/node/status.hpp"            // for InstanceStatus
#include "jujubehead/node/store_service.hpp"     // for StoreService
#include "jujubehead/node/table_watch.hpp"       // for TableWatch
#include "jujubehead/node/target_watch.hpp"      // for TargetWatch

namespace jujubehead::node {

/// @brief The control state of one instance, on a thread of its own.
///
/// What stands above "On the control thread only" may be used from other
/// threads; the rest through OnControl().
class Control
{
public:
  /// @throws std::runtime_error when the peer address cannot be bound.
  static std::unique_ptr<Control> Create(const ServeOptions& aOptions);
  ~Control();

  /// @brief Starts the thread and the watches of the platform.
  void Start();
  /// @brief Ends the thread; what is left undone is dropped.
  void Stop();

  [[nodiscard]] boost::asio::io_context& Context() { return m_context; }
  /// @return the table in force, for traffic threads; never null.
  [[nodiscard]] std::shared_ptr<const core::TableSnapshot> Table() const
  {
    return m_published.Get();
  }
  [[nodiscard]] std::uint16_t PeerPort() const { return m_peers.Port(); }
  [[nodiscard]] Metrics& GetMetrics() { return *m_metrics; }
  /// @return requests of callers that are being served, over all threads.
  [[nodiscard]] std::atomic<std::size_t>& OpenRequests()
  {
    return m_open_requests;
  }

  // On the control thread only.
  [[nodiscard]] EntryService& Entry() { return m_entry; }
  [[nodiscard]] OwnerService& Owner() { return m_owner; }
  [[nodiscard]] net::ClaimStore& Claims() { return *m_claims; }
  [[nodiscard]] const MemberBook& Members() const { return m_members; }
  /// @return why this instance cannot serve yet; empty when it can.
  [[nodiscard]] std::string NotReadyBecause() const;
  [[nodiscard]] InstanceStatus Status() const;
  /// @brief Planned stop: says so in its readiness, and hands its targets over.
  void Leave();
  /// @return whether nothing is owned here any more after Leave().
  [[nodiscard]] bool HasLeft() const { return m_ownership.HasLeft(); }

private:
  struct Dispatch;

  explicit Control(const ServeOptions& aOptions);

  boost::asio::awaitable<wire::Message> OnMessage(core::InstanceId aFrom,
                                                  wire::Message aMessage);
  boost::asio::awaitable<void> WatchMembers();
  boost::asio::awaitable<void> TickOwners();
  void OnMembersChanged();
  void OnTableChanged();

  ServeOptions m_options;
  std::unique_ptr<Metrics> m_metrics;
  ThreadMetrics& m_control_metrics;
  std::atomic<std::size_t> m_open_requests{ 0 };
  bool m_leaving = false;
  boost::asio::io_context m_context;
  boost::asio::executor_work_guard<boost::asio::io_context::executor_type>
    m_work;
  std::unique_ptr<net::HttpClient> m_client;
  std::unique_ptr<net::MemberList> m_member_list;
  std::unique_ptr<net::TableService> m_table_service;
  std::unique_ptr<net::ObjectStore> m_object_store;
  std::unique_ptr<net::TableLog> m_log;
  std::unique_ptr<net::ClaimStore> m_claims;
  Published<core::TableSnapshot> m_published;
  MemberBook m_members;
  PeerCalls m_peers;
  TableWatch m_table;
  DirectoryService m_directory;
  OwnerService m_owner;
  StoreService m_stores;
  std::unique_ptr<net::OwnershipStore> m_ownership_store;
  OwnershipService m_ownership;
  EntryService m_entry;
  TargetWatch m_target_watch;
  std::thread m_thread;
};

/// @brief Runs a coroutine on the control thread and comes back with its
/// result to the thread of the caller.
template<typename T>
boost::asio::awaitable<T>
OnControl(Control& aControl, boost::asio::awaitable<T> aWork)
{
  co_return co_await boost::asio::co_spawn(
    aControl.Context(), std::move(aWork), boost::asio::use_awaitable);
}

} // namespace jujubehead::node

#endif // JUJUBEHEAD_NODE_CONTROL_HPP
