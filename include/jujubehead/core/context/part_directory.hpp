#ifndef JUJUBEHEAD_CORE_CONTEXT_PART_DIRECTORY_HPP
#define JUJUBEHEAD_CORE_CONTEXT_PART_DIRECTORY_HPP

#include <cstdint>       // for uint64_t
#include <functional>    // for function
#include <optional>      // for optional
#include <string>        // for string
#include <string_view>   // for string_view
#include <unordered_map> // for unordered_map
#include <vector>        // for vector

#include "jujubehead/core/ids.hpp"           // for StoreId
#include "jujubehead/core/runtime_clock.hpp" // for Instant, Duration

namespace jujubehead::core {

/// @brief A store finished writing a prompt part, or removed it.
struct PartEvent
{
  std::string scope; ///< Text of the CacheScope.
  std::string part;
  std::uint64_t tokens = 0; ///< Stored now.
  bool is_stored = false;   ///< False: removed from the store.
};

/// @brief A part of a prompt, within a scope.
struct ScopedPart
{
  std::string scope;
  std::string part;
};

/// @brief A store's events since the previous read.
struct PartEventPage
{
  std::uint64_t epoch = 0; ///< Changes when the store restarts, empty.
  Instant started_by = Instant::max(); ///< Upper bound of the epoch's start.
  std::uint64_t next = 0;              ///< Cursor of the next read.
  bool has_gap = false;                ///< Earlier events were lost.
  bool is_snapshot = false; ///< A snapshot: parts without an event are absent.
  /// Clock shared by targets and stores at the time of the answer, in ms.
  std::optional<std::int64_t> clock_ms;
  std::vector<PartEvent> events;
};

/// @brief A store's page, and the time at which the store is assumed to have
/// sent it.
struct StorePage
{
  StoreId store;
  PartEventPage page;
  Instant as_of{};
};

/// A target gives up a read from a store that has not ended this long after it
/// was planned: the wait in a loaded target's queue, and the transfer.
inline constexpr Duration kPartReadTime = std::chrono::milliseconds(3000);

/// @brief How long a store's entries stay valid without an answer.
struct PartDirectoryOptions
{
  /// A store that has not answered for this long may have restarted: one long
  /// poll, its time-out and a round trip. A part read after that could be one
  /// that is being written again.
  Duration trust_time = std::chrono::milliseconds(900);
  Duration read_time = kPartReadTime;
  /// Covers clock drift and rounding.
  Duration margin = std::chrono::milliseconds(300);
};

/// @brief Which prompt parts are completely written at which store, as reported
/// by the stores. Only these may be read, because a store does not distinguish
/// a part that is still being written from a complete one.
///
/// Lost events can only hide parts that are there. Stores free nothing by
/// themselves, so a reported part stays until its store restarts.
///
/// After a restart, any instance may still plan reads by the old epoch for
/// `trust_time`, and each may wait at its target for `read_time`. A part that
/// is written again meanwhile could be read before it is complete, so nothing
/// is written to the store until then.
class PartDirectory
{
public:
  explicit PartDirectory(PartDirectoryOptions aOptions = {});

  /// @param aAnswered upper bound of the time at which the store answered.
  void OnPage(const StoreId& aStore,
              const PartEventPage& aPage,
              Instant aAnswered);
  /// @brief The store did not answer: its parts count as absent until it does.
  void OnNoResponse(const StoreId& aStore);
  /// @brief Drops parts that were removed from a store, ahead of its events.
  void Drop(const StoreId& aStore, const std::vector<ScopedPart>& aParts);
  /// @brief Drops the parts of all scopes that match, at all stores.
  void DropWhere(const std::function<bool(std::string_view aScope)>& aMatches);
  /// @brief Drops all stores except these.
  void KeepOnly(const std::vector<StoreId>& aStores);

  /// @return the number of tokens of a part that are completely written at a
  /// store; 0 if none are known.
  [[nodiscard]] std::uint64_t TokensAt(const StoreId& aStore,
                                       std::string_view aScope,
                                       std::string_view aPart,
                                       Instant aNow) const;
  /// @return whether a store answered within PartDirectoryOptions::trust_time.
  [[nodiscard]] bool IsReachable(const StoreId& aStore, Instant aNow) const;
  /// @return whether parts may be written to a store: it is reachable, and all
  /// reads that were planned before it started have ended, at any instance.
  [[nodiscard]] bool AcceptsWrites(const StoreId& aStore, Instant aNow) const;
  /// @return the current epoch of a store; 0 if the store is unknown.
  [[nodiscard]] std::uint64_t EpochOf(const StoreId& aStore) const;
  /// @return at most `aMost` parts at a store whose scope matches.
  [[nodiscard]] std::vector<ScopedPart> PartsWhere(
    const StoreId& aStore,
    std::size_t aMost,
    const std::function<bool(std::string_view aScope)>& aMatches) const;
  /// @return total tokens of all known parts at a store.
  [[nodiscard]] std::uint64_t TokensStored(const StoreId& aStore) const;

private:
  struct Store
  {
    std::uint64_t epoch = 0;
    Instant started_by = Instant::max(); ///< As in PartEventPage.
    std::optional<Instant> last_answer;
    std::unordered_map<std::string, std::uint64_t> tokens;
    std::uint64_t total_tokens = 0;
  };

  PartDirectoryOptions m_options;
  std::unordered_map<StoreId, Store> m_stores;
};

} // namespace jujubehead::core

#endif // JUJUBEHEAD_CORE_CONTEXT_PART_DIRECTORY_HPP
