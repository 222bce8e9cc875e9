#ifndef JUJUBEHEAD_CORE_TABLE_PUBLISH_HPP
#define JUJUBEHEAD_CORE_TABLE_PUBLISH_HPP

#include <cstdint> // for uint64_t
#include <map>     // for map
#include <string>  // for string
#include <variant> // for variant
#include <vector>  // for vector

#include "jujubehead/core/change_log.hpp" // for Change, ChangeEntry, TableView
#include "jujubehead/core/finding.hpp"    // for Findings

namespace jujubehead::core {

/// @brief Request: read the entries after a version, oldest first.
/// Answer: EntriesRead or Unavailable.
struct ReadEntries
{
  std::uint64_t after = 0;
};

/// @brief Request: write this entry atomically if the head is at
/// `entry.version - 1`. Repeating the same entry must not write it twice.
/// Answer: CommitDone, HeadMoved, CommitUnknown or Unavailable.
struct CommitEntry
{
  ChangeEntry entry;
};

/// @brief Request: back off, longer after more failures. Answer: Continue.
struct BackOff
{
  unsigned failures = 0;
};

/// @brief Result: the changes took effect with this version.
struct Published
{
  std::uint64_t version = 0;
};

/// @brief Result: nothing was written; all changes were in effect already.
struct AlreadyApplied
{
  std::uint64_t version = 0;
};

/// @brief A later change of another operator has the same subject as ours.
struct ChangeConflict
{
  std::string subject; ///< See ChangeSubject().
  std::uint64_t version = 0;
  std::string author;

  friend bool operator==(const ChangeConflict&,
                         const ChangeConflict&) = default;
};

/// @brief Result: nothing was written, because other operators changed the same
/// rows since the base.
struct Conflicted
{
  std::vector<ChangeConflict> conflicts;
};

/// @brief Result: nothing was written; merged with the changes of other
/// operators, the table would be invalid.
struct Refused
{
  Findings findings;
};

/// @brief Result: too many attempts failed, or entries after the base are no
/// longer in the log.
struct GaveUp
{
  std::string why;
  /// The outcome of a write is unknown: it may take effect, now or later.
  /// Running the same command again resolves it.
  bool may_be_applied = false;
};

using PublishStep = std::variant<ReadEntries,
                                 CommitEntry,
                                 BackOff,
                                 Published,
                                 AlreadyApplied,
                                 Conflicted,
                                 Refused,
                                 GaveUp>;

/// @brief The entries that were read; `at_head`: there are no more.
struct EntriesRead
{
  std::vector<ChangeEntry> entries;
  bool at_head = true;
};

/// @brief The entry was written.
struct CommitDone
{};

/// @brief The entry was not and will not be written: the head has another
/// version.
struct HeadMoved
{};

/// @brief The entry may have been written, or may still be.
struct CommitUnknown
{
  std::string why;
};

/// @brief Nothing was done.
struct Unavailable
{
  std::string why;
};

/// @brief The wait is over.
struct Continue
{};

using PublishAnswer = std::variant<EntriesRead,
                                   CommitDone,
                                   HeadMoved,
                                   CommitUnknown,
                                   Unavailable,
                                   Continue>;

/// @brief State machine that commits one set of changes atomically.
///
/// Other operators' changes to other rows are merged; their change to the same
/// row since the base is a conflict, unless it is identical. A write with
/// unknown outcome is resolved before anything else is written: its entry is
/// read back by its token, or the head has passed the only version that it
/// could take, or the identical write is repeated.
class TablePublish
{
public:
  /// @param aBase the state that the changes were made against.
  /// @param aToken unique to this set of changes.
  TablePublish(TableView aBase,
               std::vector<Change> aChanges,
               std::string aToken,
               std::string aAuthor);

  [[nodiscard]] PublishStep Start() const;
  /// @return the next step after the answer to the last one.
  PublishStep On(PublishAnswer aAnswer);

  /// @return the state as far as it was read.
  [[nodiscard]] const TableView& View() const { return m_view; }

private:
  PublishStep OnEntries(const EntriesRead& aRead);
  PublishStep OnFailure(std::string aWhy);
  PublishStep AtHead();
  void RecordEntry(const ChangeEntry& aEntry);
  [[nodiscard]] std::vector<Change> PendingChanges() const;
  [[nodiscard]] std::vector<ChangeConflict> Conflicts() const;

  TableView m_view;
  std::vector<Change> m_changes;
  std::string m_token;
  std::string m_author;
  /// Last change of other operators since the base, by subject.
  std::map<std::string, ChangeConflict> m_concurrent_changes;
  /// Version of a write with unknown outcome, or 0.
  std::uint64_t m_unresolved_version = 0;
  std::uint64_t m_committed_version = 0;
  unsigned m_failures = 0;
};

/// @return whether the change is in effect already.
bool
Holds(const TableSnapshot& aSnapshot, const Change& aChange);

/// @return the changes that turn the old table into the new one.
std::vector<Change>
ChangesBetween(const Table& aOld, const Table& aNew);

} // namespace jujubehead::core

#endif // JUJUBEHEAD_CORE_TABLE_PUBLISH_HPP
