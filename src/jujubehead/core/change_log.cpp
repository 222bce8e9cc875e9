#include "jujubehead/core/change_log.hpp"

#include <algorithm> // for lower_bound
#include <array>     // for array
#include <map>       // for map
#include <utility>   // for move

namespace jujubehead::core {
namespace {

constexpr std::array<std::string_view, 5> kStopKindNames = { "target",
                                                             "instance",
                                                             "store",
                                                             "service",
                                                             "data_centre" };

bool
IsBefore(const StopMark& aMark, const StopSubject& aSubject)
{
  return aMark.subject < aSubject;
}

/// Applies entries in order to a snapshot, as one step.
class SnapshotBuilder
{
public:
  explicit SnapshotBuilder(const TableSnapshot& aFrom)
    : m_from(aFrom)
  {
    for (const StopMark& mark : aFrom.stops) {
      m_stops.emplace(mark.subject, mark);
    }
  }

  void Add(const ChangeEntry& aEntry)
  {
    for (const Change& change : aEntry.changes) {
      std::visit(*this, change);
    }
    m_version = aEntry.version;
  }

  [[nodiscard]] TableSnapshot Take() const
  {
    TableSnapshot snapshot;
    snapshot.version = m_version;
    snapshot.table = NewTable();
    for (const auto& [subject, mark] : m_stops) {
      snapshot.stops.push_back(mark);
    }
    return snapshot;
  }

  void operator()(const PutRow& aChange)
  {
    m_rows[{ aChange.row.account, aChange.row.model }] = &aChange.row;
  }
  void operator()(const RemoveRow& aChange)
  {
    m_rows[{ aChange.account, aChange.model }] = nullptr;
  }
  void operator()(const SetStop& aChange)
  {
    m_stops[aChange.mark.subject] = aChange.mark;
  }
  void operator()(const ClearStop& aChange) { m_stops.erase(aChange.subject); }

private:
  [[nodiscard]] Table NewTable() const
  {
    if (m_rows.empty()) {
      return m_from.table;
    }
    std::vector<TableRow> put;
    std::vector<TableRowKey> removed;
    for (const auto& [key, row] : m_rows) {
      if (row == nullptr) {
        removed.push_back(key);
      } else {
        put.push_back(*row);
      }
    }
    return m_from.table.With(put, removed);
  }

  const TableSnapshot& m_from;
  std::uint64_t m_version = m_from.version;
  std::map<TableRowKey, const TableRow*> m_rows; ///< Null: removed.
  std::map<StopSubject, StopMark> m_stops;
};

struct SubjectText
{
  std::string operator()(const PutRow& aChange) const
  {
    return RowText(aChange.row.account, aChange.row.model);
  }
  std::string operator()(const RemoveRow& aChange) const
  {
    return RowText(aChange.account, aChange.model);
  }
  std::string operator()(const SetStop& aChange) const
  {
    return StopText(aChange.mark.subject);
  }
  std::string operator()(const ClearStop& aChange) const
  {
    return StopText(aChange.subject);
  }

private:
  static std::string RowText(const AccountId& aAccount, const ModelId& aModel)
  {
    return "row " + aAccount.Text() + "," + aModel.Text();
  }
  static std::string StopText(const StopSubject& aSubject)
  {
    return "stop of " + std::string(StopKindName(aSubject.kind)) + ' ' +
           aSubject.id;
  }
};

} // namespace

std::string_view
StopKindName(StopKind aKind)
{
  return kStopKindNames.at(static_cast<std::size_t>(aKind));
}

std::optional<StopKind>
ParseStopKind(std::string_view aName)
{
  const auto found =
    std::find(kStopKindNames.begin(), kStopKindNames.end(), aName);
  if (found == kStopKindNames.end()) {
    return std::nullopt;
  }
  return static_cast<StopKind>(found - kStopKindNames.begin());
}

std::string
ChangeSubject(const Change& aChange)
{
  return std::visit(SubjectText(), aChange);
}

const StopMark*
FindStop(const TableSnapshot& aSnapshot, const StopSubject& aSubject)
{
  const auto found = std::lower_bound(
    aSnapshot.stops.begin(), aSnapshot.stops.end(), aSubject, IsBefore);
  const bool is_match =
    found != aSnapshot.stops.end() && found->subject == aSubject;
  return is_match ? &*found : nullptr;
}

TableView::TableView()
  : m_current(std::make_shared<const TableSnapshot>())
{
}

const StopMark*
TableView::FindStop(const StopSubject& aSubject) const
{
  return core::FindStop(*m_current, aSubject);
}

ApplyResult
TableView::Apply(const ChangeEntry& aEntry)
{
  return Apply(std::span(&aEntry, 1));
}

ApplyResult
TableView::Apply(std::span<const ChangeEntry> aEntries)
{
  std::uint64_t version = Version();
  bool gap = false;
  SnapshotBuilder builder(*m_current);
  for (const ChangeEntry& entry : aEntries) {
    if (entry.version <= version) {
      continue;
    }
    if (entry.version != version + 1) {
      gap = true;
      break;
    }
    builder.Add(entry);
    version = entry.version;
  }
  const bool moved = version != Version();
  if (moved) {
    m_current = std::make_shared<const TableSnapshot>(builder.Take());
  }
  if (gap) {
    return ApplyResult::kGap;
  }
  return moved ? ApplyResult::kAdvanced : ApplyResult::kStale;
}

ApplyResult
TableView::Replace(TableSnapshot aSnapshot)
{
  if (aSnapshot.version <= Version()) {
    return ApplyResult::kStale;
  }
  m_current = std::make_shared<const TableSnapshot>(std::move(aSnapshot));
  return ApplyResult::kAdvanced;
}

} // namespace jujubehead::core
