#ifndef JUJUBEHEAD_CORE_TABLE_CSV_HPP
#define JUJUBEHEAD_CORE_TABLE_CSV_HPP

#include <array>       // for array
#include <functional>  // for function
#include <string>      // for string
#include <string_view> // for string_view

#include "jujubehead/core/table.hpp" // for TableRow, Findings

namespace jujubehead::core::detail {

/// @brief A row as read.
struct CsvLine
{
  TableRow row;
  std::size_t line = 0;
  bool has_key = true;   ///< Account and model could be read.
  bool cells_fit = true; ///< All cells could be read.
};

/// Takes rows as they are read, so that not all are held twice.
using OnCsvLine = std::function<void(CsvLine aLine)>;

/// @brief What was read beside the rows.
struct CsvTable
{
  /// Position of each column in the file, from 1; 0: it is missing.
  std::array<std::size_t, kTableColumnCount> positions{};
  bool header_fits = true;
  Findings findings; ///< About single cells.
};

/// @brief Reads cells; checks nothing that takes more than one row.
CsvTable
ReadTableCsv(std::string_view aFile,
             std::string_view aText,
             const OnCsvLine& aOnLine);

/// @return the first line of a table, with its end.
std::string
CsvHeader();

/// @brief Adds a row's line to the text.
void
AppendCsvRow(std::string& aText, const TableRow& aRow);

} // namespace jujubehead::core::detail

#endif // JUJUBEHEAD_CORE_TABLE_CSV_HPP
