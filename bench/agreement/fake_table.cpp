#include "bench/agreement/fake_table.hpp"

#include <algorithm> // for all_of

namespace jujubehead::bench {

namespace {

using namespace std::chrono_literals;

constexpr core::Duration kTimeout = 2s;
constexpr core::Duration kMostLate = 20s;
constexpr std::size_t kPage = 500;

std::int64_t
SecondOf(core::Instant aTime)
{
  return std::chrono::duration_cast<std::chrono::seconds>(
           aTime.time_since_epoch())
    .count();
}

} // namespace

core::Duration
FakeTable::Latency()
{
  return m_random.Between(2ms, 8ms) + m_faults.slow;
}

std::uint64_t
FakeTable::RevOf(const core::RowPut& aPut) const
{
  if (const auto* group = std::get_if<core::GroupRow>(&aPut)) {
    const auto found = m_groups.find(group->group);
    return found == m_groups.end() ? 0 : found->second.rev;
  }
  const auto found = m_leases.find(std::get<core::LeaseRow>(aPut).lease);
  return found == m_leases.end() ? 0 : found->second.rev;
}

bool
FakeTable::Holds(const core::WriteRows& aWrite) const
{
  const auto lease_holds = [this](const core::LeaseRow& aRow) {
    return RevOf(aRow) == aRow.rev;
  };
  return std::all_of(
           aWrite.deletes.begin(), aWrite.deletes.end(), lease_holds) &&
         std::all_of(aWrite.checks.begin(), aWrite.checks.end(), lease_holds) &&
         std::all_of(
           aWrite.puts.begin(), aWrite.puts.end(), [this](const auto& aPut) {
             return RevOf(aPut) ==
                    std::visit([](const auto& aRow) { return aRow.rev; }, aPut);
           });
}

bool
FakeTable::Land(const core::WriteRows& aWrite)
{
  const std::size_t items = aWrite.puts.size() + aWrite.deletes.size();
  ++m_counters.transactions;
  m_counters.items_written += items;
  m_counters.written_in[SecondOf(m_queue.Now())] += items;
  if (!Holds(aWrite)) {
    return false;
  }
  for (const core::LeaseRow& row : aWrite.deletes) {
    m_leases.erase(row.lease);
  }
  for (core::RowPut put : aWrite.puts) {
    if (auto* group = std::get_if<core::GroupRow>(&put)) {
      ++group->rev;
      m_groups[group->group] = *group;
    } else {
      auto& lease = std::get<core::LeaseRow>(put);
      ++lease.rev;
      m_leases[lease.lease] = lease;
    }
  }
  return true;
}

void
FakeTable::Write(const core::WriteRows& aWrite,
                 const std::function<void(core::WriteOutcome)>& aDone)
{
  using core::WriteOutcome;
  if (m_faults.down) {
    m_queue.After(Latency(), [aDone] { aDone(WriteOutcome::kFailed); });
    return;
  }
  if (m_random.Chance(m_faults.land_late)) {
    m_queue.After(kTimeout, [aDone] { aDone(WriteOutcome::kUnknown); });
    m_queue.After(m_random.Between(kTimeout, kMostLate),
                  [this, aWrite] { Land(aWrite); });
    return;
  }
  const bool lost = m_random.Chance(m_faults.lose_answer);
  m_queue.After(Latency(), [this, aWrite, aDone, lost] {
    const bool landed = Land(aWrite);
    const auto outcome =
      landed ? WriteOutcome::kCommitted : WriteOutcome::kConflict;
    m_queue.After(lost ? kTimeout : 1ms, [aDone, outcome, lost] {
      aDone(lost ? WriteOutcome::kUnknown : outcome);
    });
  });
}

core::RowsRead
FakeTable::Rows(const core::ReadRows& aRead)
{
  core::RowsRead rows;
  rows.token = aRead.token;
  for (const auto& [lease, row] : m_leases) {
    rows.leases.push_back(row);
  }
  for (const auto& [group, row] : m_groups) {
    const bool named =
      std::find(aRead.groups.begin(), aRead.groups.end(), group) !=
      aRead.groups.end();
    if (aRead.all_groups || named) {
      rows.groups.push_back(row);
    }
  }
  const std::size_t pages =
    1 + rows.leases.size() / kPage +
    (aRead.all_groups ? 1 + rows.groups.size() / kPage : aRead.groups.size());
  m_counters.reads += pages;
  m_counters.read_in[SecondOf(m_queue.Now())] += pages;
  return rows;
}

void
FakeTable::Read(const core::ReadRows& aRead,
                const std::function<void(core::RowsRead)>& aDone)
{
  if (m_faults.down) {
    m_queue.After(Latency(), [aRead, aDone] {
      core::RowsRead failed;
      failed.token = aRead.token;
      failed.failed = true;
      aDone(failed);
    });
    return;
  }
  m_queue.After(Latency(), [this, aRead, aDone] {
    const core::RowsRead rows = Rows(aRead);
    m_queue.After(1ms, [aDone, rows] { aDone(rows); });
  });
}

} // namespace jujubehead::bench
