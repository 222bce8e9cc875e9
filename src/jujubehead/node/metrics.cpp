#include "jujubehead/node/metrics.hpp"

#include <array>         // for array
#include <functional>    // for plus, equal_to
#include <list>          // for list
#include <map>           // for map
#include <tuple>         // for tuple
#include <unordered_map> // for unordered_map
#include <utility>       // for move, pair

// g++ 12 with the address sanitizer takes this library's index for one that is
// read before it is set.
#pragma GCC diagnostic push
#ifndef __clang__ // does not know it
#pragma GCC diagnostic ignored "-Wmaybe-uninitialized"
#endif
#include <boost/histogram.hpp> // for make_histogram_with
#pragma GCC diagnostic pop

#include "prometheus_text.hpp" // for PrometheusText

namespace jujubehead::node {
namespace {

namespace bh = boost::histogram;

constexpr std::size_t kTimings = 3;
constexpr std::size_t kCounters =
  static_cast<std::size_t>(Counter::kTakeovers) + 1;
constexpr std::size_t kMaxLabels = 4096;
constexpr std::size_t kFewAccounts = 64;
constexpr std::string_view kOtherLabel = "other";

/// Upper bounds in seconds; the users' goals of 1 s to the first token and
/// 36 ms between tokens are among them.
const std::vector<double>&
Bounds()
{
  static const std::vector<double> kBounds = {
    0.0, 0.0005, 0.001, 0.002, 0.005, 0.01, 0.02, 0.036, 0.05, 0.1,
    0.2, 0.5,    1,     2,     5,     10,   20,   50,    100
  };
  return kBounds;
}

using TimingAxis =
  bh::axis::integer<int, bh::use_default, bh::axis::option::none_t>;
using SecondsAxis = bh::axis::variable<double>;
using TimingHistogram = bh::histogram<std::tuple<TimingAxis, SecondsAxis>,
                                      bh::dense_storage<std::uint64_t>>;

TimingHistogram
MakeHistogram()
{
  return TimingHistogram(std::make_tuple(
    TimingAxis(0, static_cast<int>(kTimings)), SecondsAxis(Bounds())));
}

/// The histograms of one label.
struct Series
{
  TimingHistogram histogram = MakeHistogram();
  std::array<double, kTimings> sums{};

  void Record(Timing aTiming, double aSeconds)
  {
    histogram(static_cast<int>(aTiming), aSeconds);
    sums.at(static_cast<std::size_t>(aTiming)) += aSeconds;
  }
  void Merge(const Series& aOther)
  {
    histogram += aOther.histogram;
    for (std::size_t i = 0; i < kTimings; ++i) {
      sums.at(i) += aOther.sums.at(i);
    }
  }
};

struct TextHash
{
  using is_transparent = void;
  std::size_t operator()(std::string_view aText) const
  {
    return std::hash<std::string_view>{}(aText);
  }
};

using SeriesMap =
  std::unordered_map<std::string, Series, TextHash, std::equal_to<>>;

Series&
SeriesOf(SeriesMap& aMap, std::string_view aLabel)
{
  const auto found = aMap.find(aLabel);
  if (found != aMap.end()) {
    return found->second;
  }
  const bool is_full = aMap.size() >= kMaxLabels;
  return aMap[std::string(is_full ? kOtherLabel : aLabel)];
}

struct Refusal
{
  std::string reason;
  bool not_run = false;

  // NOLINTNEXTLINE(modernize-use-nullptr)
  friend auto operator<=>(const Refusal&, const Refusal&) = default;
};

/// All that is recorded, by one thread or by all.
struct Records
{
  SeriesMap by_account_class;
  SeriesMap by_target;
  std::array<std::uint64_t, kCounters> counters{};
  std::map<Refusal, std::uint64_t> refusals;

  void Merge(const Records& aOther)
  {
    for (const auto& [label, series] : aOther.by_account_class) {
      by_account_class[label].Merge(series);
    }
    for (const auto& [label, series] : aOther.by_target) {
      by_target[label].Merge(series);
    }
    for (std::size_t i = 0; i < kCounters; ++i) {
      counters.at(i) += aOther.counters.at(i);
    }
    for (const auto& [refusal, count] : aOther.refusals) {
      refusals[refusal] += count;
    }
  }
};

class LockedThreadMetrics : public ThreadMetrics
{
public:
  void Record(Timing aTiming,
              std::string_view aAccountClass,
              std::string_view aTarget,
              core::Duration aTime) override
  {
    const double seconds = std::chrono::duration<double>(aTime).count();
    const std::lock_guard lock(m_mutex);
    SeriesOf(m_records.by_account_class, aAccountClass)
      .Record(aTiming, seconds);
    SeriesOf(m_records.by_target, aTarget).Record(aTiming, seconds);
  }

  void Add(Counter aCounter, std::uint64_t aCount) override
  {
    const std::lock_guard lock(m_mutex);
    m_records.counters.at(static_cast<std::size_t>(aCounter)) += aCount;
  }

  void Refuse(std::string_view aReason, bool aNotRun) override
  {
    const std::lock_guard lock(m_mutex);
    ++m_records.refusals[{ std::string(aReason), aNotRun }];
  }

  void MergeInto(Records& aAll) const
  {
    const std::lock_guard lock(m_mutex);
    aAll.Merge(m_records);
  }

private:
  mutable std::mutex m_mutex;
  Records m_records;
};

struct TimingText
{
  std::string_view name;
  std::string_view help;
};

constexpr std::array<TimingText, kTimings> kTimingTexts = { {
  { "time_to_first_token_seconds",
    "From the caller's request to its first token." },
  { "between_tokens_seconds", "Between two tokens of an answer." },
  { "queue_wait_seconds", "Waiting for the permit of a target's owner." },
} };

constexpr std::array<TimingText, kCounters> kCounterTexts = { {
  { "requests_total", "Requests taken from callers." },
  { "answers_total", "Requests answered whole." },
  { "callers_gone_total", "Callers that left before their answer's end." },
  { "unauthenticated_total", "Requests without a valid key." },
  { "bad_requests_total", "Requests refused for their content." },
  { "tokens_total", "Tokens sent to callers." },
  { "prompt_tokens_total", "Tokens of prompts." },
  { "cached_tokens_total", "Prompt tokens found in an engine's cache." },
  { "imported_tokens_total", "Prompt tokens imported from a store." },
  { "recomputed_tokens_total", "Prompt tokens that were computed." },
  { "link_bytes_total", "Bytes moved over the links of stores." },
  { "retries_total", "Runs begun again at another target." },
  { "resumes_total", "Streams that went on at another target." },
  { "claims_total", "Claims written for non-idempotent requests." },
  { "duplicates_total", "Requests that found an earlier claim." },
  { "table_changes_total", "Table versions that came in force here." },
  { "service_reads_total", "Reads of the table service." },
  { "service_writes_total", "Writes to the table service." },
  { "service_failures_total", "Calls to the table service that failed." },
  { "passed_over_tokens_total",
    "Prompt tokens read anew as their store's link was too busy." },
  { "target_refusals_total", "Requests that targets refused as not run." },
  { "broken_replies_total", "Replies of targets that broke off." },
  { "target_crashes_total",
    "Targets whose process had ended when a reply broke off." },
  { "target_pushbacks_total",
    "Requests that targets refused, asking for no more for a time." },
  { "limited_refusals_total",
    "Requests refused as all their targets have named a limit." },
  { "brittle_refusals_total",
    "Requests refused as no share of brittle targets is left." },
  { "streams_found_total",
    "Streams that go on, whose software version another instance knew." },
  { "streams_unknown_total",
    "Streams refused as no instance knew the software version that began "
    "them." },
  { "streams_cut_total",
    "Streams whose connection was ended within the response." },
  { "silent_targets_total",
    "Requests whose target was silent for longer than it usually is." },
  { "draining_replies_total",
    "Replies of targets that say that they are leaving." },
  { "tunnels_total", "Connections to targets through other instances." },
  { "tunnels_served_total",
    "Connections to targets opened for other instances." },
  { "path_checks_total", "Checks of paths to targets that did not respond." },
  { "room_refusals_total",
    "Requests refused as more urgent ones need the room." },
  { "cold_sends_total", "Requests sent to cold targets." },
  { "second_sends_total", "Slow requests sent to a second target." },
  { "second_sends_won_total",
    "Of these, those to which the second target responded first." },
  { "second_sends_denied_total",
    "Slow requests that were not sent to a second target." },
  { "memory_refusals_total",
    "Requests refused as the memory for requests and replies is in use." },
  { "connections_closed_total",
    "Idle connections of callers that were closed to make room for others." },
  { "connections_refused_total",
    "Connections refused as too many callers are connected." },
  { "takeovers_total", "Targets and stores that came to this instance." },
} };

void
RenderTimings(PrometheusText& aText,
              std::string_view aPrefix,
              std::string_view aLabelName,
              const SeriesMap& aSeries)
{
  const std::map<std::string_view, const Series*> ordered = [&] {
    std::map<std::string_view, const Series*> map;
    for (const auto& [label, series] : aSeries) {
      map.emplace(label, &series);
    }
    return map;
  }();
  const std::vector<double>& bounds = Bounds();
  for (std::size_t timing = 0; timing < kTimings; ++timing) {
    const std::string name =
      std::string(aPrefix) + std::string(kTimingTexts.at(timing).name);
    aText.Family(name, "histogram", kTimingTexts.at(timing).help);
    for (const auto& [label, series] : ordered) {
      const int row = static_cast<int>(timing);
      // Times below the first bound, which a clock never gives, count too.
      std::uint64_t count = series->histogram.at(row, -1);
      for (std::size_t bin = 0; bin + 1 < bounds.size(); ++bin) {
        count += series->histogram.at(row, static_cast<int>(bin));
        aText.Bucket(name, aLabelName, label, bounds[bin + 1], count);
      }
      count += series->histogram.at(row, static_cast<int>(bounds.size() - 1));
      aText.HistogramEnd(
        name, aLabelName, label, series->sums.at(timing), count);
    }
  }
}

void
RenderCounters(PrometheusText& aText, const Records& aRecords)
{
  for (std::size_t i = 0; i < kCounters; ++i) {
    const std::string name =
      "jujubehead_" + std::string(kCounterTexts.at(i).name);
    aText.Family(name, "counter", kCounterTexts.at(i).help);
    aText.Value(name, {}, static_cast<double>(aRecords.counters.at(i)));
  }
  const std::string name = "jujubehead_refusals_total";
  aText.Family(name, "counter", "Requests refused, by reason.");
  for (const auto& [refusal, count] : aRecords.refusals) {
    aText.Value(name,
                { { "reason", refusal.reason },
                  { "run", refusal.not_run ? "not_run" : "unknown" } },
                static_cast<double>(count));
  }
}

class ThreadedMetrics : public Metrics
{
public:
  ThreadMetrics& ForThread() override
  {
    const std::lock_guard lock(m_mutex);
    return m_threads.emplace_back();
  }

  [[nodiscard]] std::string Render(
    std::span<const Gauge> aGauges) const override
  {
    const Records all = All();
    PrometheusText text;
    RenderTimings(
      text, "jujubehead_account_", "account_class", all.by_account_class);
    RenderTimings(text, "jujubehead_target_", "target", all.by_target);
    RenderCounters(text, all);
    text.Gauges(aGauges);
    return text.Take();
  }

  [[nodiscard]] std::uint64_t Total(Counter aCounter) const override
  {
    return All().counters.at(static_cast<std::size_t>(aCounter));
  }

private:
  [[nodiscard]] Records All() const
  {
    const std::lock_guard lock(m_mutex);
    Records all;
    for (const LockedThreadMetrics& thread : m_threads) {
      thread.MergeInto(all);
    }
    return all;
  }

  mutable std::mutex m_mutex;
  std::list<LockedThreadMetrics> m_threads;
};

} // namespace

std::string
AccountClass(const core::Table& aTable, const core::TableRow& aRow)
{
  if (aTable.Rows().size() <= kFewAccounts) {
    return aRow.account.Text();
  }
  std::uint64_t decade = 1;
  while (decade * 10 <= aRow.weight) {
    decade *= 10;
  }
  return "weight_from_" + std::to_string(decade);
}

std::unique_ptr<Metrics>
Metrics::Create()
{
  return std::make_unique<ThreadedMetrics>();
}

} // namespace jujubehead::node
