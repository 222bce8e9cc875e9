#ifndef JUJUBEHEAD_CORE_TABLE_CHECK_HPP
#define JUJUBEHEAD_CORE_TABLE_CHECK_HPP

#include <span>        // for span
#include <string_view> // for string_view

#include "jujubehead/core/table.hpp" // for TableRow, Findings

namespace jujubehead::core::detail {

/// @brief Maps cells of checked rows to their places in the input.
class RowPlaces
{
public:
  virtual ~RowPlaces() = default;
  /// @param aRow index into the checked rows.
  [[nodiscard]] virtual Place Of(std::size_t aRow,
                                 TableColumn aColumn) const = 0;
};

/// @brief A row to check.
struct CheckedRow
{
  const TableRow* row = nullptr;
  bool cells_valid = true; ///< False: only account and model are known.
};

/// @brief Checks rows against each other: duplicates, accounts whose model has
/// no row, values above the model's limits.
/// @param aRows in any order; inherited cells need not be filled.
Findings
CheckRows(std::span<const CheckedRow> aRows, const RowPlaces& aPlaces);

} // namespace jujubehead::core::detail

#endif // JUJUBEHEAD_CORE_TABLE_CHECK_HPP
