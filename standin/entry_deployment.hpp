#ifndef JUJUBEHEAD_STANDIN_ENTRY_DEPLOYMENT_HPP
#define JUJUBEHEAD_STANDIN_ENTRY_DEPLOYMENT_HPP

#include <chrono>     // for milliseconds
#include <cstddef>    // for size_t
#include <cstdint>    // for uint64_t
#include <functional> // for function
#include <memory>     // for unique_ptr
#include <string>     // for string
#include <vector>     // for vector

#include <nlohmann/json.hpp> // for json

#include "jujubehead/net/http_message.hpp" // for HttpResponse
#include "jujubehead/node/metrics.hpp"     // for Counter
#include "standin/stand_in.hpp"            // for RegisteredOptions

namespace jujubehead::standin {

/// @brief What differs between deployments.
struct EntryDeploymentOptions
{
  std::size_t targets = 2; ///< Of each kind.
  /// As in node::EntryOptions.
  std::chrono::milliseconds weights_time = std::chrono::seconds(10);
  std::size_t instances = 1; ///< They know each other.
  std::chrono::seconds first_quarantine{ 60 };
  /// Of the first instances; all others are in `dc-1`.
  std::vector<std::string> data_centres{};
  /// Software of the models in turn; empty: none is registered.
  std::vector<std::string> software_versions{};
  /// As in core::WindowedRetryBudgetOptions.
  double retries_per_request = 100;
  double hedge_share = 0;                         ///< As in node::EntryOptions.
  std::size_t memory_bytes = 256UL * 1024 * 1024; ///< Of each machine.
  std::chrono::milliseconds stop_grace{ 8000 };   ///< As in node::EntryOptions.
  /// Each instance reaches the targets over paths of its own; see SetCut().
  bool has_path_views = false;
};

/// @brief Entry instances and the stand-ins of the platform that they need, in
/// one process: real sockets on loopback, real threads. For tests.
///
/// A target that crashes refuses connections, loses its entry in the registry,
/// and is back at its address, under a new id, after a moment.
///
/// Host `a.example`: `/chat/` streams from the models and may be resumed,
/// `/once/` is a plain call that may run once, `/calls/` one that may repeat.
class EntryDeployment
{
public:
  /// @brief Starts everything and waits until the instance serves.
  /// @throws std::runtime_error when that does not come about.
  static std::unique_ptr<EntryDeployment> Start(
    const EntryDeploymentOptions& aOptions);
  virtual ~EntryDeployment() = default;

  /// @brief Calls the instance and waits for its whole reply. A reply that was
  /// cut off has status 0 and what came of its body.
  virtual net::HttpResponse Call(const std::string& aMethod,
                                 const std::string& aPath,
                                 const net::HttpHeaders& aHeaders,
                                 std::string aBody) = 0;
  /// @brief The same, at the instance of that index.
  virtual net::HttpResponse CallAt(std::size_t aInstance,
                                   const std::string& aMethod,
                                   const std::string& aPath,
                                   const net::HttpHeaders& aHeaders,
                                   std::string aBody) = 0;
  /// @brief Sends any bytes and returns what comes until the end.
  virtual std::string CallRaw(const std::string& aBytes) = 0;
  /// @brief Sends a request, and leaves after a time without reading.
  virtual void CallAndLeave(const std::string& aBytes,
                            std::chrono::milliseconds aAfter) = 0;

  /// @brief Ends all instances as a kill would, and starts them anew; waits
  /// until they serve. @throws std::runtime_error when that does not come
  /// about.
  virtual void Restart() = 0;

  /// @brief The same with one instance; waits until all know its new address.
  virtual void RestartAt(std::size_t aInstance) = 0;

  /// @brief Lets the control thread of an instance stand still for a time that
  /// begins now; its traffic thread goes on.
  virtual void HoldControl(std::size_t aInstance,
                           std::chrono::milliseconds aTime) = 0;

  /// @brief Ends one instance as a kill would, for good.
  virtual void Stop(std::size_t aInstance) = 0;

  /// @brief Requests a planned stop of an instance, as SIGTERM does.
  virtual void RequestStop(std::size_t aInstance) = 0;
  /// @brief Waits until its planned stop is over, and ends it.
  /// @return whether that came about.
  virtual bool AwaitStop(std::size_t aInstance) = 0;

  /// @param aName `model0`, `model1`, ..., `service0`, ..., `rows`, `parts`.
  /// @return of a target that crashed: of its present run.
  virtual nlohmann::json Stats(const std::string& aName) = 0;
  /// @return the crashes of all targets until now.
  virtual std::size_t Crashes() = 0;
  virtual void SetFault(const std::string& aName,
                        const std::string& aFault,
                        const nlohmann::json& aBody) = 0;
  /// @return a counter of the instance of that index.
  virtual std::uint64_t Total(std::size_t aInstance,
                              node::Counter aCounter) = 0;
  /// @return the port at which an instance takes callers.
  virtual std::uint16_t CallerPort(std::size_t aInstance) = 0;
  /// @return the port at which an instance opens tunnels for others.
  virtual std::uint16_t TunnelPort(std::size_t aInstance) = 0;
  /// @brief Cuts an instance's paths to all targets, see PathView. Only with
  /// `has_path_views`.
  virtual void SetCut(std::size_t aInstance, const std::string& aHow) = 0;
  /// @brief Writes a row of the store, as whoever may; null: removes it.
  virtual void PutRow(const std::string& aTable,
                      const std::string& aKey,
                      const nlohmann::json& aValue) = 0;
  /// @brief Writes a row that holds no JSON.
  virtual void PutGarbage(const std::string& aTable,
                          const std::string& aKey) = 0;
  /// @return the entry under which a target registers.
  virtual nlohmann::json EntryOf(const std::string& aName) = 0;
  /// @brief Starts one more target, and registers it.
  virtual void AddTarget(const std::string& aName) = 0;
  /// @brief Registers another address in place of a target, under the id
  /// `raw-NAME`, and waits until the instances have read it.
  /// @return whether they have.
  virtual bool ReplaceTarget(const std::string& aName,
                             const std::string& aAddress) = 0;
  /// @return the operator's configuration as it was first written.
  virtual nlohmann::json Configuration() = 0;
  /// @brief Waits until the instance has read all rows as they are now.
  virtual bool AwaitRead() = 0;
  /// @brief Waits, with a bound of a minute, until a condition holds.
  /// @return whether it does.
  virtual bool Await(const std::function<bool()>& aCondition) = 0;
};

} // namespace jujubehead::standin

#endif // JUJUBEHEAD_STANDIN_ENTRY_DEPLOYMENT_HPP
