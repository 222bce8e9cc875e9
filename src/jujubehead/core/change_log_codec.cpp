#include "jujubehead/core/change_log.hpp"

#include <algorithm> // for sort
#include <utility>   // for move

#include <nlohmann/json.hpp> // for json

#include "table_cell.hpp" // for ParseCell, TableColumns
#include "table_csv.hpp"  // for ReadTableCsv

namespace jujubehead::core {
namespace {

using Json = nlohmann::json;

/// The text or bytes are not what they should be.
struct Malformed
{};

Json
RowJson(const TableRow& aRow)
{
  Json cells = Json::array();
  for (const TableColumn column : detail::TableColumns()) {
    cells.push_back(CellText(aRow, column));
  }
  return cells;
}

TableRow
RowOf(const Json& aCells)
{
  TableRow row;
  for (const TableColumn column : detail::TableColumns()) {
    const auto& cell =
      aCells.at(static_cast<std::size_t>(column)).get_ref<const std::string&>();
    if (detail::ParseCell(row, column, cell)) {
      throw Malformed();
    }
  }
  return row;
}

Json
SubjectJson(const StopSubject& aSubject)
{
  return Json::array({ std::string(StopKindName(aSubject.kind)), aSubject.id });
}

StopSubject
SubjectOf(const Json& aJson)
{
  const auto kind = StopKindOf(aJson.at(0).get_ref<const std::string&>());
  if (!kind) {
    throw Malformed();
  }
  return { *kind, aJson.at(1).get<std::string>() };
}

Json
MarkJson(const StopMark& aMark)
{
  Json json = SubjectJson(aMark.subject);
  json.push_back(aMark.deadline_ms);
  return json;
}

StopMark
MarkOf(const Json& aJson)
{
  return { SubjectOf(aJson), aJson.at(2).get<std::int64_t>() };
}

struct ChangeJson
{
  Json operator()(const PutRow& aChange) const
  {
    return { { "put", RowJson(aChange.row) } };
  }
  Json operator()(const RemoveRow& aChange) const
  {
    return { { "remove",
               Json::array(
                 { aChange.account.Text(), aChange.model.Text() }) } };
  }
  Json operator()(const SetStop& aChange) const
  {
    return { { "stop", MarkJson(aChange.mark) } };
  }
  Json operator()(const ClearStop& aChange) const
  {
    return { { "clear_stop", SubjectJson(aChange.subject) } };
  }
};

Change
ChangeOf(const Json& aJson)
{
  if (aJson.contains("put")) {
    return PutRow{ RowOf(aJson.at("put")) };
  }
  if (aJson.contains("remove")) {
    const Json& key = aJson.at("remove");
    return RemoveRow{ AccountId(key.at(0).get<std::string>()),
                      ModelId(key.at(1).get<std::string>()) };
  }
  if (aJson.contains("stop")) {
    return SetStop{ MarkOf(aJson.at("stop")) };
  }
  return ClearStop{ SubjectOf(aJson.at("clear_stop")) };
}

Json
EntryJson(const ChangeEntry& aEntry)
{
  Json changes = Json::array();
  for (const Change& change : aEntry.changes) {
    changes.push_back(std::visit(ChangeJson(), change));
  }
  return { { "version", aEntry.version },
           { "token", aEntry.token },
           { "author", aEntry.author },
           { "changes", std::move(changes) } };
}

ChangeEntry
EntryOf(const Json& aJson)
{
  ChangeEntry entry;
  entry.version = aJson.at("version").get<std::uint64_t>();
  entry.token = aJson.at("token").get<std::string>();
  entry.author = aJson.at("author").get<std::string>();
  for (const Json& change : aJson.at("changes")) {
    entry.changes.push_back(ChangeOf(change));
  }
  return entry;
}

// The rows travel as one text: a JSON tree of 46,000 rows would take several
// times the memory of the table itself.
Json
SnapshotJson(const TableSnapshot& aSnapshot)
{
  Json stops = Json::array();
  for (const StopMark& mark : aSnapshot.stops) {
    stops.push_back(MarkJson(mark));
  }
  return { { "version", aSnapshot.version },
           { "stops", std::move(stops) },
           { "table", aSnapshot.table.ToCsv() } };
}

Table
TableOf(const std::string& aCsv)
{
  detail::CsvTable read = detail::ReadTableCsv("snapshot", aCsv);
  if (!read.findings.empty()) {
    throw Malformed();
  }
  std::vector<TableRow> rows;
  rows.reserve(read.lines.size());
  for (detail::CsvTable::Line& line : read.lines) {
    rows.push_back(std::move(line.row));
  }
  return Table().With(rows, {});
}

TableSnapshot
SnapshotOf(const Json& aJson)
{
  TableSnapshot snapshot;
  snapshot.version = aJson.at("version").get<std::uint64_t>();
  snapshot.table = TableOf(aJson.at("table").get_ref<const std::string&>());
  for (const Json& mark : aJson.at("stops")) {
    snapshot.stops.push_back(MarkOf(mark));
  }
  std::sort(snapshot.stops.begin(),
            snapshot.stops.end(),
            [](const StopMark& aLeft, const StopMark& aRight) {
              return aLeft.subject < aRight.subject;
            });
  return snapshot;
}

std::string
Text(const Json& aJson)
{
  return aJson.dump(-1, ' ', false, Json::error_handler_t::replace);
}

/// @return the value, or nothing when reading found it malformed.
template<typename Read>
auto
Attempt(Read aRead) -> std::optional<decltype(aRead())>
{
  try {
    return aRead();
  } catch (const Json::exception&) {
    return std::nullopt;
  } catch (const Malformed&) {
    return std::nullopt;
  }
}

} // namespace

std::string
ToJson(const ChangeEntry& aEntry)
{
  return Text(EntryJson(aEntry));
}

std::string
ToJson(const TableSnapshot& aSnapshot)
{
  return Text(SnapshotJson(aSnapshot));
}

std::optional<ChangeEntry>
ChangeEntryFromJson(std::string_view aText)
{
  return Attempt([&] { return EntryOf(Json::parse(aText)); });
}

std::optional<TableSnapshot>
SnapshotFromJson(std::string_view aText)
{
  return Attempt([&] { return SnapshotOf(Json::parse(aText)); });
}

std::vector<std::uint8_t>
ToCbor(const ChangeEntry& aEntry)
{
  return Json::to_cbor(EntryJson(aEntry));
}

std::vector<std::uint8_t>
ToCbor(const TableSnapshot& aSnapshot)
{
  return Json::to_cbor(SnapshotJson(aSnapshot));
}

std::optional<ChangeEntry>
ChangeEntryFromCbor(std::span<const std::uint8_t> aBytes)
{
  return Attempt([&] { return EntryOf(Json::from_cbor(aBytes)); });
}

std::optional<TableSnapshot>
SnapshotFromCbor(std::span<const std::uint8_t> aBytes)
{
  return Attempt([&] { return SnapshotOf(Json::from_cbor(aBytes)); });
}

} // namespace jujubehead::core
