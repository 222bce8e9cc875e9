#ifndef JUJUBEHEAD_CORE_TABLE_HPP
#define JUJUBEHEAD_CORE_TABLE_HPP

#include <cstddef>     // for size_t
#include <cstdint>     // for uint32_t, int32_t, uint16_t
#include <memory>      // for shared_ptr
#include <span>        // for span
#include <string>      // for string
#include <string_view> // for string_view
#include <vector>      // for vector

#include "jujubehead/core/finding.hpp"       // for Checked, Findings
#include "jujubehead/core/ids.hpp"           // for AccountId, ModelId
#include "jujubehead/core/runtime_clock.hpp" // for Duration

namespace jujubehead::core {

/// @brief The columns of the operators' table, in their usual order.
enum class TableColumn : std::uint8_t
{
  kAccount,
  kModel,
  kVersion,
  kAdapter,
  kWeight,
  kMaxRunning,
  kMaxWaiting,
  kPriority,
  kDeadline,
  kRecomputePrice,
  kKeyHash,
};

inline constexpr std::size_t kTableColumnCount = 11;

/// @return the column's name in the table's first line.
std::string_view
ColumnName(TableColumn aColumn);

/// @brief One row: the limits of a client account at each target of a model.
///
/// The row of account `*` holds a model's limits for a whole target and the
/// defaults of its accounts. An account's empty cells hold the value of the
/// `*` row and are marked in `inherited`. A plain service is a model named
/// `service:NAME`, without version and adapter.
struct TableRow
{
  AccountId account;
  ModelId model;
  std::string version;
  std::string adapter; ///< Empty: none. An account's `-`: none, also when the
                       ///< `*` row names one.
  std::uint32_t weight = 1;       ///< Relative share under contention.
  std::uint32_t max_running = 1;  ///< At one target; 0 bars an account.
  std::uint32_t max_waiting = 64; ///< In the queue of one target.
  std::int32_t priority = 0;      ///< Lower runs first.
  Duration deadline = std::chrono::seconds(30); ///< Until the first token.
  double recompute_price = 100; ///< Of one recomputed token, in microseconds.
  std::string key_hash;         ///< See core/account_key.hpp.
  std::uint16_t inherited = 0;  ///< Bit n: cell of TableColumn n is empty.

  [[nodiscard]] bool IsInherited(TableColumn aColumn) const
  {
    return ((inherited >> static_cast<unsigned>(aColumn)) & 1U) != 0;
  }
  [[nodiscard]] bool IsModelDefaults() const { return account.View() == "*"; }

  friend bool operator==(const TableRow&, const TableRow&) = default;
};

/// The account of the rows that hold a model's limits and defaults.
inline constexpr std::string_view kModelDefaultsAccount = "*";
/// Prefix of the model names of plain services.
inline constexpr std::string_view kServiceModelPrefix = "service:";

/// @brief Identifies a row.
struct TableRowKey
{
  AccountId account;
  ModelId model;

  // NOLINTNEXTLINE(modernize-use-nullptr)
  friend auto operator<=>(const TableRowKey&, const TableRowKey&) = default;
};

/// @return whether the cells as written are equal; inherited values are
/// ignored.
bool
SameCells(const TableRow& aLeft, const TableRow& aRight);

/// @return the cell as written in the CSV; empty where inherited.
std::string
CellText(const TableRow& aRow, TableColumn aColumn);

/// @brief The operators' table: an immutable value that shares its rows with
/// the tables it was made from, so that copies and modified copies are cheap.
class Table
{
public:
  using Row = std::shared_ptr<const TableRow>;

  Table() = default;

  /// @brief Parses comma-separated values with a header line.
  /// @param aFile the file name in findings.
  /// @return the table, or every finding with its row and column.
  static Checked<Table> FromCsv(std::string_view aFile, std::string_view aText);
  /// @brief Makes a table from rows in any order.
  /// @return the table, or findings whose row is the index from 1.
  static Checked<Table> FromRows(std::string_view aFile,
                                 std::vector<TableRow> aRows);

  /// @return the row of that account and model, or null.
  [[nodiscard]] const TableRow* Find(const AccountId& aAccount,
                                     const ModelId& aModel) const;
  /// @return the `*` row of that model, or null.
  [[nodiscard]] const TableRow* ModelDefaults(const ModelId& aModel) const;
  /// @return all rows, ordered by account and model; `*` comes first.
  [[nodiscard]] std::span<const Row> Rows() const { return m_rows; }
  /// @return the rows of one account, ordered by model.
  [[nodiscard]] std::span<const Row> RowsOf(const AccountId& aAccount) const;
  /// @return the `*` rows, ordered by model.
  [[nodiscard]] std::span<const Row> Models() const;
  /// @return the key hash of an account, from whichever of its rows has one;
  /// empty when unknown.
  [[nodiscard]] std::string_view KeyHash(const AccountId& aAccount) const;

  /// @return the table in the format of FromCsv(), in the order of Rows().
  [[nodiscard]] std::string ToCsv() const;

  /// @return this table without the rows of `aRemoved` and with those of `aPut`
  /// added or replaced; not checked.
  [[nodiscard]] Table With(std::span<const TableRow> aPut,
                           std::span<const TableRowKey> aRemoved) const;
  /// @brief As above, without copying rows.
  [[nodiscard]] Table With(std::vector<Row> aPut,
                           std::span<const TableRowKey> aRemoved) const;
  /// @return the findings of FromRows() for this table's rows.
  [[nodiscard]] Findings Check(std::string_view aFile) const;

private:
  std::vector<Row> m_rows;
};

} // namespace jujubehead::core

#endif // JUJUBEHEAD_CORE_TABLE_HPP
