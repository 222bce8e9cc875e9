#ifndef JUJUBEHEAD_BENCH_AGREEMENT_FAKE_TABLE_HPP
#define JUJUBEHEAD_BENCH_AGREEMENT_FAKE_TABLE_HPP

#include <cstdint>    // for uint64_t
#include <functional> // for function
#include <map>        // for map
#include <vector>     // for vector

#include "bench/agreement/event_queue.hpp" // for EventQueue
#include "jujubehead/core/ownership.hpp"   // for WriteRows, RowsRead

namespace jujubehead::bench {

/// @brief The rows of ownership in a table service that can fail.
class FakeTable
{
public:
  struct Faults
  {
    bool down = false;
    double lose_answer = 0; ///< Share of writes that land unanswered.
    double land_late = 0;   ///< Share that land only after the answer.
    core::Duration slow{};
  };

  struct Counters
  {
    std::uint64_t items_written = 0;
    std::uint64_t transactions = 0;
    std::uint64_t reads = 0;                          ///< Pages.
    std::map<std::int64_t, std::uint64_t> written_in; ///< By second.
    std::map<std::int64_t, std::uint64_t> read_in;
  };

  FakeTable(EventQueue& aQueue, Random& aRandom)
    : m_queue(aQueue)
    , m_random(aRandom)
  {
  }

  Faults& Fault() { return m_faults; }
  [[nodiscard]] const Counters& Count() const { return m_counters; }
  [[nodiscard]] const std::map<core::GroupId, core::GroupRow>& Groups() const
  {
    return m_groups;
  }

  [[nodiscard]] const std::map<core::Incarnation, core::LeaseRow>& Leases()
    const
  {
    return m_leases;
  }

  void Write(const core::WriteRows& aWrite,
             const std::function<void(core::WriteOutcome)>& aDone);
  void Read(const core::ReadRows& aRead,
            const std::function<void(core::RowsRead)>& aDone);

private:
  [[nodiscard]] core::Duration Latency();
  [[nodiscard]] bool Holds(const core::WriteRows& aWrite) const;
  [[nodiscard]] std::uint64_t RevOf(const core::RowPut& aPut) const;
  bool Land(const core::WriteRows& aWrite);
  [[nodiscard]] core::RowsRead Rows(const core::ReadRows& aRead);

  EventQueue& m_queue;
  Random& m_random;
  Faults m_faults;
  Counters m_counters;
  std::map<core::GroupId, core::GroupRow> m_groups;
  std::map<core::Incarnation, core::LeaseRow> m_leases;
};

} // namespace jujubehead::bench

#endif // JUJUBEHEAD_BENCH_AGREEMENT_FAKE_TABLE_HPP
