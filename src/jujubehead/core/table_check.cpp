#include "table_check.hpp"

#include <string>        // for string, to_string
#include <unordered_map> // for unordered_map
#include <utility>       // for pair
#include <vector>        // for vector

#include <boost/container_hash/hash.hpp> // for hash

#include "table_cell.hpp" // for kMaxWeightSum

namespace jujubehead::core::detail {
namespace {

using RowKeyView = std::pair<std::string_view, std::string_view>;

bool
IsService(const TableRow& aRow)
{
  return aRow.model.View().starts_with(kServiceModelPrefix);
}

class Checker
{
public:
  Checker(std::span<const CheckedRow> aRows, const RowPlaces& aPlaces)
    : m_rows(aRows)
    , m_places(aPlaces)
  {
    for (std::size_t i = 0; i < m_rows.size(); ++i) {
      if (Row(i).IsModelDefaults()) {
        m_models.try_emplace(Row(i).model.View(), i);
      }
    }
  }

  Findings Run()
  {
    for (std::size_t i = 0; i < m_rows.size(); ++i) {
      CheckDuplicate(i);
      if (Row(i).IsModelDefaults()) {
        CheckModelRow(i);
      } else {
        CheckAccountRow(i);
      }
    }
    return std::move(m_findings);
  }

private:
  [[nodiscard]] const TableRow& Row(std::size_t aIndex) const
  {
    return *m_rows[aIndex].row;
  }

  void Add(std::size_t aRow,
           TableColumn aColumn,
           std::string aMessage,
           std::string aExpected)
  {
    m_findings.push_back({ m_places.Of(aRow, aColumn),
                           std::move(aMessage),
                           std::move(aExpected) });
  }

  void CheckDuplicate(std::size_t aIndex)
  {
    const TableRow& row = Row(aIndex);
    const auto [first, is_new] =
      m_seen.try_emplace({ row.account.View(), row.model.View() }, aIndex);
    if (!is_new) {
      const Place place = m_places.Of(first->second, TableColumn::kAccount);
      Add(aIndex,
          TableColumn::kAccount,
          "account '" + row.account.Text() + "' has another row of model '" +
            row.model.Text() + "' in row " + std::to_string(place.row),
          "one row for each account and model");
    }
  }

  void CheckModelRow(std::size_t aIndex)
  {
    if (!m_rows[aIndex].cells_valid) {
      return;
    }
    const TableRow& row = Row(aIndex);
    CheckVersions(aIndex);
    if (!IsService(row) && row.version.empty()) {
      Add(aIndex, TableColumn::kVersion, "no version", "a weight version");
    }
    if (row.IsInherited(TableColumn::kMaxRunning)) {
      Add(aIndex,
          TableColumn::kMaxRunning,
          "no limit of the whole target",
          "a whole number from 1");
    } else if (row.max_running == 0) {
      Add(aIndex,
          TableColumn::kMaxRunning,
          "the limit of the whole target is 0",
          "a whole number from 1; bar single accounts by 0 in their rows");
    }
    if (!row.key_hash.empty()) {
      Add(aIndex,
          TableColumn::kKeyHash,
          "a model's row has a key",
          "an empty cell; keys belong to accounts");
    }
  }

  void CheckAccountRow(std::size_t aIndex)
  {
    const TableRow& row = Row(aIndex);
    const auto model = m_models.find(row.model.View());
    if (model == m_models.end()) {
      Add(aIndex,
          TableColumn::kModel,
          "model '" + row.model.Text() + "' has no row of account '*'",
          "a row '*," + row.model.Text() + ",...' with the model's limits");
      return;
    }
    if (!m_rows[aIndex].cells_valid) {
      return;
    }
    CheckVersions(aIndex);
    CheckKey(aIndex);
    if (!m_rows[model->second].cells_valid) {
      return;
    }
    CheckLimit(aIndex, Row(model->second));
    CheckWeight(aIndex, Row(model->second));
  }

  void CheckVersions(std::size_t aIndex)
  {
    const TableRow& row = Row(aIndex);
    if (!IsService(row)) {
      return;
    }
    CheckEmpty(aIndex, TableColumn::kVersion, row.version);
    CheckEmpty(aIndex, TableColumn::kAdapter, row.adapter);
  }

  void CheckEmpty(std::size_t aIndex,
                  TableColumn aColumn,
                  std::string_view aValue)
  {
    if (!aValue.empty()) {
      Add(aIndex,
          aColumn,
          "the row of a plain service names a value for " +
            std::string(ColumnName(aColumn)),
          "an empty cell");
    }
  }

  void CheckKey(std::size_t aIndex)
  {
    const TableRow& row = Row(aIndex);
    if (row.key_hash.empty()) {
      return;
    }
    const auto [first, is_new] = m_keys.try_emplace(row.account.View(), aIndex);
    if (!is_new && Row(first->second).key_hash != row.key_hash) {
      const Place place = m_places.Of(first->second, TableColumn::kKeyHash);
      Add(aIndex,
          TableColumn::kKeyHash,
          "account '" + row.account.Text() + "' has another key in row " +
            std::to_string(place.row),
          "the same key in all rows of an account, or in one of them");
    }
  }

  void CheckLimit(std::size_t aIndex, const TableRow& aModel)
  {
    const TableRow& row = Row(aIndex);
    if (!row.IsInherited(TableColumn::kMaxRunning) &&
        row.max_running > aModel.max_running) {
      Add(aIndex,
          TableColumn::kMaxRunning,
          std::to_string(row.max_running) +
            " is more than the whole target may run",
          "at most " + std::to_string(aModel.max_running) +
            ", the limit of row '*," + row.model.Text() + "'");
    }
    if (!row.IsInherited(TableColumn::kMaxWaiting) &&
        row.max_waiting > aModel.max_waiting) {
      Add(aIndex,
          TableColumn::kMaxWaiting,
          std::to_string(row.max_waiting) +
            " is more than may wait before the whole target",
          "at most " + std::to_string(aModel.max_waiting) +
            ", the limit of row '*," + row.model.Text() + "'");
    }
  }

  void CheckWeight(std::size_t aIndex, const TableRow& aModel)
  {
    const TableRow& row = Row(aIndex);
    const bool inherited = row.IsInherited(TableColumn::kWeight);
    std::uint64_t& sum = m_weights[row.model.View()];
    const std::uint64_t before = sum;
    sum += inherited ? aModel.weight : row.weight;
    if (before <= kMaxWeightSum && sum > kMaxWeightSum) {
      Add(aIndex,
          TableColumn::kWeight,
          "the weights of model '" + row.model.Text() +
            "' add up to more than " + std::to_string(kMaxWeightSum) +
            " from this row on",
          "smaller weights; only their ratios count");
    }
  }

  std::span<const CheckedRow> m_rows;
  const RowPlaces& m_places;
  Findings m_findings;
  std::unordered_map<std::string_view, std::size_t> m_models;
  std::unordered_map<RowKeyView, std::size_t, boost::hash<RowKeyView>> m_seen;
  std::unordered_map<std::string_view, std::size_t> m_keys;
  std::unordered_map<std::string_view, std::uint64_t> m_weights;
};

} // namespace

Findings
CheckRows(std::span<const CheckedRow> aRows, const RowPlaces& aPlaces)
{
  return Checker(aRows, aPlaces).Run();
}

} // namespace jujubehead::core::detail
