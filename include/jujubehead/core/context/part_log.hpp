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

/// @brief A part as a store has it now; no tokens: it is gone.
struct PartChange
{
  StoreId store;
  std::string scope;
  std::string part;
  std::uint64_t tokens = 0;
};

/// Longer than anyone believes what a store told.
inline constexpr Duration kSilentAge = std::chrono::hours(1);

/// @brief A store as the one who watches it heard it last.
struct HeardStore
{
  StoreId store;
  std::uint64_t epoch = 0;
  Duration age{}; ///< Since its last answer; kSilentAge: it fell silent.
};

/// @brief How far someone has read a PartLog.
struct PartCursor
{
  std::uint64_t next = 0; ///< Where to go on; 0: nothing was read.
  /// The log's end when the asker had read nothing, or had last read all: what
  /// went since then must still be told.
  std::uint64_t since = 0;
};

/// @brief What changed after a place in a PartLog, at most so much at once.
struct PartNews
{
  PartCursor cursor;
  bool has_more = false; ///< There is more to be read at once.
  /// All parts are told anew, from the first one on; what is not among them and
  /// what follows is not there.
  bool is_all = false;
  std::vector<HeardStore> stores; ///< All that ever answered.
  std::vector<PartChange> changes;
};

/// @brief Bounds of a PartLog.
struct PartLogOptions
{
  /// Parts that went are remembered up to this number; one that asks for older
  /// changes is told all parts anew.
  std::size_t most_gone = 4000;
  /// Parts told at once, of some 20 bytes each: the whole list at once, asked
  /// for by all who lost their hub, takes a small instance's link for longer
  /// than they wait, so they would go from hub to hub and ask for it again.
  std::size_t most_at_once = 400;
};

/// @brief What an instance that watches the stores tells the others, so that
/// not each of them takes one of the few calls that a store holds.
///
/// A part appears once, at the place of its last change, so the log is no
/// longer than the parts that there are.
class PartLog
{
public:
  explicit PartLog(PartLogOptions aOptions = {});

  void OnPage(const StoreId& aStore, const PartEventPage& aPage, Instant aNow);
  void OnSilence(const StoreId& aStore);

  /// @brief Forgets the parts of scopes that are asked for, without telling it:
  /// those that ask here forget them by the same rule. When weights are
  /// replaced all parts of the old ones go at once, and to name each of them to
  /// each asker takes a hub's whole time (metastable overload: askers that
  /// time out go to the next hub and begin with all of its parts).
  void DropWhere(const std::function<bool(std::string_view aScope)>& aIsAsked);
  /// @param aCursor where the asker stands.
  [[nodiscard]] PartNews ReadAfter(const PartCursor& aCursor,
                                   Instant aNow) const;

private:
  struct Store
  {
    std::uint64_t epoch = 0;
    std::optional<Instant> heard;
    std::unordered_map<std::string, std::uint64_t> places; ///< By scope, part.
  };

  void Put(Store& aStore, PartChange aChange);
  void Forget(Store& aStore);
  void DropOldestGone();

  PartLogOptions m_options;
  std::map<StoreId, Store> m_stores;
  std::map<std::uint64_t, PartChange> m_changes; ///< By place.
  std::map<std::uint64_t, std::string> m_gone;   ///< Places of parts that went.
  std::uint64_t m_last = 0;
  std::uint64_t m_dropped = 0; ///< The newest place that was dropped.
};

} // namespace jujubehead::core

#endif // JUJUBEHEAD_CORE_CONTEXT_PART_LOG_HPP
