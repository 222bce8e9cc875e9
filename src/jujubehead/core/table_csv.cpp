#include "table_csv.hpp"

#include <algorithm> // for none_of
#include <optional>  // for optional
#include <string>    // for string, to_string
#include <vector>    // for vector

#include "csv_reader.hpp" // for ReadCsv, CsvCell
#include "table_cell.hpp" // for ParseCell, ColumnOfName

namespace jujubehead::core::detail {
namespace {

std::string
AllColumnNames()
{
  std::string names;
  for (const TableColumn column : TableColumns()) {
    names += (names.empty() ? "" : ",") + std::string(ColumnName(column));
  }
  return names;
}

class TableReader
{
public:
  TableReader(std::string_view aFile, const OnCsvLine& aOnLine)
    : m_file(aFile)
    , m_on_line(aOnLine)
  {
  }

  CsvTable Read(std::string_view aText)
  {
    const auto error = ReadCsv(
      aText, [this](std::size_t aLine, std::span<const std::string> aCells) {
        if (m_has_header) {
          ReadRow(aLine, aCells);
        } else {
          ReadHeader(aLine, aCells);
        }
      });
    if (error) {
      Add(error->line,
          0,
          "not comma-separated values: " + error->message,
          "quotes around a whole cell only, and doubled inside it");
      m_table.header_valid = false;
    } else if (!m_has_header) {
      Add(1, 0, "the table is empty", "a first line " + AllColumnNames());
      m_table.header_valid = false;
    }
    return std::move(m_table);
  }

private:
  void Add(std::size_t aLine,
           std::size_t aColumn,
           std::string aMessage,
           std::string aExpected)
  {
    m_table.findings.push_back({ Place{ m_file, aLine, aColumn },
                                 std::move(aMessage),
                                 std::move(aExpected) });
  }

  void AddHeader(std::size_t aLine,
                 std::size_t aColumn,
                 std::string aMessage,
                 std::string aExpected)
  {
    m_table.header_valid = false;
    Add(aLine, aColumn, std::move(aMessage), std::move(aExpected));
  }

  void ReadHeader(std::size_t aLine, std::span<const std::string> aCells)
  {
    m_has_header = true;
    for (std::size_t i = 0; i < aCells.size(); ++i) {
      ReadColumnName(aLine, i + 1, aCells[i]);
    }
    for (const TableColumn column : TableColumns()) {
      if (Position(column) == 0) {
        AddHeader(aLine,
                  0,
                  "no column '" + std::string(ColumnName(column)) + "'",
                  AllColumnNames());
      }
    }
  }

  void ReadColumnName(std::size_t aLine,
                      std::size_t aPosition,
                      const std::string& aName)
  {
    const std::optional<TableColumn> column = ColumnOfName(aName);
    m_columns.push_back(column);
    if (!column) {
      AddHeader(
        aLine, aPosition, "unknown column '" + aName + "'", AllColumnNames());
      return;
    }
    std::size_t& position = Position(*column);
    if (position != 0) {
      AddHeader(aLine,
                aPosition,
                "column '" + aName + "' appears twice, first in column " +
                  std::to_string(position),
                "each column once");
      m_columns.back() = std::nullopt;
      return;
    }
    position = aPosition;
  }

  void ReadRow(std::size_t aLine, std::span<const std::string> aCells)
  {
    if (aCells.size() != m_columns.size()) {
      Add(aLine,
          0,
          "the row has " + std::to_string(aCells.size()) + " cells",
          std::to_string(m_columns.size()) + ", as many as the first line");
    }
    CsvLine line;
    line.line = aLine;
    line.cells_valid = aCells.size() == m_columns.size();
    for (const TableColumn column : TableColumns()) {
      ReadCell(line, column, aCells);
    }
    m_on_line(std::move(line));
  }

  void ReadCell(CsvLine& aLine,
                TableColumn aColumn,
                std::span<const std::string> aCells)
  {
    const std::size_t position = Position(aColumn);
    const bool is_key =
      aColumn == TableColumn::kAccount || aColumn == TableColumn::kModel;
    if (position == 0 || position > aCells.size()) {
      aLine.has_key = aLine.has_key && !is_key;
      return;
    }
    const std::string& text = aCells[position - 1];
    if (auto expected = ParseCell(aLine.row, aColumn, text)) {
      Add(aLine.line,
          position,
          std::string(ColumnName(aColumn)) + " is '" + text + "'",
          std::move(*expected));
      aLine.cells_valid = false;
      aLine.has_key = aLine.has_key && !is_key;
    }
  }

  std::size_t& Position(TableColumn aColumn)
  {
    return m_table.positions.at(static_cast<std::size_t>(aColumn));
  }

  std::string m_file;
  const OnCsvLine& m_on_line;
  CsvTable m_table;
  bool m_has_header = false;
  std::vector<std::optional<TableColumn>> m_columns;
};

} // namespace

CsvTable
ReadTableCsv(std::string_view aFile,
             std::string_view aText,
             const OnCsvLine& aOnLine)
{
  return TableReader(aFile, aOnLine).Read(aText);
}

std::string
CsvHeader()
{
  return AllColumnNames() + '\n';
}

void
AppendCsvRow(std::string& aText, const TableRow& aRow)
{
  for (const TableColumn column : TableColumns()) {
    aText += column == TableColumn::kAccount ? "" : ",";
    aText += CsvCell(CellText(aRow, column));
  }
  aText += '\n';
}

} // namespace jujubehead::core::detail
