#include "jujubehead/core/table_review.hpp"

#include <algorithm> // for max, sort
#include <array>     // for array
#include <cmath>     // for abs
#include <cstdio>    // for snprintf
#include <map>       // for map
#include <utility>   // for move

#include "jujubehead/core/table_diff.hpp"    // for Diff
#include "jujubehead/core/table_publish.hpp" // for Holds

namespace jujubehead::core {
namespace {

/// Smaller changes of a share, in percentage points, are not listed.
constexpr double kMinListedShareChange = 0.05;
constexpr std::size_t kMaxListedShareChanges = 5;
constexpr std::size_t kAccountWidth = 20;

/// Shares of all accounts in percent, by model and account.
class Shares
{
public:
  explicit Shares(const Table& aTable)
  {
    for (const Table::Row& row : aTable.Rows()) {
      if (!row->IsModelDefaults() && row->max_running != 0) {
        m_weights[row->model][row->account] = row->weight;
        m_sums[row->model] += row->weight;
      }
    }
  }

  [[nodiscard]] double Of(const AccountId& aAccount,
                          const ModelId& aModel) const
  {
    const auto model = m_weights.find(aModel);
    if (model == m_weights.end()) {
      return 0;
    }
    const auto weight = model->second.find(aAccount);
    return weight == model->second.end()
             ? 0
             : 100.0 * weight->second / m_sums.at(aModel);
  }

  [[nodiscard]] std::vector<AccountId> Accounts(const ModelId& aModel) const
  {
    std::vector<AccountId> accounts;
    const auto model = m_weights.find(aModel);
    if (model != m_weights.end()) {
      for (const auto& [account, weight] : model->second) {
        accounts.push_back(account);
      }
    }
    return accounts;
  }

private:
  std::map<ModelId, std::map<AccountId, double>> m_weights;
  std::map<ModelId, double> m_sums;
};

std::string
Percent(double aPercent)
{
  std::array<char, 32> text{};
  std::snprintf(text.data(), text.size(), "%.1f%%", aPercent);
  return text.data();
}

std::string
ShareChangeText(double aBefore, double aAfter)
{
  return Percent(aBefore) + " -> " + Percent(aAfter);
}

bool
IsListedShareChange(double aBefore, double aAfter)
{
  return std::abs(aAfter - aBefore) >= kMinListedShareChange;
}

/// The cell for a reviewer; a hash is only shown as set or not.
std::string
DisplayText(const TableRow& aRow, TableColumn aColumn)
{
  const std::string text = CellText(aRow, aColumn);
  if (text.empty() && aColumn == TableColumn::kKeyHash) {
    return "none";
  }
  if (text.empty()) {
    return aRow.IsModelDefaults() ? "(default)" : "(model's)";
  }
  return aColumn == TableColumn::kKeyHash ? "set" : text;
}

void
AppendCell(std::string& aText, const std::string& aCell)
{
  aText += (aText.empty() ? "" : ", ") + aCell;
}

std::string
WrittenCells(const TableRow& aRow)
{
  std::string text;
  for (std::size_t i = 0; i < kTableColumnCount; ++i) {
    const auto column = static_cast<TableColumn>(i);
    const bool is_key =
      column == TableColumn::kAccount || column == TableColumn::kModel;
    if (!is_key && !CellText(aRow, column).empty()) {
      AppendCell(text,
                 std::string(ColumnName(column)) + ' ' +
                   DisplayText(aRow, column));
    }
  }
  return text.empty() ? "all as the model's" : text;
}

std::string
ChangedCells(const RowChanged& aChange)
{
  std::string text;
  for (const TableColumn column : aChange.columns) {
    const std::string name(ColumnName(column));
    const bool is_hash = column == TableColumn::kKeyHash;
    if (is_hash && !aChange.before.key_hash.empty() &&
        !aChange.after.key_hash.empty()) {
      AppendCell(text, "key_hash replaced");
      continue;
    }
    AppendCell(text,
               name + ' ' + DisplayText(aChange.before, column) + " -> " +
                 DisplayText(aChange.after, column));
  }
  return text;
}

/// The paragraph of one model.
struct Paragraph
{
  std::string lines;
  std::map<AccountId, bool> listed;
};

class Reviewer
{
public:
  Reviewer(const Table& aOld, const Table& aNew)
    : m_old(aOld)
    , m_new(aNew)
    , m_changes(Diff(aOld, aNew))
  {
  }

  std::string Run()
  {
    for (const TableChange& change : m_changes) {
      std::visit(*this, change);
    }
    std::string text;
    for (const auto& [model, paragraph] : m_paragraphs) {
      text += "model " + model.Text() + '\n' + paragraph.lines;
      text += IndirectShareChanges(model, paragraph);
    }
    return text + Summary();
  }

  void operator()(const RowAdded& aChange)
  {
    ++m_added;
    Line('+', aChange.row, WrittenCells(aChange.row));
  }
  void operator()(const RowRemoved& aChange)
  {
    ++m_removed;
    Line('-', aChange.row, WrittenCells(aChange.row));
  }
  void operator()(const RowChanged& aChange)
  {
    ++m_changed;
    Line('~', aChange.after, ChangedCells(aChange));
  }

private:
  void Line(char aMark, const TableRow& aRow, const std::string& aCells)
  {
    Paragraph& paragraph = m_paragraphs[aRow.model];
    paragraph.listed[aRow.account] = true;
    std::string account = aRow.account.Text();
    account.resize(std::max(account.size(), kAccountWidth), ' ');
    paragraph.lines += std::string("  ") + aMark + ' ' + account + ' ' + aCells;
    const double before = m_old.Of(aRow.account, aRow.model);
    const double after = m_new.Of(aRow.account, aRow.model);
    if (IsListedShareChange(before, after)) {
      paragraph.lines += "; share " + ShareChangeText(before, after);
    }
    paragraph.lines += '\n';
  }

  /// Share changes of accounts whose own row is unchanged.
  std::string IndirectShareChanges(const ModelId& aModel,
                                   const Paragraph& aParagraph)
  {
    struct ChangedShare
    {
      AccountId account;
      double before = 0;
      double after = 0;
    };
    std::vector<ChangedShare> changed;
    for (const AccountId& account : m_new.Accounts(aModel)) {
      const ChangedShare one{ account,
                              m_old.Of(account, aModel),
                              m_new.Of(account, aModel) };
      if (!aParagraph.listed.contains(account) &&
          IsListedShareChange(one.before, one.after)) {
        changed.push_back(one);
      }
    }
    std::sort(changed.begin(),
              changed.end(),
              [](const auto& aLeft, const auto& aRight) {
                return std::abs(aLeft.after - aLeft.before) >
                       std::abs(aRight.after - aRight.before);
              });
    std::string text;
    for (std::size_t i = 0;
         i < std::min(changed.size(), kMaxListedShareChanges);
         ++i) {
      text += "    " + changed[i].account.Text() + ": share " +
              ShareChangeText(changed[i].before, changed[i].after) +
              ", by the others\n";
    }
    if (changed.size() > kMaxListedShareChanges) {
      text += "    and " +
              std::to_string(changed.size() - kMaxListedShareChanges) +
              " more accounts whose share moves less\n";
    }
    return text;
  }

  [[nodiscard]] std::string Summary() const
  {
    if (m_changes.empty()) {
      return "no row differs\n";
    }
    return std::to_string(m_changes.size()) +
           " rows differ: " + std::to_string(m_added) + " added, " +
           std::to_string(m_removed) + " removed, " +
           std::to_string(m_changed) + " changed\n";
  }

  Shares m_old;
  Shares m_new;
  std::vector<TableChange> m_changes;
  std::map<ModelId, Paragraph> m_paragraphs;
  std::size_t m_added = 0;
  std::size_t m_removed = 0;
  std::size_t m_changed = 0;
};

const TableRow*
RowOf(const Table& aTable, const Change& aChange)
{
  if (const auto* put = std::get_if<PutRow>(&aChange)) {
    return aTable.Find(put->row.account, put->row.model);
  }
  if (const auto* remove = std::get_if<RemoveRow>(&aChange)) {
    return aTable.Find(remove->account, remove->model);
  }
  return nullptr;
}

bool
SameRow(const TableRow* aLeft, const TableRow* aRight)
{
  if (aLeft == nullptr || aRight == nullptr) {
    return aLeft == aRight;
  }
  return SameCells(*aLeft, *aRight);
}

} // namespace

double
SharePercent(const Table& aTable,
             const AccountId& aAccount,
             const ModelId& aModel)
{
  return Shares(aTable).Of(aAccount, aModel);
}

std::string
RenderReview(const Table& aOld, const Table& aNew)
{
  return Reviewer(aOld, aNew).Run();
}

std::vector<std::string>
ChangedSince(const Table& aBase,
             const TableSnapshot& aCurrent,
             std::span<const Change> aChanges)
{
  std::vector<std::string> subjects;
  for (const Change& change : aChanges) {
    const bool as_in_base =
      SameRow(RowOf(aBase, change), RowOf(aCurrent.table, change));
    if (!as_in_base && !Holds(aCurrent, change)) {
      subjects.push_back(ChangeSubject(change));
    }
  }
  return subjects;
}

} // namespace jujubehead::core
