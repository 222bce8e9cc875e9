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

/// @brief What a planned stop can be for.
enum class StopKind : std::uint8_t
{
  kTarget,
  kInstance,
  kStore,
  kService,
};

/// @return the word for it: `target`, `instance`, `store` or `service`.
std::string_view
StopKindName(StopKind aKind);

/// @return the kind of that word.
std::optional<StopKind>
StopKindOf(std::string_view aName);

/// @brief Names what a planned stop is for.
struct StopSubject
{
  StopKind kind = StopKind::kTarget;
  std::string id;

  // NOLINTNEXTLINE(modernize-use-nullptr)
  friend auto operator<=>(const StopSubject&, const StopSubject&) = default;
};

/// @brief A planned stop: no new work goes there.
struct StopMark
{
  StopSubject subject;
  std::int64_t deadline_ms = 0; ///< Since the epoch; 0: none.

  friend bool operator==(const StopMark&, const StopMark&) = default;
};

/// @brief A row is added or replaced; only its written cells count.
struct PutRow
{
  TableRow row;

  friend bool operator==(const PutRow& aLeft, const PutRow& aRight)
  {
    return SameCells(aLeft.row, aRight.row);
  }
};

/// @brief A row is taken out.
struct RemoveRow
{
  AccountId account;
  ModelId model;

  friend bool operator==(const RemoveRow&, const RemoveRow&) = default;
};

/// @brief A planned stop begins.
struct SetStop
{
  StopMark mark;

  friend bool operator==(const SetStop&, const SetStop&) = default;
};

/// @brief A planned stop is taken back.
struct ClearStop
{
  StopSubject subject;

  friend bool operator==(const ClearStop&, const ClearStop&) = default;
};

using Change = std::variant<PutRow, RemoveRow, SetStop, ClearStop>;

/// @return what a change touches, as text that is unique among changes:
/// two changes conflict only when theirs is the same.
std::string
ChangeSubject(const Change& aChange);

/// @brief What one commit made: it is in force as a whole or not at all.
struct ChangeEntry
{
  std::uint64_t version = 0; ///< Of the sequence; the first is 1.
  std::string token;         ///< Unique; the committer finds itself by it.
  std::string author;
  std::vector<Change> changes;

  friend bool operator==(const ChangeEntry&, const ChangeEntry&) = default;
};

/// @brief The state after an entry of the sequence.
struct TableSnapshot
{
  std::uint64_t version = 0;
  Table table;
  std::vector<StopMark> stops; ///< Ordered by subject.
};

/// @brief What TableView::Apply() did.
enum class Applied : std::uint8_t
{
  kInForce, ///< The view moved forward.
  kOld,     ///< It was in force already.
  kGap,     ///< Entries are missing in between; fetch them or a snapshot.
};

/// @brief The table and stop marks in force; moves only forward.
///
/// Current() is a shared immutable value, so that traffic threads keep one
/// while the control thread moves on.
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
  Applied Apply(const ChangeEntry& aEntry);
  /// @brief Applies entries in their order as one step; stops at a gap.
  Applied Apply(std::span<const ChangeEntry> aEntries);
  /// @brief Takes a snapshot over if it is newer.
  Applied Replace(TableSnapshot aSnapshot);

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
/// @return the value, or nothing when the text is not one.
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
