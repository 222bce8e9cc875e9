#ifndef JUJUBEHEAD_CORE_TABLE_REVIEW_HPP
#define JUJUBEHEAD_CORE_TABLE_REVIEW_HPP

#include <span>   // for span
#include <string> // for string
#include <vector> // for vector

#include "jujubehead/core/change_log.hpp" // for Change
#include "jujubehead/core/table.hpp"      // for Table, AccountId, ModelId

namespace jujubehead::core {

/// @return an account's share of a model in percent: its weight relative to the
/// sum over all accounts that are not barred from the model.
double
SharePercent(const Table& aTable,
             const AccountId& aAccount,
             const ModelId& aModel);

/// @return the difference for a reviewer: a paragraph per model, a line per
/// row, and the changes of shares, including those of accounts with unchanged
/// rows.
std::string
RenderReview(const Table& aOld, const Table& aNew);

/// @return the subjects of those changes whose row equals neither the base nor
/// the result of the change.
std::vector<std::string>
ChangedSince(const Table& aBase,
             const TableSnapshot& aCurrent,
             std::span<const Change> aChanges);

} // namespace jujubehead::core

#endif // JUJUBEHEAD_CORE_TABLE_REVIEW_HPP
