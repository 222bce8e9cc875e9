#ifndef JUJUBEHEAD_CORE_CONTEXT_PART_LOG_HPP
#define JUJUBEHEAD_CORE_CONTEXT_PART_LOG_HPP

#include <cstddef>       // for size_t
#include <cstdint>       // for uint64_t
#include <functional>    // for function
#include <map>           // for map
#include <optional>      // for optional
#include <string>        // for string
#include <string_view>   // for string_view
#include <unordered_map> // for unordered_map
#include <vector>        // for vector

#include "jujubehead/core/context/part_directory.hpp" // for PartEventPage
#include "jujubehead/core/ids.hpp"                    // for StoreId
#include "jujubehead/core/runtime_clock.hpp"          // for Instant, Duration

namespace jujubehead::core {

/// @brief The current state of a part at a store; 0 tokens: removed.
struct PartChange
{
  StoreId store;
  std::string scope;
  std::string part;
  std::uint64_t tokens = 0;
};

/// Age reported for an unreachable store; longer than any trust time.
inline constexpr Duration kUnreachableAge = std::chrono::hours(1);

/// @brief A store's status as last seen by the instance that watches it.
struct StoreStatus
{
  StoreId store;
  std::uint64_t epoch = 0;
  Duration age{};    ///< Since its last answer; kUnreachableAge: unreachable.
  Duration uptime{}; ///< The epoch has lasted for this long or longer.
};

/// @brief A reader's position in a PartLog.
struct PartCursor
{
  std::uint64_t next = 0; ///< Position of the last entry read; 0: none.
  /// The log's end when the reader started or last caught up. Removals since
  /// then must still be delivered.
  std::uint64_t since = 0;
};

/// @brief One page of the changes after a position in a PartLog.
struct PartLogPage
{
  PartCursor cursor;
  bool has_more = false; ///< More can be read immediately.
  /// Starts a snapshot: parts that are neither on this page nor on the ones
  /// that follow it are absent.
  bool is_snapshot = false;
  std::vector<StoreStatus> stores; ///< All that have ever answered.
  std::vector<PartChange> changes;
};

/// @brief Bounds of a PartLog.
struct PartLogOptions
{
  /// Removed parts kept in the log; a reader that asks for older changes gets
  /// a snapshot.
  std::size_t max_removed = 4000;
  /// Changes in one page, of some 20 bytes each. When a hub fails, all its
  /// readers ask another one for a snapshot. Sent in one piece, it would occupy
  /// a small instance's link for longer than their time-out, so they would move
  /// from hub to hub and ask for it again.
  std::size_t max_page_size = 400;
};

/// @brief Compacted change log by which a hub, an instance that watches the
/// stores, informs the others, so that they do not each use one of the few
/// concurrent calls that a store allows.
///
/// A part appears once, at the position of its last change, so the log's length
/// is bounded by the number of parts. A part that is reported again unchanged
/// keeps its position: a relay that moves to another upstream receives all
/// parts again, and passes on only the differences.
class PartLog
{
public:
  explicit PartLog(PartLogOptions aOptions = {});

  void OnPage(const StoreId& aStore, const PartEventPage& aPage, Instant aNow);
  void OnNoResponse(const StoreId& aStore);
  /// @brief Begins a snapshot of all stores: parts that no page reports until
  /// EndSnapshot() are logged as removed then. A snapshot that was begun before
  /// and did not end is given up.
  void BeginSnapshot() { ++m_generation; }
  void EndSnapshot();

  /// @brief Drops the parts of all scopes that match, without logging removals:
  /// readers drop them by the same rule. When weights are replaced, all parts
  /// of the old version go at once; to send each removal to each reader would
  /// saturate the hub (metastable overload: readers that time out move to the
  /// next hub and begin with a snapshot).
  void DropWhere(const std::function<bool(std::string_view aScope)>& aMatches);
  /// @param aCursor the reader's position.
  [[nodiscard]] PartLogPage ReadAfter(const PartCursor& aCursor,
                                      Instant aNow) const;

private:
  /// Where the log holds a part.
  struct Entry
  {
    std::uint64_t position = 0;
    std::uint64_t generation = 0; ///< Of the last snapshot that reported it.
  };
  struct Store
  {
    std::uint64_t epoch = 0;
    Instant started_by = Instant::max(); ///< As in PartEventPage.
    std::optional<Instant> last_answer;
    std::unordered_map<std::string, Entry> entries; ///< By scope and part.
  };

  void Put(Store& aStore, PartChange aChange);
  /// @brief Logs the matching parts as removed.
  template<typename Matches>
  void RemoveWhere(Store& aStore, Matches aMatches);
  void Clear(Store& aStore);
  void DropOldestRemoved();

  PartLogOptions m_options;
  std::map<StoreId, Store> m_stores;
  std::map<std::uint64_t, PartChange> m_changes;  ///< By position.
  std::map<std::uint64_t, std::string> m_removed; ///< Keys of removed parts.
  std::uint64_t m_last = 0;
  std::uint64_t m_dropped = 0; ///< The newest position that was dropped.
  std::uint64_t m_generation = 0;
};

} // namespace jujubehead::core

#endif // JUJUBEHEAD_CORE_CONTEXT_PART_LOG_HPP
