#include "bench/agreement/ownership_run.hpp"

#include <malloc.h> // for mallinfo2

#include <algorithm> // for max

#include "bench/agreement/world.hpp" // for World
#include "jujubehead/core/table.hpp" // for Table

namespace jujubehead::bench {

namespace {

using namespace std::chrono_literals;

/// As at the size two years on: 3,300 targets on 370 instances.
constexpr std::uint32_t kGroupsEach = 9;
constexpr std::uint32_t kLimit = 4;
constexpr core::Duration kWarmUp = 60s;
constexpr core::Duration kLook = 50ms;
constexpr std::int64_t kSpan = 10; ///< Seconds, for peaks.

WorldOptions
Options(std::uint32_t aInstances, std::uint64_t aSeed)
{
  WorldOptions options;
  options.seed = aSeed;
  options.instances = aInstances;
  options.groups = aInstances * kGroupsEach;
  options.limit = kLimit;
  options.offer_every = 200ms;
  return options;
}

double
Seconds(core::Duration aTime)
{
  return std::chrono::duration<double>(aTime).count();
}

double
AllocatedMb()
{
  return static_cast<double>(mallinfo2().uordblks) / (1024.0 * 1024.0);
}

/// @return the busiest of all spans of so many seconds, by the second.
double
PeakSince(const std::map<std::int64_t, std::uint64_t>& aBySecond,
          core::Instant aSince,
          std::int64_t aSpan)
{
  const auto since =
    std::chrono::duration_cast<std::chrono::seconds>(aSince.time_since_epoch())
      .count();
  double peak = 0;
  for (auto first = aBySecond.lower_bound(since); first != aBySecond.end();
       ++first) {
    double sum = 0;
    for (auto at = first;
         at != aBySecond.end() && at->first < first->first + aSpan;
         ++at) {
      sum += static_cast<double>(at->second);
    }
    peak = std::max(peak, sum / static_cast<double>(aSpan));
  }
  return peak;
}

} // namespace

SteadyFigures
RunSteady(std::uint32_t aInstances, std::uint64_t aSeed)
{
  constexpr core::Duration kMeasured = 600s;
  const double before_mb = AllocatedMb();
  WorldOptions options = Options(aInstances, aSeed);
  options.offer_every = 0s;
  options.count_bytes = true;
  World world(options);
  world.RunFor(kWarmUp);
  const FakeTable::Counters service = world.Table().Count();
  const WorldCounters counters = world.Counters();
  world.RunFor(kMeasured);
  const double seconds = Seconds(kMeasured);
  SteadyFigures figures;
  figures.writes_per_second =
    static_cast<double>(world.Table().Count().items_written -
                        service.items_written) /
    seconds;
  figures.reads_per_second =
    static_cast<double>(world.Table().Count().reads - service.reads) / seconds;
  figures.bytes_per_second_per_node =
    static_cast<double>(world.Counters().control_bytes -
                        counters.control_bytes) /
    seconds / aInstances;
  figures.memory_mb_per_node = (AllocatedMb() - before_mb) / aInstances;
  figures.overshoot = world.Counters().overshoot;
  return figures;
}

double
TableMemoryMb(std::uint32_t aAccounts)
{
  constexpr std::size_t kHashLength = 86;
  const double before = AllocatedMb();
  std::vector<core::TableRow> rows;
  core::TableRow row;
  row.account = core::AccountId("*");
  row.model = core::ModelId("model");
  row.version = "1";
  rows.push_back(row);
  row.key_hash = std::string(kHashLength, 'x');
  for (std::uint32_t i = 0; i < aAccounts; ++i) {
    row.account = core::AccountId("account-" + std::to_string(i));
    rows.push_back(row);
  }
  const auto table = core::Table::FromRows("bench", std::move(rows));
  return table.has_value() ? AllocatedMb() - before : 0;
}

TakeoverFigures
RunTakeover(std::uint32_t aInstances, std::uint64_t aSeed)
{
  constexpr core::Duration kMeasured = 60s;
  World world(Options(aInstances, aSeed));
  world.RunFor(kWarmUp);
  const auto victim = static_cast<std::uint32_t>(aSeed % aInstances);
  std::vector<std::uint32_t> groups;
  for (std::uint32_t i = 0; i < world.Options().groups; ++i) {
    if (world.OwnerOf(i) == victim) {
      groups.push_back(i);
    }
  }
  world.Crash(victim);
  const core::Instant died = world.Now();
  TakeoverFigures figures;
  while (world.Now() < died + kMeasured && !groups.empty()) {
    world.RunFor(kLook);
    std::erase_if(groups, [&](std::uint32_t aGroup) {
      const bool back = world.OpenPlaces(aGroup) > 0;
      if (back) {
        figures.seconds.push_back(Seconds(world.Now() - died));
      }
      return back;
    });
  }
  figures.seconds.insert(
    figures.seconds.end(), groups.size(), Seconds(kMeasured));
  figures.overshoot = world.Counters().overshoot;
  return figures;
}

RestartFigures
RunRestart(std::uint32_t aInstances, std::uint64_t aSeed)
{
  World world(Options(aInstances, aSeed));
  world.RunFor(kWarmUp);
  const core::Instant start = world.Now();
  const std::uint64_t before = world.Table().Count().items_written;
  const std::uint32_t centres = world.Options().data_centres;
  for (std::uint32_t i = 0; i < aInstances; i += centres) {
    world.Crash(i);
  }
  world.RunFor(3s);
  for (std::uint32_t i = 0; i < aInstances; i += centres) {
    world.Start(i);
  }
  world.RunFor(180s);
  RestartFigures figures;
  const FakeTable::Counters& service = world.Table().Count();
  figures.peak_writes = PeakSince(service.written_in, start, kSpan);
  figures.peak_reads = PeakSince(service.read_in, start, kSpan);
  figures.peak_writes_in_one = PeakSince(service.written_in, start, 1);
  figures.writes = static_cast<double>(service.items_written - before);
  figures.overshoot = world.Counters().overshoot;
  return figures;
}

OutageFigures
RunOutage(std::uint32_t aInstances, std::uint64_t aSeed)
{
  constexpr int kSeconds = 3600;
  constexpr int kDeath = 600;
  WorldOptions options = Options(aInstances, aSeed);
  options.offer_every = 1s;
  World world(options);
  world.RunFor(kWarmUp);
  world.Table().Fault().down = true;
  OutageFigures figures;
  for (int second = 0; second < kSeconds; ++second) {
    if (second == kDeath) {
      world.Crash(static_cast<std::uint32_t>(aSeed % aInstances));
    }
    world.RunFor(1s);
    figures.served_share += world.OpenShare() / kSeconds;
  }
  figures.overshoot = world.Counters().overshoot;
  return figures;
}

} // namespace jujubehead::bench
