#ifndef JUJUBEHEAD_NODE_CONTROL_PLATFORM_HPP
#define JUJUBEHEAD_NODE_CONTROL_PLATFORM_HPP

#include <cstdint>   // for uint64_t, uint8_t
#include <memory>    // for shared_ptr, unique_ptr
#include <optional>  // for optional
#include <stdexcept> // for runtime_error
#include <string>    // for string
#include <vector>    // for vector

#include <boost/asio/awaitable.hpp> // for awaitable

#include "jujubehead/core/context/part_directory.hpp"    // for PartEventPage
#include "jujubehead/core/routing/configuration.hpp"     // for Declarations
#include "jujubehead/core/routing/data_centre_stops.hpp" // for DataCentreStop...
#include "jujubehead/core/routing/target_directory.hpp" // for RegistrationChange
#include "jujubehead/core/runtime_clock.hpp"            // for Duration
#include "jujubehead/node/control/row_cache.hpp"        // for RowCache

namespace jujubehead::node {

/// @brief Why a call to the platform failed.
enum class PlatformFault : std::uint8_t
{
  kUnreachable, ///< No answer.
  kBusy,        ///< It answered that it is not serving now.
  kTooMany,     ///< It serves, but accepts no more calls now.
  kUnusable,    ///< It serves, but the answer is invalid or stale.
  kHistoryLost, ///< Changes since the cursor are no longer stored.
};

/// @return whether the fault suggests an outage, not only a failed call.
[[nodiscard]] constexpr bool
IsOutage(PlatformFault aFault)
{
  return aFault == PlatformFault::kUnreachable ||
         aFault == PlatformFault::kBusy;
}

/// @brief A call to the platform failed.
class PlatformError : public std::runtime_error
{
public:
  PlatformError(PlatformFault aFault, const std::string& aWhat)
    : std::runtime_error(aWhat)
    , m_fault(aFault)
  {
  }
  [[nodiscard]] PlatformFault Fault() const { return m_fault; }

private:
  PlatformFault m_fault;
};

/// @brief Rows written by the operator.
struct OperatorUpdate
{
  std::uint64_t cursor = 0; ///< For the next ReadChanges().
  /// From another instance's cache, while the store itself did not answer.
  bool is_from_cache = false;
  core::Instant answered_at{};  ///< Time as of which this was current.
  core::Instant requested_at{}; ///< When the request was sent.
  std::optional<core::Declarations> declarations;
  std::vector<core::LoadedModel> wanted; ///< To roll out to all targets.
  std::vector<core::DataCentreStopChange> stops;
  std::vector<std::string>
    skipped_rows; ///< Rows that failed to parse, and why.
};

/// @brief Registrations of targets.
struct RegistryUpdate
{
  std::uint64_t cursor = 0;
  bool is_from_cache = false;                    ///< As in OperatorUpdate.
  core::Instant answered_at{};                   ///< As in OperatorUpdate.
  std::vector<core::RegistrationChange> changes; ///< In their order.
  std::vector<std::string> skipped_rows;
};

/// @brief A row shared by the instances.
struct SharedRow
{
  std::string key;
  std::optional<std::string> value; ///< Nothing: the row was removed.
  std::uint64_t version = 0;        ///< Of its last change.
};

/// @brief Rows that instances wrote for each other.
struct SharedUpdate
{
  std::uint64_t cursor = 0;
  std::vector<SharedRow> rows;
};

/// @brief A data source whose changes can be followed.
template<typename Update>
class Feed
{
public:
  virtual ~Feed() = default;
  /// @brief Reads a consistent snapshot. @throws PlatformError.
  virtual boost::asio::awaitable<Update> ReadAll() = 0;
  /// @return whether reading costs nothing, so that no pause is needed.
  [[nodiscard]] virtual bool IsFree() const { return false; }
  /// @brief Reads what changed after a cursor; waits until something did.
  /// @throws PlatformError.
  virtual boost::asio::awaitable<Update> ReadChanges(std::uint64_t aAfter,
                                                     core::Duration aWait) = 0;
};

using OperatorFeed = Feed<OperatorUpdate>;
using RegistryFeed = Feed<RegistryUpdate>;

/// @brief Rows shared by the instances; the only state that outlives them.
class SharedRows : public Feed<SharedUpdate>
{
public:
  /// @brief Writes a row if it still has the expected version; 0 expects that
  /// there is none. No value removes the row.
  /// @return the row's new version; nothing if the row had changed.
  /// @throws PlatformError; the write may still take effect.
  virtual boost::asio::awaitable<std::optional<std::uint64_t>> Put(
    std::string aKey,
    std::optional<std::string> aValue,
    std::uint64_t aExpectedVersion) = 0;
  /// @return a time as of which the rows that were read are current; nothing
  /// when that is unknown.
  [[nodiscard]] virtual std::optional<core::Instant> CurrentAsOf() const = 0;
};

/// @brief Rows that instances write for those that start later. They are not
/// followed.
class CrashRows
{
public:
  virtual ~CrashRows() = default;
  /// @throws PlatformError.
  virtual boost::asio::awaitable<std::vector<SharedRow>> ReadAll() = 0;
  /// @brief As SharedRows::Put().
  virtual boost::asio::awaitable<std::optional<std::uint64_t>> Put(
    std::string aKey,
    std::optional<std::string> aValue,
    std::uint64_t aExpectedVersion) = 0;
};

/// @brief A target's report on its weights; a few hundred ms old.
struct WeightsReport
{
  std::vector<core::LoadedModel> models;
  std::uint64_t orders_taken = 0; ///< Since its start.
  bool is_busy = false;           ///< Executes an order.
  std::uint32_t requests = 0;     ///< Running or queued.
};

/// @brief What happens to running requests when weights are replaced.
enum class RunsMode : std::uint8_t
{
  kFinish,   ///< The order waits until they finish.
  kContinue, ///< They continue on the new weights.
};

/// @brief An order to load weights. The target refuses it if it accepted
/// another order since `orders_taken`, or is not `target`.
struct LoadOrder
{
  core::TargetId target;
  core::LoadedModel wanted;
  std::uint64_t orders_taken = 0;
  std::string holder;              ///< Lease holder that sends it.
  std::uint64_t fencing_token = 0; ///< Increases with each holder.
  RunsMode runs = RunsMode::kFinish;
};

/// @brief How a target answered an order.
enum class OrderAnswer : std::uint8_t
{
  kAccepted,      ///< It is being executed.
  kAlreadyLoaded, ///< The target already has these weights.
  kRefused,       ///< Another order is running or was accepted meanwhile, or
                  ///< the target is another one.
};

/// @brief Client for the weights API of targets.
class TargetOrders
{
public:
  virtual ~TargetOrders() = default;
  /// @throws PlatformError.
  virtual boost::asio::awaitable<WeightsReport> Report(
    std::string aAddress) = 0;
  /// @throws PlatformError; the order may still be executed.
  virtual boost::asio::awaitable<OrderAnswer> Load(std::string aAddress,
                                                   LoadOrder aOrder) = 0;
};

/// @brief Parts that a store is to free, unless it has restarted since.
struct FreeRequest
{
  std::uint64_t epoch = 0;
  std::vector<core::ScopedPart> parts;
};

/// @brief Client of the KV cache stores.
class StoreCalls
{
public:
  virtual ~StoreCalls() = default;
  /// @brief Reads changes after `aSince`; waits until there are some.
  /// @throws PlatformError.
  virtual boost::asio::awaitable<core::PartEventPage>
  Read(std::string aAddress, std::uint64_t aSince, core::Duration aWait) = 0;
  /// @throws PlatformError.
  virtual boost::asio::awaitable<void> Free(std::string aAddress,
                                            FreeRequest aOrder) = 0;
};

/// @brief All calls to the platform, on the control thread.
struct Platform
{
  std::unique_ptr<OperatorFeed> operators;
  std::unique_ptr<RegistryFeed> registry;
  std::unique_ptr<SharedRows> shared;
  std::unique_ptr<CrashRows> crashes;
  std::unique_ptr<TargetOrders> orders;
  std::unique_ptr<StoreCalls> stores;
  std::shared_ptr<RowCache> row_cache; ///< Cache of the row client.
};

} // namespace jujubehead::node

#endif // JUJUBEHEAD_NODE_CONTROL_PLATFORM_HPP
