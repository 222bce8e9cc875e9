#include "jujubehead/core/table.hpp"

#include <algorithm> // for find_if, lower_bound, stable_sort
#include <iterator>  // for make_move_iterator
#include <tuple>     // for tie
#include <utility>   // for move

#include "table_check.hpp" // for CheckRows
#include "table_csv.hpp"   // for ReadTableCsv, AppendCsvRow

namespace jujubehead::core {
namespace {

using Row = Table::Row;
using RowSpan = std::span<const Row>;

bool
IsBefore(const Row& aRow, const TableRowKey& aKey)
{
  return std::tie(aRow->account, aRow->model) <
         std::tie(aKey.account, aKey.model);
}

RowSpan::iterator
LowerBound(RowSpan aRows, const TableRowKey& aKey)
{
  return std::lower_bound(aRows.begin(), aRows.end(), aKey, IsBefore);
}

/// Places in the file that a table was read from.
class CsvPlaces : public detail::RowPlaces
{
public:
  CsvPlaces(std::string_view aFile,
            const detail::CsvTable& aTable,
            std::span<const detail::CsvLine> aLines)
    : m_file(aFile)
    , m_table(aTable)
    , m_lines(aLines)
  {
  }
  [[nodiscard]] Place Of(std::size_t aRow, TableColumn aColumn) const override
  {
    return { m_file,
             m_lines[aRow].line,
             m_table.positions.at(static_cast<std::size_t>(aColumn)) };
  }

private:
  std::string m_file;
  const detail::CsvTable& m_table;
  std::span<const detail::CsvLine> m_lines;
};

/// Places by index, for rows that were not read from a file.
class IndexPlaces : public detail::RowPlaces
{
public:
  explicit IndexPlaces(std::string_view aFile)
    : m_file(aFile)
  {
  }
  [[nodiscard]] Place Of(std::size_t aRow, TableColumn aColumn) const override
  {
    return { m_file, aRow + 1, static_cast<std::size_t>(aColumn) + 1 };
  }

private:
  std::string m_file;
};

Findings
CheckLines(std::string_view aFile,
           const detail::CsvTable& aTable,
           std::span<const detail::CsvLine> aLines)
{
  std::vector<detail::CheckedRow> rows;
  rows.reserve(aLines.size());
  for (const detail::CsvLine& line : aLines) {
    rows.push_back({ &line.row, line.cells_valid });
  }
  return detail::CheckRows(rows, CsvPlaces(aFile, aTable, aLines));
}

void
SortByPlace(Findings& aFindings)
{
  std::stable_sort(aFindings.begin(),
                   aFindings.end(),
                   [](const Finding& aLeft, const Finding& aRight) {
                     return std::tie(aLeft.place.row, aLeft.place.column) <
                            std::tie(aRight.place.row, aRight.place.column);
                   });
}

} // namespace

Checked<Table>
Table::FromCsv(std::string_view aFile, std::string_view aText)
{
  std::vector<detail::CsvLine> lines;
  detail::CsvTable read =
    detail::ReadTableCsv(aFile, aText, [&](detail::CsvLine aLine) {
      // A row without account or model can't be checked against others.
      if (aLine.has_key) {
        lines.push_back(std::move(aLine));
      }
    });
  Findings findings = std::move(read.findings);
  if (read.header_valid) {
    Findings together = CheckLines(aFile, read, lines);
    findings.insert(findings.end(),
                    std::make_move_iterator(together.begin()),
                    std::make_move_iterator(together.end()));
  }
  if (!findings.empty()) {
    SortByPlace(findings);
    return findings;
  }
  std::vector<Row> rows;
  rows.reserve(lines.size());
  for (detail::CsvLine& line : lines) {
    rows.push_back(std::make_shared<const TableRow>(std::move(line.row)));
  }
  return Table().With(std::move(rows), {});
}

Checked<Table>
Table::FromRows(std::string_view aFile, std::vector<TableRow> aRows)
{
  std::vector<detail::CheckedRow> checked;
  checked.reserve(aRows.size());
  for (const TableRow& row : aRows) {
    checked.push_back({ &row, true });
  }
  Findings findings = detail::CheckRows(checked, IndexPlaces(aFile));
  if (!findings.empty()) {
    return findings;
  }
  return Table().With(aRows, {});
}

Findings
Table::Check(std::string_view aFile) const
{
  std::vector<detail::CheckedRow> checked;
  checked.reserve(m_rows.size());
  for (const Row& row : m_rows) {
    checked.push_back({ row.get(), true });
  }
  return detail::CheckRows(checked, IndexPlaces(aFile));
}

const TableRow*
Table::Find(const AccountId& aAccount, const ModelId& aModel) const
{
  const RowSpan rows = m_rows;
  const auto found = LowerBound(rows, { aAccount, aModel });
  const bool is_match = found != rows.end() && (*found)->account == aAccount &&
                        (*found)->model == aModel;
  return is_match ? found->get() : nullptr;
}

const TableRow*
Table::ModelDefaults(const ModelId& aModel) const
{
  return Find(AccountId(std::string(kModelDefaultsAccount)), aModel);
}

std::span<const Row>
Table::RowsOf(const AccountId& aAccount) const
{
  const RowSpan rows = m_rows;
  const auto first = LowerBound(rows, { aAccount, ModelId() });
  const auto last = std::find_if(first, rows.end(), [&](const Row& aRow) {
    return aRow->account != aAccount;
  });
  return { first, last };
}

std::span<const Row>
Table::Models() const
{
  return RowsOf(AccountId(std::string(kModelDefaultsAccount)));
}

std::string_view
Table::KeyHash(const AccountId& aAccount) const
{
  for (const Row& row : RowsOf(aAccount)) {
    if (!row->key_hash.empty()) {
      return row->key_hash;
    }
  }
  return {};
}

std::string
Table::ToCsv() const
{
  std::string text = detail::CsvHeader();
  for (const Row& row : m_rows) {
    detail::AppendCsvRow(text, *row);
  }
  return text;
}

} // namespace jujubehead::core
