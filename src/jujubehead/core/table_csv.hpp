#ifndef JUJUBEHEAD_CORE_TABLE_CSV_HPP
#define JUJUBEHEAD_CORE_TABLE_CSV_HPP

#include <array>       // for array
#include <string_view> // for string_view
#include <vector>      // for vector

#include "table_check.hpp" // for RowPlaces, CheckedRow

namespace jujubehead::core::detail {

/// @brief Rows as read, and what was wrong with single cells.
struct CsvTable
{
  struct Line
  {
    TableRow row;
    std::size_t line = 0;
    bool has_key = true;   ///< Account and model could be read.
    bool cells_fit = true; ///< All cells could be read.
  };

  std::vector<Line> lines;
  /// Position of each column in the file, from 1; 0: it is missing.
  std::array<std::size_t, kTableColumnCount> positions{};
  bool header_fits = true;
  Findings findings;
};

/// @brief Reads cells; checks nothing that takes more than one row.
CsvTable
ReadTableCsv(std::string_view aFile, std::string_view aText);

} // namespace jujubehead::core::detail

#endif // JUJUBEHEAD_CORE_TABLE_CSV_HPP
