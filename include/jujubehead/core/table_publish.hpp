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

/// @brief To do: read the entries after a version, oldest first.
/// Answer: EntriesRead or Unavailable.
struct ReadEntries
{
  std::uint64_t after = 0;
};

/// @brief To do: write this entry if the head is at `entry.version - 1`, as a
/// whole or not at all. A repeat of the same entry must not write twice.
/// Answer: CommitDone, HeadMoved, CommitUnknown or Unavailable.
struct CommitEntry
{
  ChangeEntry entry;
};

/// @brief To do: wait a little, longer after more failures. Answer: Continue.
struct WaitAWhile
{
  unsigned failures = 0;
};

/// @brief Over: the changes are in force since this version.
struct Published
{
  std::uint64_t version = 0;
};

/// @brief Over: nothing had to be written; all of it was in force already.
struct AlreadyInForce
{
  std::uint64_t version = 0;
};

/// @brief One's own change and a later one of another operator touch the same.
struct ChangeConflict
{
  std::string subject; ///< See ChangeSubject().
  std::uint64_t version = 0;
  std::string author;

  friend bool operator==(const ChangeConflict&,
                         const ChangeConflict&) = default;
};

/// @brief Over: nothing was written, because others changed the same rows
/// since the base.
struct Conflicted
{
  std::vector<ChangeConflict> conflicts;
};

/// @brief Over: nothing was written; together with what others changed, the
/// table would be wrong.
struct Refused
{
  Findings findings;
};

/// @brief Over: the service could not be reached for too long.
struct GaveUp
{
  std::string why;
  /// A write was not answered and could not be settled: it may be or come in
  /// force. Running the same command again settles it.
  bool may_be_in_force = false;
};

using PublishStep = std::variant<ReadEntries,
                                 CommitEntry,
                                 WaitAWhile,
                                 Published,
                                 AlreadyInForce,
                                 Conflicted,
                                 Refused,
                                 GaveUp>;

/// @brief Entries as read; `at_head`: there are no more.
struct EntriesRead
{
  std::vector<ChangeEntry> entries;
  bool at_head = true;
};

/// @brief The entry was written.
struct CommitDone
{};

/// @brief The entry was not and will not be written: the head is elsewhere.
struct HeadMoved
{};

/// @brief The entry may have been written, or may yet be.
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

/// @brief Decides how one set of changes gets in force, as a whole.
///
/// Others' changes to other rows are taken in; a change of theirs to the same
/// row since the base is a conflict, unless it made the same. An unanswered
/// write is settled before anything else is written: either its entry is read
/// back by its token, or the head has moved past the one place it could take,
/// or the very same write is repeated.
class TablePublish
{
public:
  /// @param aBase what the changes were made against.
  /// @param aToken unique to this set of changes.
  TablePublish(TableView aBase,
               std::vector<Change> aChanges,
               std::string aToken,
               std::string aAuthor);

  [[nodiscard]] PublishStep Start() const;
  /// @return the next step after the answer to the last one.
  PublishStep On(PublishAnswer aAnswer);

  /// @return what is in force, as far as it was read.
  [[nodiscard]] const TableView& View() const { return m_view; }

private:
  PublishStep OnEntries(const EntriesRead& aRead);
  PublishStep OnFailure(std::string aWhy);
  PublishStep AtHead();
  void TakeIn(const ChangeEntry& aEntry);
  [[nodiscard]] std::vector<Change> Missing() const;
  [[nodiscard]] std::vector<ChangeConflict> Conflicts() const;

  TableView m_view;
  std::vector<Change> m_changes;
  std::string m_token;
  std::string m_author;
  /// Who last touched the subjects of one's own changes since the base.
  std::map<std::string, ChangeConflict> m_touched;
  std::uint64_t m_unsettled = 0; ///< Version of an unanswered write, or 0.
  std::uint64_t m_own_version = 0;
  unsigned m_failures = 0;
};

/// @return whether a change would change nothing.
bool
Holds(const TableSnapshot& aSnapshot, const Change& aChange);

/// @return the changes that turn one table into the other.
std::vector<Change>
ChangesBetween(const Table& aOld, const Table& aNew);

} // namespace jujubehead::core

#endif // JUJUBEHEAD_CORE_TABLE_PUBLISH_HPP
