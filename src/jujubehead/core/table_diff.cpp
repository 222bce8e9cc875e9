#include "jujubehead/core/table_diff.hpp"

#include <tuple> // for tie

#include "table_cell.hpp" // for TableColumns, SameCell

namespace jujubehead::core {
namespace {

std::vector<TableColumn>
ChangedColumns(const TableRow& aBefore, const TableRow& aAfter)
{
  std::vector<TableColumn> columns;
  for (const TableColumn column : detail::TableColumns()) {
    if (!detail::SameCell(aBefore, aAfter, column)) {
      columns.push_back(column);
    }
  }
  return columns;
}

auto
Tied(const TableRow& aRow)
{
  return std::tie(aRow.account, aRow.model);
}

void
Compare(const Table::Row& aBefore,
        const Table::Row& aAfter,
        std::vector<TableChange>& aChanges)
{
  if (aBefore == aAfter || *aBefore == *aAfter) {
    return;
  }
  std::vector<TableColumn> columns = ChangedColumns(*aBefore, *aAfter);
  if (!columns.empty()) {
    aChanges.emplace_back(RowChanged{ *aBefore, *aAfter, std::move(columns) });
  }
}

} // namespace

std::vector<TableChange>
Diff(const Table& aOld, const Table& aNew)
{
  std::vector<TableChange> changes;
  auto before = aOld.Rows().begin();
  auto after = aNew.Rows().begin();
  while (before != aOld.Rows().end() || after != aNew.Rows().end()) {
    if (after == aNew.Rows().end() ||
        (before != aOld.Rows().end() && Tied(**before) < Tied(**after))) {
      changes.emplace_back(RowRemoved{ **before++ });
    } else if (before == aOld.Rows().end() || Tied(**after) < Tied(**before)) {
      changes.emplace_back(RowAdded{ **after++ });
    } else {
      Compare(*before++, *after++, changes);
    }
  }
  return changes;
}

} // namespace jujubehead::core
