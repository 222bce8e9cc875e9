#include <cstdio>    // for printf
#include <sstream>   // for istringstream
#include <stdexcept> // for runtime_error
#include <string>    // for string, stoi
#include <thread>    // for sleep_for
#include <vector>    // for vector

#include <gflags/gflags.h> // for DEFINE_string

#include "bench/benches.hpp"      // for RunPathBench
#include "bench/path/load.hpp"    // for RunLoad, OpenStreams
#include "bench/path/process.hpp" // for ResidentKib, ProcessorSeconds

DEFINE_string(path_engines, "", "path: half-load engines, ip:port by comma");
DEFINE_string(path_instances, "", "path: instances, ip:port by comma");
DEFINE_string(path_pids, "", "path: the instances' process ids, by comma");
DEFINE_string(path_key, "", "path: a client account's key");
DEFINE_uint64(path_streams, 64, "path: streams at half load");
DEFINE_uint64(path_rounds, 4, "path: rounds of direct and through");
DEFINE_uint64(path_round_ms, 4000, "path: length of each half of a round");
DEFINE_uint64(path_open_streams, 400, "path: streams held open for memory");

namespace jujubehead::bench {
namespace {

using std::chrono::milliseconds;

constexpr milliseconds kSettle{ 1500 };
// Two steps of the half-load engines.
constexpr milliseconds kMeanPause{ 10 };
constexpr double kP50 = 0.50;
constexpr double kP95 = 0.95;

// Models that scripts of this bench set up: engines at an ordinary pace, fast
// ones to fill an instance, and slow wide ones to hold streams open.
constexpr const char* kHalfModel = "bench-half";
constexpr const char* kFastModel = "bench-fast";
constexpr const char* kWideModel = "bench-wide";

std::vector<std::string>
SplitByComma(const std::string& aText)
{
  std::vector<std::string> parts;
  std::istringstream stream(aText);
  for (std::string part; std::getline(stream, part, ',');) {
    parts.push_back(part);
  }
  return parts;
}

struct Setting
{
  std::vector<std::string> engines = SplitByComma(FLAGS_path_engines);
  std::vector<std::string> instances = SplitByComma(FLAGS_path_instances);
  int first_pid = std::stoi(SplitByComma(FLAGS_path_pids).at(0));
};

LoadOptions
ThroughFirst(const Setting& aSetting, const char* aModel)
{
  LoadOptions options;
  options.authorities = { aSetting.instances.at(0) };
  options.key = FLAGS_path_key;
  options.model = aModel;
  return options;
}

void
Require(const LoadResult& aResult, const char* aPhase)
{
  std::printf("%s: %llu requests, %llu tokens, %llu failed in %.1f s %s\n",
              aPhase,
              static_cast<unsigned long long>(aResult.requests),
              static_cast<unsigned long long>(aResult.tokens),
              static_cast<unsigned long long>(aResult.failures),
              aResult.seconds,
              aResult.first_failure.c_str());
  std::fflush(stdout);
  if (aResult.requests == 0) {
    throw std::runtime_error(std::string(aPhase) + ": nothing was answered");
  }
}

// Of fresh processes: later phases leave memory behind that streams reuse.
double
MeasureStreamKib(const Setting& aSetting)
{
  LoadOptions options = ThroughFirst(aSetting, kWideModel);
  options.max_tokens = 1;
  options.time = milliseconds(1000);
  Require(RunLoad(options), "memory, warm-up");
  options.max_tokens = 2000;
  options.streams = FLAGS_path_open_streams;
  options.time = milliseconds(20000);
  const double before = ResidentKib(aSetting.first_pid);
  const OpenStreams open(options);
  std::this_thread::sleep_for(kSettle);
  const double after = ResidentKib(aSetting.first_pid);
  std::printf("memory: %zu streams open, resident %.0f -> %.0f KiB\n",
              open.Count(),
              before,
              after);
  if (open.Count() == 0) {
    throw std::runtime_error("memory: no stream opened");
  }
  return (after - before) / static_cast<double>(open.Count());
}

struct Added
{
  double first_token_p50;
  double first_token_p95;
  double token_p50;
  double token_p95;
};

Added
MeasureAdded(const Setting& aSetting)
{
  LoadOptions direct;
  direct.authorities = aSetting.engines;
  direct.model = kHalfModel;
  direct.streams = FLAGS_path_streams;
  direct.time = milliseconds(FLAGS_path_round_ms);
  direct.mean_pause = kMeanPause;
  LoadOptions through = direct;
  through.authorities = aSetting.instances;
  through.key = FLAGS_path_key;
  LoadResult of_direct;
  LoadResult of_through;
  for (std::uint64_t round = 0; round < FLAGS_path_rounds; ++round) {
    of_direct.Add(RunLoad(direct));
    std::this_thread::sleep_for(kSettle);
    of_through.Add(RunLoad(through));
    std::this_thread::sleep_for(kSettle);
  }
  Require(of_direct, "half load, direct");
  Require(of_through, "half load, through");
  const auto difference = [](const std::vector<double>& aThrough,
                             const std::vector<double>& aDirect,
                             const char* aName,
                             double aShare) {
    const double through_ms = Quantile(aThrough, aShare);
    const double direct_ms = Quantile(aDirect, aShare);
    std::printf("%s p%.0f: direct %.3f ms, through %.3f ms\n",
                aName,
                aShare * 100,
                direct_ms,
                through_ms);
    return through_ms - direct_ms;
  };
  const auto first = [&](double aShare) {
    return difference(of_through.first_token_ms,
                      of_direct.first_token_ms,
                      "first token",
                      aShare);
  };
  const auto between = [&](double aShare) {
    return difference(of_through.between_tokens_ms,
                      of_direct.between_tokens_ms,
                      "between tokens",
                      aShare);
  };
  return { first(kP50), first(kP95), between(kP50), between(kP95) };
}

struct Capacity
{
  double tokens_per_second;
  double tokens_per_core_second;
};

Capacity
MeasureTokens(const Setting& aSetting)
{
  LoadOptions options = ThroughFirst(aSetting, kFastModel);
  options.streams = 192;
  options.threads = 4;
  options.max_tokens = 256;
  const double before = ProcessorSeconds(aSetting.first_pid);
  const LoadResult result = RunLoad(options);
  const double used = ProcessorSeconds(aSetting.first_pid) - before;
  Require(result, "streams through one instance");
  std::printf("streams: instance used %.2f of a core\n", used / result.seconds);
  const auto tokens = static_cast<double>(result.tokens);
  return { tokens / result.seconds, tokens / used };
}

double
MeasureRequests(const Setting& aSetting)
{
  LoadOptions options = ThroughFirst(aSetting, kFastModel);
  options.streams = 96;
  options.threads = 4;
  options.max_tokens = 1;
  options.stream = false;
  const double before = ProcessorSeconds(aSetting.first_pid);
  const LoadResult result = RunLoad(options);
  const double used = ProcessorSeconds(aSetting.first_pid) - before;
  Require(result, "requests through one instance");
  std::printf("requests: %.0f a second, instance used %.2f of a core\n",
              static_cast<double>(result.requests) / result.seconds,
              used / result.seconds);
  return static_cast<double>(result.requests) / used;
}

} // namespace

int
RunPathBench()
{
  const Setting setting;
  const double stream_kib = MeasureStreamKib(setting);
  std::this_thread::sleep_for(kSettle);
  const Added added = MeasureAdded(setting);
  const Capacity capacity = MeasureTokens(setting);
  std::this_thread::sleep_for(kSettle);
  const double requests = MeasureRequests(setting);
  std::printf("path added_ttft_ms_p50=%.3f added_ttft_ms_p95=%.3f "
              "requests_per_second_per_core=%.0f stream_kib=%.1f "
              "added_token_ms_p50=%.3f added_token_ms_p95=%.3f "
              "tokens_per_second_per_thread=%.0f "
              "tokens_per_core_second=%.0f\n",
              added.first_token_p50,
              added.first_token_p95,
              requests,
              stream_kib,
              added.token_p50,
              added.token_p95,
              capacity.tokens_per_second,
              capacity.tokens_per_core_second);
  return 0;
}

} // namespace jujubehead::bench
