#include "jujubehead/core/table.hpp"

#include <algorithm> // for lower_bound, stable_sort, unique
#include <set>       // for set
#include <utility>   // for move, pair

#include "table_cell.hpp" // for Inherit

namespace jujubehead::core {
namespace {

using Row = Table::Row;

using Key = std::pair<std::string_view, std::string_view>;

Key
KeyOf(const TableRow& aRow)
{
  return { aRow.account.View(), aRow.model.View() };
}

Key
KeyOf(const TableRowKey& aKey)
{
  return { aKey.account.View(), aKey.model.View() };
}

/// The new state of a single row; null: removed.
struct Edit
{
  Key key;
  Row row;
};

bool
IsBefore(const Edit& aLeft, const Edit& aRight)
{
  return aLeft.key < aRight.key;
}

/// @return the edits in key order; of several to one row, the last.
std::vector<Edit>
EditsOf(std::vector<Row> aPut, std::span<const TableRowKey> aRemoved)
{
  std::vector<Edit> edits;
  edits.reserve(aPut.size() + aRemoved.size());
  for (const TableRowKey& key : aRemoved) {
    edits.push_back({ KeyOf(key), nullptr });
  }
  for (Row& row : aPut) {
    const Key key = KeyOf(*row);
    edits.push_back({ key, std::move(row) });
  }
  std::stable_sort(edits.begin(), edits.end(), IsBefore);
  const auto last = std::unique(
    edits.rbegin(), edits.rend(), [](const Edit& aLeft, const Edit& aRight) {
      return aLeft.key == aRight.key;
    });
  edits.erase(edits.begin(), last.base());
  return edits;
}

/// Merges the edits into the rows, both in key order.
std::vector<Row>
Merge(std::span<const Row> aRows, std::span<const Edit> aEdits)
{
  std::vector<Row> merged;
  merged.reserve(aRows.size() + aEdits.size());
  auto row = aRows.begin();
  for (const Edit& edit : aEdits) {
    const auto next = std::lower_bound(
      row, aRows.end(), edit.key, [](const Row& aRow, const Key& aKey) {
        return KeyOf(*aRow) < aKey;
      });
    merged.insert(merged.end(), row, next);
    row = next;
    if (row != aRows.end() && KeyOf(**row) == edit.key) {
      ++row;
    }
    if (edit.row) {
      merged.push_back(edit.row);
    }
  }
  merged.insert(merged.end(), row, aRows.end());
  return merged;
}

/// @return the row with its inherited cells filled.
Row
Filled(const Row& aRow, const TableRow& aDefaults)
{
  TableRow filled = *aRow;
  detail::FillInherited(filled, aDefaults);
  return filled == *aRow ? aRow
                         : std::make_shared<const TableRow>(std::move(filled));
}

/// Fills the inherited cells of edited rows, and of all rows of a model whose
/// `*` row was edited.
class InheritedCellFiller
{
public:
  InheritedCellFiller(std::vector<Row>& aRows, std::span<const Edit> aEdits)
    : m_rows(aRows)
    , m_edits(aEdits)
  {
    for (const Edit& edit : aEdits) {
      if (edit.key.first == kModelDefaultsAccount) {
        m_edited_models.insert(edit.key.second);
      }
    }
  }

  void Run()
  {
    // The `*` rows come first in both, so that they are filled before those
    // that inherit from them.
    for (const Edit& edit : m_edits) {
      const auto row = Find(edit.key);
      if (row != m_rows.end()) {
        Fill(*row);
      }
    }
    if (m_edited_models.empty()) {
      return;
    }
    for (Row& row : m_rows) {
      if (m_edited_models.contains(row->model.View())) {
        Fill(row);
      }
    }
  }

private:
  std::vector<Row>::iterator Find(const Key& aKey)
  {
    const auto found =
      std::lower_bound(m_rows.begin(),
                       m_rows.end(),
                       aKey,
                       [](const Row& aRow, const Key& aWanted) {
                         return KeyOf(*aRow) < aWanted;
                       });
    const bool is_match = found != m_rows.end() && KeyOf(**found) == aKey;
    return is_match ? found : m_rows.end();
  }

  void Fill(Row& aRow)
  {
    static const TableRow kBuiltIn;
    const auto defaults =
      aRow->IsModelDefaults()
        ? m_rows.end()
        : Find({ kModelDefaultsAccount, aRow->model.View() });
    aRow = Filled(aRow, defaults == m_rows.end() ? kBuiltIn : **defaults);
  }

  std::vector<Row>& m_rows;
  std::span<const Edit> m_edits;
  std::set<std::string_view> m_edited_models;
};

} // namespace

Table
Table::With(std::vector<Row> aPut, std::span<const TableRowKey> aRemoved) const
{
  const std::vector<Edit> edits = EditsOf(std::move(aPut), aRemoved);
  Table table;
  table.m_rows = Merge(m_rows, edits);
  InheritedCellFiller(table.m_rows, edits).Run();
  return table;
}

Table
Table::With(std::span<const TableRow> aPut,
            std::span<const TableRowKey> aRemoved) const
{
  std::vector<Row> put;
  put.reserve(aPut.size());
  for (const TableRow& row : aPut) {
    put.push_back(std::make_shared<const TableRow>(row));
  }
  return With(std::move(put), aRemoved);
}

} // namespace jujubehead::core
