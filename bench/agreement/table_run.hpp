#ifndef JUJUBEHEAD_BENCH_AGREEMENT_TABLE_RUN_HPP
#define JUJUBEHEAD_BENCH_AGREEMENT_TABLE_RUN_HPP

#include <cstddef> // for size_t
#include <cstdint> // for uint64_t

#include "jujubehead/core/runtime_clock.hpp" // for Duration

namespace jujubehead::bench {

/// @brief One question: how do table changes come in force at many instances?
struct TableRunOptions
{
  std::size_t instances = 8;
  std::size_t accounts = 1000;
  /// 5,700 changes a day.
  core::Duration between_changes = std::chrono::milliseconds(15158);
  core::Duration length = std::chrono::minutes(30);
  /// The table service is away for this long in the middle.
  core::Duration outage = std::chrono::minutes(3);
  double race_share = 0.1;      ///< Changes that two operators make at once.
  double lose_answer = 0.05;    ///< Of commits that land.
  double fail_read = 0.02;      ///< Of reads while the service is up.
  double restarts_per_hour = 6; ///< Of each instance.
  std::uint64_t seed = 1;
};

/// @brief What was seen.
struct TableRunFigures
{
  std::size_t accepted = 0;  ///< Changes.
  std::size_t conflicts = 0; ///< Changes refused for another's.
  std::size_t reverts = 0;   ///< An instance served by an older version.
  std::size_t half_applied = 0;
  std::size_t doubled = 0;
  double in_force_s_p50 = 0; ///< From acceptance, over instances and changes.
  double in_force_s_p99 = 0;
  double in_force_s_max = 0;
  double ready_s_p99 = 0;     ///< From a start, with the service up.
  double ready_out_s_p99 = 0; ///< From a start in the outage.
  double reads_per_second = 0;
  double writes_per_second = 0; ///< Items.
  double bytes_per_second_per_node = 0;
};

TableRunFigures
RunTable(const TableRunOptions& aOptions);

} // namespace jujubehead::bench

#endif // JUJUBEHEAD_BENCH_AGREEMENT_TABLE_RUN_HPP
