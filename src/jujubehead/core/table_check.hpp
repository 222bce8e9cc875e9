#ifndef JUJUBEHEAD_CORE_TABLE_CHECK_HPP
#define JUJUBEHEAD_CORE_TABLE_CHECK_HPP

#include <span>        // for span
#include <string_view> // for string_view

#include "jujubehead/core/table.hpp" // for TableRow, Findings

namespace jujubehead::core::detail {

/// @brief Where the cells of a row stand in what was read.
class RowPlaces
{
public:
  virtual ~RowPlaces() = default;
  /// @param aRow index into the checked rows.
  [[nodiscard]] virtual Place Of(std::size_t aRow,
                                 TableColumn aColumn) const = 0;
};

/// @brief A row to check; `model_defaults` is the `*` row's index.
struct CheckedRow
{
  const TableRow* row = nullptr;
  bool cells_fit = true; ///< False: only account and model are known.
};

/// @brief Finds what is wrong with rows taken together: duplicates, accounts
/// without model, values beyond the model's.
/// @param aRows in any order; inherited cells need not be filled.
Findings
CheckTogether(std::span<const CheckedRow> aRows, const RowPlaces& aPlaces);

} // namespace jujubehead::core::detail

#endif // JUJUBEHEAD_CORE_TABLE_CHECK_HPP
