#ifndef JUJUBEHEAD_CORE_TABLE_CELL_HPP
#define JUJUBEHEAD_CORE_TABLE_CELL_HPP

#include <array>       // for array
#include <cstdint>     // for uint64_t
#include <optional>    // for optional
#include <string>      // for string
#include <string_view> // for string_view

#include "jujubehead/core/table.hpp" // for TableRow, TableColumn

namespace jujubehead::core::detail {

/// All columns, in their usual order.
const std::array<TableColumn, kTableColumnCount>&
TableColumns();

/// @return the column of that name.
std::optional<TableColumn>
ColumnOfName(std::string_view aName);

/// @brief Writes a cell's text into the row; empty marks it as inherited.
/// @return the expected format if the text is invalid, otherwise nothing.
std::optional<std::string>
ParseCell(TableRow& aRow, TableColumn aColumn, std::string_view aText);

/// @brief Copies the row's inherited cells from another row.
void
FillInherited(TableRow& aRow, const TableRow& aDefaults);

/// @return whether both rows have the same cell as written.
bool
SameCell(const TableRow& aLeft, const TableRow& aRight, TableColumn aColumn);

/// Adapter cell of an account that uses none, even if the model has one.
inline constexpr std::string_view kNoAdapter = "-";

/// The greatest sum of the weights of a model's accounts.
inline constexpr std::uint64_t kMaxWeightSum = 1'000'000'000;

} // namespace jujubehead::core::detail

#endif // JUJUBEHEAD_CORE_TABLE_CELL_HPP
