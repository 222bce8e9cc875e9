#include "jujubehead/core/table.hpp"

#include <algorithm> // for lower_bound
#include <map>       // for map
#include <optional>  // for optional
#include <set>       // for set
#include <tuple>     // for tie
#include <utility>   // for move, pair

#include "table_cell.hpp" // for Inherit

namespace jujubehead::core {
namespace {

using Row = Table::Row;

/// What becomes of single rows; nothing: the row is taken out.
using Edits = std::map<TableRowKey, std::optional<TableRow>>;

auto
Tied(const TableRow& aRow)
{
  return std::tie(aRow.account, aRow.model);
}

auto
Tied(const TableRowKey& aKey)
{
  return std::tie(aKey.account, aKey.model);
}

Edits
EditsOf(std::span<const TableRow> aPut, std::span<const TableRowKey> aRemoved)
{
  Edits edits;
  for (const TableRowKey& key : aRemoved) {
    edits[key] = std::nullopt;
  }
  for (const TableRow& row : aPut) {
    edits[{ row.account, row.model }] = row;
  }
  return edits;
}

/// Puts the edits among the rows, both in order.
std::vector<Row>
Merge(std::span<const Row> aRows, const Edits& aEdits)
{
  std::vector<Row> merged;
  merged.reserve(aRows.size() + aEdits.size());
  auto row = aRows.begin();
  for (const auto& [key, edit] : aEdits) {
    const auto next = std::lower_bound(
      row, aRows.end(), key, [](const Row& aRow, const TableRowKey& aKey) {
        return Tied(*aRow) < Tied(aKey);
      });
    merged.insert(merged.end(), row, next);
    row = next;
    if (row != aRows.end() && Tied(**row) == Tied(key)) {
      ++row;
    }
    if (edit) {
      merged.push_back(std::make_shared<const TableRow>(*edit));
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
  detail::Inherit(filled, aDefaults);
  return filled == *aRow ? aRow
                         : std::make_shared<const TableRow>(std::move(filled));
}

/// Fills the inherited cells of edited rows, and of all rows of a model whose
/// `*` row was edited.
class Filler
{
public:
  Filler(std::vector<Row>& aRows, const Edits& aEdits)
    : m_rows(aRows)
    , m_edits(aEdits)
  {
    for (const auto& [key, edit] : aEdits) {
      if (key.account.View() == kModelDefaultsAccount) {
        m_edited_models.insert(key.model.View());
      }
    }
  }

  void Run()
  {
    if (m_edited_models.empty()) {
      FillEditedRows();
      return;
    }
    // The `*` rows come first, so that they are filled before the others.
    for (Row& row : m_rows) {
      if (m_edited_models.contains(row->model.View()) || IsEdited(*row)) {
        Fill(row);
      }
    }
  }

private:
  [[nodiscard]] bool IsEdited(const TableRow& aRow) const
  {
    return m_edits.contains({ aRow.account, aRow.model });
  }

  void FillEditedRows()
  {
    for (const auto& [key, edit] : m_edits) {
      const auto row = Find(key);
      if (row != m_rows.end()) {
        Fill(*row);
      }
    }
  }

  std::vector<Row>::iterator Find(const TableRowKey& aKey)
  {
    const auto found =
      std::lower_bound(m_rows.begin(),
                       m_rows.end(),
                       aKey,
                       [](const Row& aRow, const TableRowKey& aWanted) {
                         return Tied(*aRow) < Tied(aWanted);
                       });
    const bool is_it = found != m_rows.end() && Tied(**found) == Tied(aKey);
    return is_it ? found : m_rows.end();
  }

  void Fill(Row& aRow)
  {
    static const TableRow kBuiltIn;
    const auto defaults =
      aRow->IsModelDefaults()
        ? m_rows.end()
        : Find({ AccountId(std::string(kModelDefaultsAccount)), aRow->model });
    aRow = Filled(aRow, defaults == m_rows.end() ? kBuiltIn : **defaults);
  }

  std::vector<Row>& m_rows;
  const Edits& m_edits;
  std::set<std::string_view> m_edited_models;
};

} // namespace

Table
Table::With(std::span<const TableRow> aPut,
            std::span<const TableRowKey> aRemoved) const
{
  const Edits edits = EditsOf(aPut, aRemoved);
  Table table;
  table.m_rows = Merge(m_rows, edits);
  Filler(table.m_rows, edits).Run();
  return table;
}

} // namespace jujubehead::core
