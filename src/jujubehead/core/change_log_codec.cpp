#include "jujubehead/core/change_log.hpp"

#include <algorithm>  // for sort
#include <functional> // for function
#include <map>        // for map
#include <utility>    // for move

#include <nlohmann/json.hpp> // for json

#include "table_cell.hpp" // for Inherit
#include "table_csv.hpp"  // for ReadTableCsv, AppendCsvRow

namespace jujubehead::core {
namespace {

using Json = nlohmann::json;

/// Thrown when the text or bytes are malformed.
struct Malformed
{};

Json
SubjectJson(const StopSubject& aSubject)
{
  return Json::array({ std::string(StopKindName(aSubject.kind)), aSubject.id });
}

StopSubject
SubjectOf(const Json& aJson)
{
  const auto kind = ParseStopKind(aJson.at(0).get_ref<const std::string&>());
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

/// Encodes every change except PutRow.
struct NonRowChangeJson
{
  Json operator()(const PutRow& /*aChange*/) const { return nullptr; }
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
NonRowChangeOf(const Json& aJson)
{
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

/// Rows as one CSV text: a JSON tree of 46,000 rows would take several times
/// the memory of the table itself.
class RowsText
{
public:
  void Add(const TableRow& aRow) { detail::AppendCsvRow(m_text, aRow); }
  [[nodiscard]] std::string Take() { return std::move(m_text); }

private:
  std::string m_text = detail::CsvHeader();
};

void
ReadRows(const Json& aText, const std::function<void(TableRow)>& aOnRow)
{
  const auto& text = aText.get_ref<const std::string&>();
  const detail::CsvTable read = detail::ReadTableCsv(
    "rows", text, [&](detail::CsvLine aLine) { aOnRow(std::move(aLine.row)); });
  if (!read.findings.empty()) {
    throw Malformed();
  }
}

Json
EntryJson(const ChangeEntry& aEntry)
{
  RowsText rows;
  Json others = Json::array();
  for (const Change& change : aEntry.changes) {
    if (const auto* put = std::get_if<PutRow>(&change)) {
      rows.Add(put->row);
    } else {
      others.push_back(std::visit(NonRowChangeJson(), change));
    }
  }
  return { { "version", aEntry.version },
           { "token", aEntry.token },
           { "author", aEntry.author },
           { "rows", rows.Take() },
           { "others", std::move(others) } };
}

ChangeEntry
EntryOf(const Json& aJson)
{
  ChangeEntry entry;
  entry.version = aJson.at("version").get<std::uint64_t>();
  entry.token = aJson.at("token").get<std::string>();
  entry.author = aJson.at("author").get<std::string>();
  ReadRows(aJson.at("rows"), [&](TableRow aRow) {
    entry.changes.emplace_back(PutRow{ std::move(aRow) });
  });
  for (const Json& change : aJson.at("others")) {
    entry.changes.push_back(NonRowChangeOf(change));
  }
  return entry;
}

Json
SnapshotJson(const TableSnapshot& aSnapshot)
{
  Json stops = Json::array();
  for (const StopMark& mark : aSnapshot.stops) {
    stops.push_back(MarkJson(mark));
  }
  return { { "version", aSnapshot.version },
           { "stops", std::move(stops) },
           { "rows", aSnapshot.table.ToCsv() } };
}

/// Rows arrive in order, the `*` rows first, so that the inherited cells of the
/// others are filled before the rows are shared and need no copy later.
Table
TableOf(const Json& aText)
{
  std::vector<Table::Row> rows;
  std::map<ModelId, Table::Row> defaults;
  ReadRows(aText, [&](TableRow aRow) {
    const auto found = defaults.find(aRow.model);
    if (found != defaults.end()) {
      detail::FillInherited(aRow, *found->second);
    }
    rows.push_back(std::make_shared<const TableRow>(std::move(aRow)));
    if (rows.back()->IsModelDefaults()) {
      defaults.emplace(rows.back()->model, rows.back());
    }
  });
  return Table().With(std::move(rows), {});
}

TableSnapshot
SnapshotOf(const Json& aJson)
{
  TableSnapshot snapshot;
  snapshot.version = aJson.at("version").get<std::uint64_t>();
  snapshot.table = TableOf(aJson.at("rows"));
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

/// @return the value, or nothing when it is malformed.
template<typename Read>
auto
TryParse(Read aRead) -> std::optional<decltype(aRead())>
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
  return TryParse([&] { return EntryOf(Json::parse(aText)); });
}

std::optional<TableSnapshot>
SnapshotFromJson(std::string_view aText)
{
  return TryParse([&] { return SnapshotOf(Json::parse(aText)); });
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
  return TryParse([&] { return EntryOf(Json::from_cbor(aBytes)); });
}

std::optional<TableSnapshot>
SnapshotFromCbor(std::span<const std::uint8_t> aBytes)
{
  return TryParse([&] { return SnapshotOf(Json::from_cbor(aBytes)); });
}

} // namespace jujubehead::core
