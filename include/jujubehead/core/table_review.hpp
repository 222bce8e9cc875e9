#ifndef JUJUBEHEAD_CORE_TABLE_REVIEW_HPP
#define JUJUBEHEAD_CORE_TABLE_REVIEW_HPP

#include <span>   // for span
#include <string> // for string
#include <vector> // for vector

#include "jujubehead/core/change_log.hpp" // for Change
#include "jujubehead/core/table.hpp"      // for Table, AccountId, ModelId

namespace jujubehead::core {

/// @return an account's share of a model in percent: its weight among those of
/// all accounts that their rows do not bar from it.
double
SharePercent(const Table& aTable,
             const AccountId& aAccount,
             const ModelId& aModel);

/// @return the difference as a reviewer reads it: a paragraph a model, a line a
/// row, and what becomes of the shares, also of those whose row stays.
std::string
RenderReview(const Table& aOld, const Table& aNew);

/// @return subjects of those changes whose row is no longer as it was in the
/// base, nor as the change would make it.
std::vector<std::string>
ChangedSince(const Table& aBase,
             const TableSnapshot& aCurrent,
             std::span<const Change> aChanges);

} // namespace jujubehead::core

#endif // JUJUBEHEAD_CORE_TABLE_REVIEW_HPP
