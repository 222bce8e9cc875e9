#include "jujubehead/core/table_publish.hpp"

#include <utility> // for move

#include "jujubehead/core/table_diff.hpp" // for Diff

namespace jujubehead::core {
namespace {

constexpr unsigned kMaxFailures = 8;

struct InEffectVisitor
{
  const TableSnapshot& snapshot;

  bool operator()(const PutRow& aChange) const
  {
    const TableRow* row =
      snapshot.table.Find(aChange.row.account, aChange.row.model);
    return row != nullptr && SameCells(*row, aChange.row);
  }
  bool operator()(const RemoveRow& aChange) const
  {
    return snapshot.table.Find(aChange.account, aChange.model) == nullptr;
  }
  bool operator()(const SetStop& aChange) const
  {
    const StopMark* mark = FindStop(snapshot, aChange.mark.subject);
    return mark != nullptr && *mark == aChange.mark;
  }
  bool operator()(const ClearStop& aChange) const
  {
    return FindStop(snapshot, aChange.subject) == nullptr;
  }
};

struct ToChange
{
  Change operator()(const RowAdded& aChange) const
  {
    return PutRow{ aChange.row };
  }
  Change operator()(const RowRemoved& aChange) const
  {
    return RemoveRow{ aChange.row.account, aChange.row.model };
  }
  Change operator()(const RowChanged& aChange) const
  {
    return PutRow{ aChange.after };
  }
};

} // namespace

bool
Holds(const TableSnapshot& aSnapshot, const Change& aChange)
{
  return std::visit(InEffectVisitor{ aSnapshot }, aChange);
}

std::vector<Change>
ChangesBetween(const Table& aOld, const Table& aNew)
{
  std::vector<Change> changes;
  for (const TableChange& change : Diff(aOld, aNew)) {
    changes.push_back(std::visit(ToChange(), change));
  }
  return changes;
}

TablePublish::TablePublish(TableView aBase,
                           std::vector<Change> aChanges,
                           std::string aToken,
                           std::string aAuthor)
  : m_view(std::move(aBase))
  , m_changes(std::move(aChanges))
  , m_token(std::move(aToken))
  , m_author(std::move(aAuthor))
{
}

PublishStep
TablePublish::Start() const
{
  return ReadEntries{ m_view.Version() };
}

PublishStep
TablePublish::On(PublishAnswer aAnswer)
{
  struct Visitor
  {
    TablePublish& self;

    PublishStep operator()(const EntriesRead& aRead) const
    {
      return self.OnEntries(aRead);
    }
    PublishStep operator()(const CommitDone& /*aDone*/) const
    {
      return Published{ self.m_view.Version() + 1 };
    }
    PublishStep operator()(const HeadMoved& /*aMoved*/) const
    {
      // An earlier attempt of the same write may have moved the head; the next
      // read finds it by the token.
      return self.OnFailure("other operators keep changing the table");
    }
    PublishStep operator()(const CommitUnknown& aUnknown) const
    {
      self.m_unresolved_version = self.m_view.Version() + 1;
      return self.OnFailure(aUnknown.why);
    }
    PublishStep operator()(const Unavailable& aUnavailable) const
    {
      return self.OnFailure(aUnavailable.why);
    }
    PublishStep operator()(const Continue& /*aContinue*/) const
    {
      return self.Start();
    }
  };
  return std::visit(Visitor{ *this }, aAnswer);
}

PublishStep
TablePublish::OnFailure(std::string aWhy)
{
  ++m_failures;
  if (m_failures >= kMaxFailures) {
    return GaveUp{ std::move(aWhy), m_unresolved_version != 0 };
  }
  return BackOff{ m_failures };
}

PublishStep
TablePublish::OnEntries(const EntriesRead& aRead)
{
  for (const ChangeEntry& entry : aRead.entries) {
    const ApplyResult applied = m_view.Apply(entry);
    if (applied == ApplyResult::kGap) {
      return GaveUp{ "the entries after version " +
                       std::to_string(m_view.Version()) +
                       " were deleted; start again from the current table",
                     m_unresolved_version != 0 };
    }
    if (applied == ApplyResult::kAdvanced) {
      m_failures = 0;
      RecordEntry(entry);
    }
  }
  if (m_committed_version != 0) {
    return Published{ m_committed_version };
  }
  return aRead.at_head ? AtHead() : Start();
}

void
TablePublish::RecordEntry(const ChangeEntry& aEntry)
{
  if (aEntry.token == m_token) {
    m_committed_version = aEntry.version;
    return;
  }
  if (aEntry.version >= m_unresolved_version) {
    // The only version that the write could take is used.
    m_unresolved_version = 0;
  }
  for (const Change& change : aEntry.changes) {
    std::string subject = ChangeSubject(change);
    m_concurrent_changes[subject] = { subject, aEntry.version, aEntry.author };
  }
}

std::vector<Change>
TablePublish::PendingChanges() const
{
  std::vector<Change> missing;
  for (const Change& change : m_changes) {
    if (!Holds(*m_view.Current(), change)) {
      missing.push_back(change);
    }
  }
  return missing;
}

std::vector<ChangeConflict>
TablePublish::Conflicts() const
{
  std::vector<ChangeConflict> conflicts;
  for (const Change& change : PendingChanges()) {
    const auto touched = m_concurrent_changes.find(ChangeSubject(change));
    if (touched != m_concurrent_changes.end()) {
      conflicts.push_back(touched->second);
    }
  }
  return conflicts;
}

PublishStep
TablePublish::AtHead()
{
  ChangeEntry entry{
    m_view.Version() + 1, m_token, m_author, PendingChanges()
  };
  if (entry.changes.empty()) {
    return AlreadyApplied{ m_view.Version() };
  }
  std::vector<ChangeConflict> conflicts = Conflicts();
  if (!conflicts.empty()) {
    return Conflicted{ std::move(conflicts) };
  }
  TableView after = m_view;
  after.Apply(entry);
  Findings findings = after.Current()->table.Check("table");
  if (!findings.empty()) {
    return Refused{ std::move(findings) };
  }
  return CommitEntry{ std::move(entry) };
}

} // namespace jujubehead::core
