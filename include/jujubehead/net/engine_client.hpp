#ifndef JUJUBEHEAD_NET_ENGINE_CLIENT_HPP
#define JUJUBEHEAD_NET_ENGINE_CLIENT_HPP

#include <cstdint> // for uint64_t, int64_t
#include <string>  // for string
#include <variant> // for variant
#include <vector>  // for vector

#include <boost/asio/awaitable.hpp> // for awaitable

#include "jujubehead/core/context_key.hpp"   // for ContextKey
#include "jujubehead/core/directory.hpp"     // for CacheEvent, CopyId
#include "jujubehead/core/ids.hpp"           // for ModelId, RequestId
#include "jujubehead/core/runtime_clock.hpp" // for Duration

namespace jujubehead::net {

class HttpClient;

/// @brief What a model engine says of itself; it lags.
struct EngineLoad
{
  std::int64_t as_of_ms = 0;    ///< Since the epoch, of the engine's clock.
  std::uint64_t order_seen = 0; ///< The highest fencing number it has met.
  std::vector<core::RequestId> running;
  std::uint64_t waiting = 0;
  std::uint64_t free_blocks = 0;
  std::uint64_t total_blocks = 0;
  core::ModelId model;
  std::vector<std::string> versions; ///< Weight versions that are loaded.
  std::vector<std::string> adapters;
  bool loading = false;
};

/// @brief Cache events after the one that was asked for.
struct CacheEventPage
{
  /// The newest that shows. Below the one asked for: the holder started anew.
  std::uint64_t last = 0;
  std::vector<core::CacheEvent> events; ///< In order; there may be gaps.
};

/// @brief Tells an engine to copy cached blocks to a store.
struct ExportOrder
{
  std::uint64_t fencing = 0;
  std::vector<core::ContextKey> keys; ///< A prefix, from its first block.
  std::string store;                  ///< `address:port`.
  core::CopyId copy;
};

/// @brief The copy is committed at the store.
struct Exported
{
  std::uint64_t blocks = 0;
  std::uint64_t bytes = 0;
};

/// @brief Why an engine did not do as it was told; nothing was changed.
enum class EngineRefusal
{
  kOldFencing,  ///< It has met a higher fencing number.
  kEvicted,     ///< The first block is no longer cached.
  kStoreFull,   ///< The store has no room.
  kStoreFailed, ///< The store did not commit.
  kOther,
};

/// @brief Only makes the engine remember the fencing number.
struct FenceOrder
{};
struct LoadVersionOrder
{
  std::string version;
};
struct UnloadVersionOrder
{
  std::string version;
};
struct LoadAdapterOrder
{
  std::string adapter;
};
struct SetRoleOrder
{
  std::string role;
};
using EngineOrder = std::variant<FenceOrder,
                                 LoadVersionOrder,
                                 UnloadVersionOrder,
                                 LoadAdapterOrder,
                                 SetRoleOrder>;

/// @brief The engine took an order.
struct OrderTaken
{
  std::uint64_t order_seen = 0;
};

/// @brief The control calls to one model engine. All of them throw
/// HttpCallError; its `Dispatched()` is true also for a reply that makes no
/// sense, as the engine may have acted.
class EngineClient
{
public:
  /// @param aClient must outlive this object.
  /// @param aAuthority `address:port`.
  /// @param aTimeout of a call; an export may take kExportTimeout.
  EngineClient(HttpClient& aClient,
               std::string aAuthority,
               core::Duration aTimeout = std::chrono::seconds(2));

  static constexpr core::Duration kExportTimeout = std::chrono::minutes(2);

  [[nodiscard]] const std::string& Authority() const { return m_authority; }

  boost::asio::awaitable<EngineLoad> Load();
  /// @param aAfter number of the last event that is known; 0: none.
  boost::asio::awaitable<CacheEventPage> EventsAfter(std::uint64_t aAfter);
  /// @brief Ends a run; also right for one that is not there.
  boost::asio::awaitable<void> Abort(core::RequestId aRequest);
  /// @brief Returns when the store has committed the copy.
  boost::asio::awaitable<std::variant<Exported, EngineRefusal>> Export(
    ExportOrder aOrder);
  boost::asio::awaitable<std::variant<OrderTaken, EngineRefusal>> Give(
    std::uint64_t aFencing,
    EngineOrder aOrder);

private:
  HttpClient& m_client;
  std::string m_authority;
  core::Duration m_timeout;
};

} // namespace jujubehead::net

#endif // JUJUBEHEAD_NET_ENGINE_CLIENT_HPP
