#include "jujubehead/node/metrics.hpp"

#include <thread> // for thread

#include <CppUTest/TestHarness.h> // for TEST

using namespace jujubehead::node;
using namespace std::chrono_literals;
using jujubehead::core::Table;

TEST_GROUP(Metrics)
{
  std::unique_ptr<Metrics> metrics = Metrics::Create();

  bool HasLine(const std::string& aLine) const
  {
    const std::string page = '\n' + metrics->Render();
    return page.find('\n' + aLine + '\n') != std::string::npos;
  }
};

TEST(Metrics, HistogramsAreCumulativeAndMergedOverThreads)
{
  ThreadMetrics& one = metrics->ForThread();
  ThreadMetrics& other = metrics->ForThread();
  one.Record(Timing::kTimeToFirstToken, "a", "t1", 300us);
  other.Record(Timing::kTimeToFirstToken, "a", "t2", 30ms);
  other.Record(Timing::kTimeToFirstToken, "a", "t2", 200s);
  const std::string name = "jujubehead_account_time_to_first_token_seconds";
  const std::string label = "{account_class=\"a\",le=\"";
  CHECK(HasLine(name + "_bucket" + label + "0.0005\"} 1"));
  CHECK(HasLine(name + "_bucket" + label + "0.02\"} 1"));
  CHECK(HasLine(name + "_bucket" + label + "0.036\"} 2"));
  CHECK(HasLine(name + "_bucket" + label + "100\"} 2"));
  CHECK(HasLine(name + "_bucket" + label + "+Inf\"} 3"));
  CHECK(HasLine(name + "_count{account_class=\"a\"} 3"));
  CHECK(HasLine("jujubehead_target_time_to_first_token_seconds_count{target="
                "\"t2\"} 2"));
  CHECK(HasLine("jujubehead_account_queue_wait_seconds_count{account_class="
                "\"a\"} 0"));
}

TEST(Metrics, CountersAndRefusalsAddUp)
{
  metrics->ForThread().Add(Counter::kTokens, 5);
  ThreadMetrics& other = metrics->ForThread();
  other.Add(Counter::kTokens, 2);
  other.Add(Counter::kTakeovers);
  other.Refuse("overload", true);
  other.Refuse("overload", true);
  CHECK(HasLine("jujubehead_tokens_total 7"));
  CHECK(HasLine("jujubehead_takeovers_total 1"));
  CHECK(HasLine(
    "jujubehead_refusals_total{reason=\"overload\",run=\"not_run\"} 2"));
  CHECK_EQUAL(7U, metrics->Total(Counter::kTokens));
}

TEST(Metrics, GaugesStandWithTheirFamily)
{
  const std::vector<Gauge> gauges = {
    { "jujubehead_running", "Runs.", "target", "t\"1", 3 },
    { "jujubehead_running", "Runs.", "target", "t2", 0.5 },
    { "jujubehead_ready", "Ready.", "", "", 1 },
  };
  const std::string page = metrics->Render(gauges);
  const std::string expected = "# HELP jujubehead_running Runs.\n"
                               "# TYPE jujubehead_running gauge\n"
                               "jujubehead_running{target=\"t\\\"1\"} 3\n"
                               "jujubehead_running{target=\"t2\"} 0.5\n"
                               "# HELP jujubehead_ready Ready.\n"
                               "# TYPE jujubehead_ready gauge\n"
                               "jujubehead_ready 1\n";
  CHECK(page.ends_with(expected));
}

TEST(Metrics, ThreadsRecordWhileAPageIsRead)
{
  ThreadMetrics& recorder = metrics->ForThread();
  std::thread thread([&] {
    for (int i = 0; i < 2000; ++i) {
      recorder.Record(Timing::kBetweenTokens, "a", "t", 1ms);
      recorder.Add(Counter::kTokens);
    }
  });
  while (metrics->Total(Counter::kTokens) < 1000) {
    CHECK_FALSE(metrics->Render().empty());
  }
  thread.join();
  CHECK(HasLine("jujubehead_target_between_tokens_seconds_count{target=\"t\"} "
                "2000"));
}

TEST(Metrics, ManyAccountsShareClasses)
{
  std::string csv = "account,model,version,adapter,weight,max_running,"
                    "max_waiting,priority,deadline_ms,recompute_price,"
                    "key_hash\n*,m,v,,,5,,,,,\na,m,,,250,,,,,,\n";
  const auto few = Table::FromCsv("t", csv).value();
  CHECK_EQUAL(std::string("a"), AccountClass(few, *few.Rows().back()));
  for (int i = 0; i < 100; ++i) {
    csv += "z" + std::to_string(i) + ",m,,,9,,,,,,\n";
  }
  const auto many = Table::FromCsv("t", csv).value();
  CHECK_EQUAL(std::string("weight_from_100"),
              AccountClass(many, *many.Rows()[1]));
  CHECK_EQUAL(std::string("weight_from_1"),
              AccountClass(many, *many.Rows().back()));
}
