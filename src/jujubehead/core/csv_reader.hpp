#ifndef JUJUBEHEAD_CORE_CSV_READER_HPP
#define JUJUBEHEAD_CORE_CSV_READER_HPP

#include <cstddef>     // for size_t
#include <functional>  // for function
#include <optional>    // for optional
#include <span>        // for span
#include <string>      // for string
#include <string_view> // for string_view

namespace jujubehead::core::detail {

/// Called with the line that a row begins on, from 1, and its cells.
using OnCsvRow =
  std::function<void(std::size_t aLine, std::span<const std::string> aCells)>;

/// @brief The text is malformed from this line on.
struct CsvError
{
  std::size_t line = 0;
  std::string message;
};

/// @brief Reads rows of comma-separated values; empty lines are counted but
/// skipped.
std::optional<CsvError>
ReadCsv(std::string_view aText, const OnCsvRow& aOnRow);

/// @return the cell, quoted if necessary.
std::string
CsvCell(std::string_view aCell);

} // namespace jujubehead::core::detail

#endif // JUJUBEHEAD_CORE_CSV_READER_HPP
