#ifndef JUJUBEHEAD_NODE_CONTROL_PLATFORM_HPP
#define JUJUBEHEAD_NODE_CONTROL_PLATFORM_HPP

#include <cstdint>   // for uint64_t, uint8_t
#include <memory>    // for shared_ptr, unique_ptr
#include <optional>  // for optional
#include <stdexcept> // for runtime_error
#include <string>    // for string
#include <vector>    // for vector

#include <boost/asio/awaitable.hpp> // for awaitable

#include "jujubehead/core/context/part_directory.hpp" // for PartEventPage
#include "jujubehead/core/routing/configuration.hpp"  // for Declarations
#include "jujubehead/core/routing/target_book.hpp"    // for RegistrationChange
#include "jujubehead/core/runtime_clock.hpp"          // for Duration
#include "jujubehead/node/control/known_rows.hpp"     // for KnownRows

namespace jujubehead::node {

/// @brief Why a call to the platform gave nothing.
enum class PlatformFault : std::uint8_t
{
  kUnreachable, ///< No answer.
  kBusy,        ///< It answered that it does not serve now.
  kTooMany,     ///< It serves, but takes no more calls now.
  kUnusable,    ///< It serves, but the answer tells nothing or is out of date.
  kHistoryLost, ///< What changed since then is not known any more.
};

/// @return whether the platform may be away, and not only this call was lost.
[[nodiscard]] constexpr bool
IsAbsence(PlatformFault aFault)
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

/// @brief What the operator wrote.
struct OperatorNews
{
  std::uint64_t cursor = 0; ///< Where to go on.
  /// Another instance's knowledge, while the store itself did not answer.
  bool is_recalled = false;
  core::Instant told{};  ///< When the store said so, at the latest.
  core::Instant asked{}; ///< When it was asked for it.
  std::optional<core::Declarations> declarations;
  std::vector<core::LoadedModel> wanted; ///< Weights to bring to all targets.
  std::vector<std::string> unread;       ///< What was not understood, and why.
};

/// @brief What targets registered.
struct RegistryNews
{
  std::uint64_t cursor = 0;
  bool is_recalled = false;                      ///< As in OperatorNews.
  std::vector<core::RegistrationChange> changes; ///< In their order.
  std::vector<std::string> unread;
};

/// @brief A row that the instances share.
struct SharedRow
{
  std::string key;
  std::optional<std::string> value; ///< Nothing: the row is gone.
  std::uint64_t version = 0;        ///< Of the change that made it so.
};

/// @brief What instances wrote for each other.
struct SharedNews
{
  std::uint64_t cursor = 0;
  std::vector<SharedRow> rows;
};

/// @brief Something that changes and can be followed.
template<typename News>
class Feed
{
public:
  virtual ~Feed() = default;
  /// @brief Reads all of it as of one moment. @throws PlatformError.
  virtual boost::asio::awaitable<News> ReadAll() = 0;
  /// @return whether reading costs nothing, so that no pause is needed.
  [[nodiscard]] virtual bool IsFree() const { return false; }
  /// @brief Reads what changed after a cursor; waits until something did.
  /// @throws PlatformError.
  virtual boost::asio::awaitable<News> ReadChanges(std::uint64_t aAfter,
                                                   core::Duration aWait) = 0;
};

using OperatorFeed = Feed<OperatorNews>;
using RegistryFeed = Feed<RegistryNews>;

/// @brief Rows that instances share; the only state that outlives them.
class SharedRows : public Feed<SharedNews>
{
public:
  /// @brief Writes a row if it still has the version that is expected of it; 0
  /// expects that there is none. No value removes it.
  /// @return the row's new version; nothing when the row had changed.
  /// @throws PlatformError; then the write may yet take effect.
  virtual boost::asio::awaitable<std::optional<std::uint64_t>> Put(
    std::string aKey,
    std::optional<std::string> aValue,
    std::uint64_t aExpectedVersion) = 0;
};

/// @brief A target's own word on its weights; a few hundred ms old.
struct WeightsReport
{
  std::vector<core::LoadedModel> models;
  std::uint64_t orders_taken = 0; ///< Since its start.
  bool is_busy = false;           ///< Carries out an order.
  std::uint32_t requests = 0;     ///< That run or wait there.
};

/// @brief What becomes of the requests that run when weights are replaced.
enum class RunsMode : std::uint8_t
{
  kFinish, ///< They finish first, and the order waits for them.
  kGoOn,   ///< They go on under the new weights.
};

/// @brief An order to load weights. The target refuses it when it took another
/// order since `orders_taken`, or is not `target`.
struct LoadOrder
{
  core::TargetId target;
  core::LoadedModel wanted;
  std::uint64_t orders_taken = 0;
  std::string holder;              ///< Who gives it.
  std::uint64_t fencing_token = 0; ///< Grows with each holder.
  RunsMode runs = RunsMode::kFinish;
};

/// @brief How a target answered an order.
enum class OrderAnswer : std::uint8_t
{
  kAccepted, ///< It is being carried out.
  kHolds,    ///< The target has these weights.
  kRefused,  ///< Another order is under way or was taken meanwhile, or the
             ///< target is another one.
};

/// @brief Speaks with targets about their weights.
class TargetOrders
{
public:
  virtual ~TargetOrders() = default;
  /// @throws PlatformError.
  virtual boost::asio::awaitable<WeightsReport> Report(
    std::string aAddress) = 0;
  /// @throws PlatformError; then the order may yet be carried out.
  virtual boost::asio::awaitable<OrderAnswer> Load(std::string aAddress,
                                                   LoadOrder aOrder) = 0;
};

/// @brief Parts that a store is to free, if it has not started anew.
struct FreeOrder
{
  std::uint64_t epoch = 0;
  std::vector<core::ScopedPart> parts;
};

/// @brief Speaks with stores of kept KV cache.
class StoreCalls
{
public:
  virtual ~StoreCalls() = default;
  /// @brief Waits until something changed after `aSince`.
  /// @throws PlatformError.
  virtual boost::asio::awaitable<core::PartEventPage>
  Read(std::string aAddress, std::uint64_t aSince, core::Duration aWait) = 0;
  /// @throws PlatformError.
  virtual boost::asio::awaitable<void> Free(std::string aAddress,
                                            FreeOrder aOrder) = 0;
};

/// @brief All calls to the platform, on the control thread.
struct Platform
{
  std::unique_ptr<OperatorFeed> operators;
  std::unique_ptr<RegistryFeed> registry;
  std::unique_ptr<SharedRows> shared;
  std::unique_ptr<TargetOrders> orders;
  std::unique_ptr<StoreCalls> stores;
  std::shared_ptr<KnownRows> known; ///< Part of the client of the rows.
};

} // namespace jujubehead::node

#endif // JUJUBEHEAD_NODE_CONTROL_PLATFORM_HPP
