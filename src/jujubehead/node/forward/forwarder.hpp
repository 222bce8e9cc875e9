#ifndef JUJUBEHEAD_NODE_FORWARD_FORWARDER_HPP
#define JUJUBEHEAD_NODE_FORWARD_FORWARDER_HPP

#include <atomic>     // for atomic
#include <functional> // for function
#include <map>        // for map
#include <memory>     // for shared_ptr, unique_ptr
#include <optional>   // for optional
#include <set>        // for set
#include <thread>     // for thread
#include <vector>     // for vector

#include <boost/asio/executor_work_guard.hpp> // for executor_work_guard
#include <boost/asio/io_context.hpp>          // for io_context
#include <boost/asio/ip/tcp.hpp>              // for tcp

#include "jujubehead/core/context/part_directory.hpp"   // for PartEventPage
#include "jujubehead/core/routing/configuration.hpp"    // for Configuration
#include "jujubehead/core/routing/poison_requests.hpp"  // for PoisonReport
#include "jujubehead/core/routing/target_directory.hpp" // for RegisteredTarget
#include "jujubehead/core/weights/superseded_versions.hpp" // for Superseded...
#include "jujubehead/node/forward/entry_options.hpp"       // for EntryOptions
#include "jujubehead/node/forward/header_codec.hpp"        // for HeaderCodec

#include "caller_session.hpp" // for RequestHandler
#include "forward_state.hpp"  // for ForwardState
#include "tunnel_server.hpp"  // for TunnelServer

namespace jujubehead::node {

/// @brief The traffic thread: serves callers' connections and their requests.
/// All public member functions may be called from the control thread.
class Forwarder : public RequestHandler
{
public:
  /// @throws boost::system::system_error when the address cannot be bound.
  Forwarder(const EntryOptions& aOptions,
            const HeaderCodec& aHeaderCodec,
            Metrics& aMetrics);
  ~Forwarder() override;
  Forwarder(const Forwarder&) = delete;
  Forwarder& operator=(const Forwarder&) = delete;
  Forwarder(Forwarder&&) = delete;
  Forwarder& operator=(Forwarder&&) = delete;

  void Start();
  /// @brief Ends the thread; open requests are aborted.
  void Stop();
  /// Called on the traffic thread.
  struct StopHooks
  {
    /// @return when a planned stop was requested, if it was.
    std::function<std::optional<core::Instant>()> requested_at;
    /// Waits for the request.
    std::function<boost::asio::awaitable<void>()> wait;
    /// Nothing is open any more, or there is no time left.
    std::function<void()> on_ended;
  };
  /// @brief Carries out a planned stop, as core::StopSchedule says, once it is
  /// requested. Before Start().
  void SetStopHooks(StopHooks aHooks);
  /// @return connections of callers, and tunnels of other instances.
  [[nodiscard]] std::size_t Sessions() const
  {
    return m_connections.Size() + m_tunnels.Tunnels();
  }
  [[nodiscard]] std::size_t OpenRequests() const { return m_open_requests; }
  [[nodiscard]] std::size_t CallerConnectionCount() const
  {
    return m_connections.Size();
  }
  /// @return memory that requests and replies hold.
  [[nodiscard]] std::size_t HeldBytes() const
  {
    return m_state.memory->Bytes();
  }
  /// @return this instance's requests in data centres with a planned stop.
  [[nodiscard]] std::uint64_t RequestsInStopped() const
  {
    return m_state.requests_in_stopped;
  }
  /// @return the requests in quarantine.
  [[nodiscard]] std::size_t Quarantined() const { return m_state.quarantined; }
  [[nodiscard]] std::uint16_t Port() const;
  /// @return the port for tunnels of other instances; 0: none.
  [[nodiscard]] std::uint16_t TunnelPort() const { return m_tunnels.Port(); }
  /// @return whether this instance has lost its paths to the targets.
  [[nodiscard]] bool IsPartitioned() const
  {
    return m_state.connector.IsPartitioned();
  }
  /// @return the targets to which this instance has lost its path.
  [[nodiscard]] std::size_t LostPaths() const
  {
    return m_state.connector.LostPaths();
  }
  /// @return open tunnels of other instances.
  [[nodiscard]] std::size_t Tunnels() const { return m_tunnels.Tunnels(); }
  /// @brief Sets the other instances, through which targets may be reached.
  void SetInstances(std::vector<core::KnownInstance> aOthers);

  void SetConfiguration(std::shared_ptr<const core::Configuration> aValue);
  void ApplyTargets(std::vector<core::RegistrationChange> aChanges);
  void SetLoading(std::set<core::TargetId> aTargets);
  /// @brief Sets which data centres have a planned stop.
  /// @param aEnded those whose stop has just ended.
  void SetStoppedDataCentres(std::set<core::DataCentreId> aStopped,
                             std::set<core::DataCentreId> aEnded);
  void SetWantedWeights(std::map<core::ModelId, core::DesiredWeights> aWanted);
  /// @brief Records that a version of a model has been loaded at a target.
  void OnWeightsLoaded(core::TargetId aTarget, core::LoadedModel aLoaded);
  void OnPartEvents(std::vector<core::StorePage> aPages);
  /// @brief Drops the parts of superseded scopes from the directory.
  void DropParts(core::SupersededScopes aScopes);
  /// @brief Applies load reports of other instances and passes on those that
  /// this one collected since the last call.
  /// @param aOnPending called on the traffic thread.
  void ExchangeLoads(
    std::vector<core::TargetLoadReport> aReports,
    std::function<void(std::vector<core::TargetLoadReport>)> aOnPending);
  /// @brief Applies reports of other instances about targets.
  void ApplyReports(std::vector<core::TargetLoadReport> aReports);
  /// @brief Sets what passes reports of limits and of brittle services on to
  /// the other instances. It is called on the traffic thread.
  void SetSignalHook(std::function<void(const core::TargetLoadReport&)> aHook);
  /// @brief Sets this instance's share of the fleet's fixed retries.
  void SetRetryShare(double aShare, core::Instant aUntil);
  /// @brief Sets which instances share the limits of targets.
  /// @param aFrom this instance uses no share before.
  void SetHolders(core::HolderRing aHolders, core::Instant aFrom);
  /// Called on the traffic thread.
  struct StreamHooks
  {
    /// Keeps the origins of this instance's streams at other instances.
    std::function<void(std::vector<core::StreamOrigin>)> on_streams;
    /// Asks them for one; the reply may come on any thread.
    std::function<void(core::StreamKey, const core::ServiceId&, VersionReply)>
      find_stream;
  };
  void SetStreamHooks(StreamHooks aHooks);
  /// @brief Sets the services at which one software version alone has served.
  /// @param aLongest time within which a stream that has begun may go on.
  void SetSoleVersions(core::SoleVersions aSole, core::Duration aLongest);
  /// Called on the traffic thread.
  struct PoisonHooks
  {
    /// Passes this instance's reports about suspects on to the other instances.
    std::function<void(const core::PoisonReport&)> on_report;
    /// Records that a quarantine began or is over.
    std::function<void(const core::Quarantine&)> on_quarantine;
    /// Records a request's next quarantine; the reply may come on any thread.
    std::function<void(const core::Quarantine&, ProbeReply)> claim_probe;
  };
  void SetPoisonHooks(PoisonHooks aHooks);
  /// @brief Applies other instances' reports about suspects.
  void OnPoisonReports(std::vector<core::PoisonReport> aReports);
  void OnRecordedQuarantine(core::Quarantine aQuarantine);
  /// @brief Forgets suspects and ends quarantines whose time is over.
  void TickPoison();
  void OnStoreUnreachable(core::StoreId aStore);
  void OnOperatorContact(core::Instant aWhen);

  boost::asio::awaitable<void> Handle(
    std::shared_ptr<CallerSession> aSession) override;
  [[nodiscard]] core::CallerLimits Limits() const override;
  [[nodiscard]] bool IsStopping() override;
  [[nodiscard]] std::shared_ptr<core::MemoryBudget> Memory() override
  {
    return m_state.memory;
  }
  CallerConnections& Connections() override { return m_connections; }
  FullResponse OnOverload(const net::MessageHead& aHead,
                          std::size_t aBytes) override;
  FullResponse OnShutdown(const net::MessageHead& aHead) override;
  void OnRejected(const std::string& aDetail, unsigned aStatus) override;

private:
  /// @brief Finds out at which services the routes compete for room.
  void UpdateRooms(const core::Declarations& aDeclarations);
  // The planned stop, in planned_stop.cpp.
  boost::asio::awaitable<void> PlannedStop();
  void BeginStop();
  /// @brief Takes the connections that are pending, and no more.
  void StopAccepting();
  /// @brief Closes the connections without a request in progress.
  void CloseIdle();
  void RejectIncomplete();
  /// @brief Logs what is open when the process ends.
  void LogOpenAtExit();
  /// Ends all coroutines while the objects that they refer to still exist.
  void EndSessions();
  boost::asio::awaitable<void> Accept();
  /// @return the response to a request that was not read to its end.
  [[nodiscard]] FullResponse RefuseUnread(const std::string& aRequestId,
                                          std::chrono::milliseconds aDelay,
                                          std::string aBody) const;
  /// @brief Serves a new connection, or rejects it if there are too many.
  void Serve(boost::asio::ip::tcp::socket aSocket);

  boost::asio::io_context m_context{ 1 };
  DecisionLog m_log;
  ForwardState m_state;
  TunnelServer m_tunnels;
  boost::asio::ip::tcp::acceptor m_acceptor;
  boost::asio::executor_work_guard<boost::asio::io_context::executor_type>
    m_work_guard;
  std::atomic<std::size_t> m_open_requests{ 0 };
  CallerConnections m_connections;
  StopHooks m_stop_hooks;
  std::thread m_thread;
};

} // namespace jujubehead::node

#endif // JUJUBEHEAD_NODE_FORWARD_FORWARDER_HPP
