#ifndef JUJUBEHEAD_CORE_TABLE_DIFF_HPP
#define JUJUBEHEAD_CORE_TABLE_DIFF_HPP

#include <variant> // for variant
#include <vector>  // for vector

#include "jujubehead/core/table.hpp" // for Table, TableRow

namespace jujubehead::core {

/// @brief A row that only the new table has.
struct RowAdded
{
  TableRow row;
};

/// @brief A row that only the old table has.
struct RowRemoved
{
  TableRow row;
};

/// @brief A row whose cells differ.
struct RowChanged
{
  TableRow before;
  TableRow after;
  std::vector<TableColumn> columns; ///< Those whose written cells differ.
};

using TableChange = std::variant<RowAdded, RowRemoved, RowChanged>;

/// @return the differences, in the order of rows. A row whose written cells are
/// equal is not listed, even if a default that it inherits changes.
std::vector<TableChange>
Diff(const Table& aOld, const Table& aNew);

} // namespace jujubehead::core

#endif // JUJUBEHEAD_CORE_TABLE_DIFF_HPP
