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

/// @brief A part of a prompt became whole at a store, or left it.
struct PartEvent
{
  std::string scope; ///< Which accounts and weights the part belongs to.
  std::string part;
  std::uint64_t tokens = 0; ///< That the store has of it now.
  bool is_kept = false;     ///< False: it left the store.
};

/// @brief A part of a prompt, within a scope.
struct ScopedPart
{
  std::string scope;
  std::string part;
};

/// @brief What a store told since the last time.
struct PartEventPage
{
  std::uint64_t epoch = 0; ///< Changes when the store starts anew, empty.
  std::uint64_t next = 0;  ///< Where to go on.
  bool has_gap = false;    ///< Events before these were lost.
  bool is_all = false;     ///< What is not among the events is not there.
  /// The clock of targets and stores when it answered, in ms.
  std::optional<std::int64_t> clock_ms;
  std::vector<PartEvent> events;
};

/// @brief How long a store's word is believed.
struct PartDirectoryOptions
{
  /// After this silence a store may have started anew: one long poll, its
  /// time-out and the way there and back. A part read by then could be one
  /// that is just being written again.
  Duration trust_time = std::chrono::milliseconds(900);
};

/// @brief Which parts of prompts are whole at which store, by the stores' own
/// word. Only such a part may be read: one that is being written is not told
/// from a whole one by the store itself.
///
/// Events that were lost only hide parts that are there; nothing is ever freed,
/// so a part that was told once stays until its store starts anew.
class PartDirectory
{
public:
  explicit PartDirectory(PartDirectoryOptions aOptions = {});

  /// @param aHeard when the store said so, at the latest.
  void OnPage(const StoreId& aStore,
              const PartEventPage& aPage,
              Instant aHeard);
  /// @brief The store did not answer: nothing of it is believed until it does.
  void OnSilence(const StoreId& aStore);
  /// @brief Parts that left a store, before the store itself tells.
  void Drop(const StoreId& aStore, const std::vector<ScopedPart>& aParts);
  /// @brief Forgets the blocks of scopes that are asked for, at all stores.
  void DropWhere(const std::function<bool(std::string_view aScope)>& aIsAsked);
  /// @brief Forgets the stores that are not among these.
  void KeepOnly(const std::vector<StoreId>& aStores);

  /// @return the tokens of a part that are whole at a store; 0 when none are
  /// known to be.
  [[nodiscard]] std::uint64_t TokensAt(const StoreId& aStore,
                                       std::string_view aScope,
                                       std::string_view aPart,
                                       Instant aNow) const;
  /// @return whether a store answered of late.
  [[nodiscard]] bool IsPresent(const StoreId& aStore, Instant aNow) const;
  /// @return the present start of a store; 0 when nothing is known of it.
  [[nodiscard]] std::uint64_t EpochOf(const StoreId& aStore) const;
  /// @return at most so many parts at a store whose scope is asked for.
  [[nodiscard]] std::vector<ScopedPart> PartsWhere(
    const StoreId& aStore,
    std::size_t aMost,
    const std::function<bool(std::string_view aScope)>& aIsAskedFor) const;
  /// @return tokens of all parts that are known at a store.
  [[nodiscard]] std::uint64_t TokensKept(const StoreId& aStore) const;

private:
  struct Store
  {
    std::uint64_t epoch = 0;
    std::optional<Instant> heard;
    std::unordered_map<std::string, std::uint64_t> tokens;
    std::uint64_t kept = 0;
  };

  PartDirectoryOptions m_options;
  std::unordered_map<StoreId, Store> m_stores;
};

} // namespace jujubehead::core

#endif // JUJUBEHEAD_CORE_CONTEXT_PART_DIRECTORY_HPP
