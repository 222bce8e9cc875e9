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
  bool has_key = true;     ///< Account and model could be read.
  bool cells_valid = true; ///< All cells could be read.
};

/// Receives rows one by one, so that they are not all in memory twice.
using OnCsvLine = std::function<void(CsvLine aLine)>;

/// @brief The result of reading, apart from the rows.
struct CsvTable
{
  /// Position of each column in the file, from 1; 0: it is missing.
  std::array<std::size_t, kTableColumnCount> positions{};
  bool header_valid = true;
  Findings findings; ///< About single cells.
};

/// @brief Parses and checks single cells; nothing across rows.
CsvTable
ReadTableCsv(std::string_view aFile,
             std::string_view aText,
             const OnCsvLine& aOnLine);

/// @return the header line, with the line break.
std::string
CsvHeader();

/// @brief Adds a row's line to the text.
void
AppendCsvRow(std::string& aText, const TableRow& aRow);

} // namespace jujubehead::core::detail

#endif // JUJUBEHEAD_CORE_TABLE_CSV_HPP
