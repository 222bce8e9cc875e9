#include "table_cell.hpp"

#include <algorithm> // for all_of, find
#include <charconv>  // for to_chars

namespace jujubehead::core {
namespace {

using detail::kNoAdapter;

std::string
PriceText(double aPrice)
{
  std::array<char, 64> text{};
  const auto end = std::to_chars(
    text.data(), text.data() + text.size(), aPrice, std::chars_format::fixed);
  return { text.data(), end.ptr };
}

std::string
ValueText(const TableRow& aRow, TableColumn aColumn)
{
  switch (aColumn) {
    case TableColumn::kAccount:
      return aRow.account.Text();
    case TableColumn::kModel:
      return aRow.model.Text();
    case TableColumn::kVersion:
      return aRow.version;
    case TableColumn::kAdapter:
      return aRow.adapter.empty() ? std::string(kNoAdapter) : aRow.adapter;
    case TableColumn::kWeight:
      return std::to_string(aRow.weight);
    case TableColumn::kMaxRunning:
      return std::to_string(aRow.max_running);
    case TableColumn::kMaxWaiting:
      return std::to_string(aRow.max_waiting);
    case TableColumn::kPriority:
      return std::to_string(aRow.priority);
    case TableColumn::kDeadline:
      return std::to_string(
        std::chrono::duration_cast<std::chrono::milliseconds>(aRow.deadline)
          .count());
    case TableColumn::kRecomputePrice:
      return PriceText(aRow.recompute_price);
    case TableColumn::kKeyHash:
      return aRow.key_hash;
  }
  return {};
}

void
CopyValue(TableRow& aTo, const TableRow& aFrom, TableColumn aColumn)
{
  switch (aColumn) {
    case TableColumn::kVersion:
      aTo.version = aFrom.version;
      return;
    case TableColumn::kAdapter:
      aTo.adapter = aFrom.adapter;
      return;
    case TableColumn::kWeight:
      aTo.weight = aFrom.weight;
      return;
    case TableColumn::kMaxRunning:
      aTo.max_running = aFrom.max_running;
      return;
    case TableColumn::kMaxWaiting:
      aTo.max_waiting = aFrom.max_waiting;
      return;
    case TableColumn::kPriority:
      aTo.priority = aFrom.priority;
      return;
    case TableColumn::kDeadline:
      aTo.deadline = aFrom.deadline;
      return;
    case TableColumn::kRecomputePrice:
      aTo.recompute_price = aFrom.recompute_price;
      return;
    case TableColumn::kAccount:
    case TableColumn::kModel:
    case TableColumn::kKeyHash:
      return; // Never inherited.
  }
}

constexpr std::array<std::string_view, kTableColumnCount> kNames = {
  "account",     "model",           "version",     "adapter",
  "weight",      "max_running",     "max_waiting", "priority",
  "deadline_ms", "recompute_price", "key_hash",
};

} // namespace

std::string_view
ColumnName(TableColumn aColumn)
{
  return kNames.at(static_cast<std::size_t>(aColumn));
}

std::string
CellText(const TableRow& aRow, TableColumn aColumn)
{
  return aRow.IsInherited(aColumn) ? std::string() : ValueText(aRow, aColumn);
}

bool
SameCells(const TableRow& aLeft, const TableRow& aRight)
{
  const auto& columns = detail::TableColumns();
  return std::all_of(columns.begin(), columns.end(), [&](TableColumn aColumn) {
    return detail::SameCell(aLeft, aRight, aColumn);
  });
}

namespace detail {

const std::array<TableColumn, kTableColumnCount>&
TableColumns()
{
  static constexpr std::array<TableColumn, kTableColumnCount> kColumns = {
    TableColumn::kAccount,    TableColumn::kModel,
    TableColumn::kVersion,    TableColumn::kAdapter,
    TableColumn::kWeight,     TableColumn::kMaxRunning,
    TableColumn::kMaxWaiting, TableColumn::kPriority,
    TableColumn::kDeadline,   TableColumn::kRecomputePrice,
    TableColumn::kKeyHash,
  };
  return kColumns;
}

std::optional<TableColumn>
ColumnOfName(std::string_view aName)
{
  const auto found = std::find(kNames.begin(), kNames.end(), aName);
  if (found == kNames.end()) {
    return std::nullopt;
  }
  return static_cast<TableColumn>(found - kNames.begin());
}

void
FillInherited(TableRow& aRow, const TableRow& aDefaults)
{
  for (const TableColumn column : TableColumns()) {
    if (aRow.IsInherited(column)) {
      CopyValue(aRow, aDefaults, column);
    }
  }
}

bool
SameCell(const TableRow& aLeft, const TableRow& aRight, TableColumn aColumn)
{
  return CellText(aLeft, aColumn) == CellText(aRight, aColumn);
}

} // namespace detail
} // namespace jujubehead::core
