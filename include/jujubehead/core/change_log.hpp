#ifndef JUJUBEHEAD_CORE_CHANGE_LOG_HPP
#define JUJUBEHEAD_CORE_CHANGE_LOG_HPP

#include <cstdint>     // for uint64_t, int64_t
#include <memory>      // for shared_ptr
#include <optional>    // for optional
#include <span>        // for span
#include <string>      // for string
#include <string_view> // for string_view
#include <variant>     // for variant
#include <vector>      // for vector

#include "jujubehead/core/table.hpp" // for Table, TableRow

namespace jujubehead::core {

/// @brief What a planned stop can apply to.
enum class StopKind : std::uint8_t
{
  kTarget,
  kInstance,
  kStore,
  kService,
  kDataCentre,
};

/// @return `target`, `instance`, `store`, `service` or `data_centre`.
std::string_view
StopKindName(StopKind aKind);

/// @return the kind with that name.
std::optional<StopKind>
ParseStopKind(std::string_view aName);

/// @brief Identifies what a planned stop applies to.
struct StopSubject
{
  StopKind kind = StopKind::kTarget;
  std::string id;

  // NOLINTNEXTLINE(modernize-use-nullptr)
  friend auto operator<=>(const StopSubject&, const StopSubject&) = default;
};

/// @brief A planned stop: the subject receives no new work.
struct StopMark
{
  StopSubject subject;
  std::int64_t deadline_ms = 0; ///< Unix time; 0: none.

  friend bool operator==(const StopMark&, const StopMark&) = default;
};

/// @brief Adds or replaces a row; inherited cells are ignored.
struct PutRow
{
  TableRow row;

  friend bool operator==(const PutRow& aLeft, const PutRow& aRight)
  {
    return SameCells(aLeft.row, aRight.row);
  }
};

/// @brief Removes a row.
struct RemoveRow
{
  AccountId account;
  ModelId model;

  friend bool operator==(const RemoveRow&, const RemoveRow&) = default;
};

/// @brief Begins or replaces a planned stop.
struct SetStop
{
  StopMark mark;

  friend bool operator==(const SetStop&, const SetStop&) = default;
};

/// @brief Cancels a planned stop.
struct ClearStop
{
  StopSubject subject;

  friend bool operator==(const ClearStop&, const ClearStop&) = default;
};

using Change = std::variant<PutRow, RemoveRow, SetStop, ClearStop>;

/// @return the row or stop that a change applies to, as unique text: two
/// changes conflict only when their subjects are equal.
std::string
ChangeSubject(const Change& aChange);

/// @brief The changes of one commit, which take effect atomically.
struct ChangeEntry
{
  std::uint64_t version = 0; ///< Position in the log, from 1.
  std::string token;         ///< Unique; identifies the commit when read back.
  std::string author;
  std::vector<Change> changes;

  friend bool operator==(const ChangeEntry&, const ChangeEntry&) = default;
};

/// @brief The state after a log entry.
struct TableSnapshot
{
  std::uint64_t version = 0;
  Table table;
  std::vector<StopMark> stops; ///< Ordered by subject.
};

/// @brief Result of TableView::Apply() and TableView::Replace().
enum class ApplyResult : std::uint8_t
{
  kAdvanced, ///< The view moved forward.
  kStale,    ///< The view has this version or a newer one.
  kGap,      ///< Entries before it are missing; fetch them or a snapshot.
};

/// @brief The current table and stop marks; versions only increase.
///
/// Current() is a shared immutable value, so that traffic threads can keep it
/// while the control thread replaces it.
class TableView
{
public:
  TableView();

  [[nodiscard]] std::uint64_t Version() const { return m_current->version; }
  [[nodiscard]] const std::shared_ptr<const TableSnapshot>& Current() const
  {
    return m_current;
  }
  [[nodiscard]] const StopMark* FindStop(const StopSubject& aSubject) const;

  /// @brief Applies one entry if it is the next one.
  ApplyResult Apply(const ChangeEntry& aEntry);
  /// @brief Applies entries in order as one step; stops at a gap.
  ApplyResult Apply(std::span<const ChangeEntry> aEntries);
  /// @brief Replaces the state if the snapshot is newer.
  ApplyResult Replace(TableSnapshot aSnapshot);

private:
  std::shared_ptr<const TableSnapshot> m_current;
};

/// @return the stop mark of a subject, or null.
const StopMark*
FindStop(const TableSnapshot& aSnapshot, const StopSubject& aSubject);

/// @brief Entries and snapshots as JSON text (table service, object store).
std::string
ToJson(const ChangeEntry& aEntry);
std::string
ToJson(const TableSnapshot& aSnapshot);
/// @return the value, or nothing when the text is malformed.
std::optional<ChangeEntry>
ChangeEntryFromJson(std::string_view aText);
std::optional<TableSnapshot>
SnapshotFromJson(std::string_view aText);

/// @brief Entries and snapshots as CBOR (between instances).
std::vector<std::uint8_t>
ToCbor(const ChangeEntry& aEntry);
std::vector<std::uint8_t>
ToCbor(const TableSnapshot& aSnapshot);
std::optional<ChangeEntry>
ChangeEntryFromCbor(std::span<const std::uint8_t> aBytes);
std::optional<TableSnapshot>
SnapshotFromCbor(std::span<const std::uint8_t> aBytes);

} // namespace jujubehead::core

#endif // JUJUBEHEAD_CORE_CHANGE_LOG_HPP
