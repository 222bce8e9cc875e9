#include <csignal>   // for SIGINT, SIGTERM
#include <cstdlib>   // for _Exit
#include <cstring>   // for strcmp
#include <exception> // for exception
#include <fstream>   // for ifstream, ofstream
#include <iostream>  // for cerr
#include <sstream>   // for istringstream
#include <stdexcept> // for runtime_error

#include <boost/asio/signal_set.hpp> // for signal_set
#include <gflags/gflags.h>           // for DEFINE_string

#include "standin/crowd.hpp"        // for Crowd
#include "standin/face.hpp"         // for NowMs
#include "standin/fault_proxy.hpp"  // for FaultProxy
#include "standin/load_callers.hpp" // for LoadCallers
#include "standin/path_view.hpp"    // for PathView
#include "standin/stand_in.hpp"     // for StandIn
#include "standin/stop_callers.hpp" // for StopCallers

DEFINE_string(address, "127.0.0.1", "Address to listen at");
DEFINE_int32(port, 0, "Port to listen at; 0: any free one");
DEFINE_string(ready_file, "", "Gets `address:port` once listening");
DEFINE_string(model, "jujube-large", "engine: its model");
DEFINE_string(versions, "v1", "engine: loaded weight versions, by comma");
DEFINE_string(adapters, "", "engine: loaded adapters, by comma");
DEFINE_uint64(total_blocks, 4096, "engine: blocks of the prefix cache");
DEFINE_uint64(batch, 16, "engine: most runs at once");
DEFINE_uint64(hard_limit, 64, "engine: most runs and waiting requests");
DEFINE_uint64(prefill_us_per_token, 20, "engine: cost of a prompt token");
DEFINE_uint64(decode_us_per_step, 5000, "engine: cost of a batching step");
DEFINE_uint64(kv_bytes_per_token, 1024, "engine: KV cache of a token");
DEFINE_bool(checks_fencing, true, "engine: refuses old fencing numbers");
DEFINE_int64(load_ms, 500, "engine: time that loading weights takes");
DEFINE_int64(load_lag_ms, 50, "engine: lateness of the load report");
DEFINE_int64(event_lag_ms, 50, "engine, store: lateness of events");
DEFINE_double(event_gap, 0, "engine, store: share of events never published");
DEFINE_uint64(seed, 1, "engine, store: seed of the gaps");
DEFINE_uint64(memory_bytes, 64U << 20U, "store: memory tier");
DEFINE_uint64(disk_bytes, 1U << 30U, "store: disk tier");
DEFINE_uint64(link_bytes_per_second, 100U << 20U, "store: rate of its link");
DEFINE_int64(disk_ms, 20, "store: added to a read from disk");
DEFINE_double(writes_per_second, 0, "table: most items written; 0: no limit");
DEFINE_double(reads_per_second, 0, "table: most reads; 0: no limit");
DEFINE_string(members_file, "", "members: JSON array of the first members");
DEFINE_string(service, "sync", "service: its name");
DEFINE_string(id, "service-1", "service, registered: its id");
DEFINE_string(registered_model, "", "registered: its model; empty: none");
DEFINE_int64(work_ms, 0, "service: time that a call takes");
DEFINE_string(arrivals_file,
              "",
              "registered: gets a line for each request: Unix milliseconds, "
              "X-Attempt-Id, id of the target, service, body");
DEFINE_string(upstream,
              "",
              "proxy, paths, crowd, stop_callers: `address:port` to call");
DEFINE_int64(mean_calm_ms, 10000, "proxy: mean time between faults; 0: none");
DEFINE_int64(max_fault_ms, 5000, "proxy: longest fault");
DEFINE_string(instances, "", "callers: `address:port` of each, by comma");
DEFINE_string(crowd, "", "crowd: its kind, see MakeCrowdScript()");
DEFINE_uint64(clients,
              40,
              "crowd: how many; stop_callers: of each kind and manner");
DEFINE_uint64(body_bytes, 4U << 20U, "crowd: length of a body");
DEFINE_string(path, "/", "crowd: of the requests");
DEFINE_string(lines, "", "crowd: header lines of the requests, by |");
DEFINE_double(requests_per_second, 20, "callers: without poison requests");
DEFINE_double(poison_per_second, 0, "callers: copies of the poison request");
DEFINE_string(poison, "", "callers: body of the poison request");
DEFINE_bool(changes_poison, false, "callers: each copy has another body");
DEFINE_string(poison_part,
              "",
              "callers: part of the prompts of the poison requests, each of "
              "which is like no other; empty: none");
DEFINE_string(id_prefix, "r", "callers, stop_callers: of the ids of requests");
DEFINE_bool(resumes, false, "callers: take broken streams up again");
DEFINE_string(software_version, "", "registered: part of each event");
DEFINE_string(brittle,
              "",
              "registered: REJECTIONS,SLOTS of a brittle target; empty: none");
DEFINE_bool(brittle_silent, false, "registered: does not say so");
DEFINE_string(crash_on,
              "",
              "registered: ends when it runs a request whose body has this "
              "text; empty: never");
DEFINE_string(crash_on_part,
              "",
              "registered: ends when it runs a request with this part in its "
              "prompt; empty: never");
DEFINE_int32(pid, 0, "stop_callers: process that gets SIGTERM");
DEFINE_int64(warm_up_ms, 8000, "stop_callers: time before SIGTERM");
DEFINE_int64(crash_after_ms, 0, "registered: time from its begin to the end");

namespace {

using namespace jujubehead::standin;
namespace asio = boost::asio;

constexpr int kCrashStatus = 70;
constexpr int kUsageStatus = 2;
constexpr const char* kUsage =
  "jujubehead-standin "
  "engine|store|table|objects|members|service|rows|parts|registered|proxy|"
  "paths|callers|stop_callers|crowd [flags]";

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

EventOptions
EventsFromFlags()
{
  EventOptions events;
  events.lag_ms = FLAGS_event_lag_ms;
  events.gap = FLAGS_event_gap;
  events.seed = FLAGS_seed;
  return events;
}

EngineOptions
EngineFromFlags()
{
  EngineOptions options;
  options.model = FLAGS_model;
  options.versions = SplitByComma(FLAGS_versions);
  options.adapters = SplitByComma(FLAGS_adapters);
  options.total_blocks = FLAGS_total_blocks;
  options.batch = FLAGS_batch;
  options.hard_limit = FLAGS_hard_limit;
  options.prefill_per_token =
    std::chrono::microseconds(FLAGS_prefill_us_per_token);
  options.decode_per_step = std::chrono::microseconds(FLAGS_decode_us_per_step);
  options.kv_bytes_per_token = FLAGS_kv_bytes_per_token;
  options.checks_fencing = FLAGS_checks_fencing;
  options.load_ms = FLAGS_load_ms;
  options.load_lag_ms = FLAGS_load_lag_ms;
  options.events = EventsFromFlags();
  return options;
}

StoreOptions
StoreFromFlags()
{
  return { FLAGS_memory_bytes,
           FLAGS_disk_bytes,
           FLAGS_link_bytes_per_second,
           FLAGS_disk_ms,
           EventsFromFlags() };
}

nlohmann::json
MembersFromFlags()
{
  if (FLAGS_members_file.empty()) {
    return nlohmann::json::array();
  }
  std::ifstream file(FLAGS_members_file);
  return nlohmann::json::parse(file);
}

/// @return what writes the lines of --arrivals_file, if it is set.
std::function<void(const jujubehead::net::HttpRequest&)>
ArrivalLog()
{
  if (FLAGS_arrivals_file.empty()) {
    return {};
  }
  auto file = std::make_shared<std::ofstream>(FLAGS_arrivals_file,
                                              std::ios::app); // Survives runs.
  const std::string service =
    FLAGS_registered_model.empty() ? "plain" : "models";
  return [file, service](const jujubehead::net::HttpRequest& aRequest) {
    *file << NowMs() << ' '
          << aRequest.headers.Find("X-Attempt-Id").value_or("-") << ' '
          << FLAGS_id << ' ' << service << ' ' << aRequest.body << std::endl;
  };
}

StandIn
Create(asio::io_context& aContext, const std::string& aKind)
{
  const ListenOptions listen{ FLAGS_address,
                              static_cast<std::uint16_t>(FLAGS_port) };
  if (aKind == "engine") {
    return StandIn::Engine(aContext, EngineFromFlags(), listen);
  }
  if (aKind == "store") {
    return StandIn::Store(aContext, StoreFromFlags(), listen);
  }
  if (aKind == "table") {
    const TableOptions options{ FLAGS_writes_per_second,
                                FLAGS_reads_per_second };
    return StandIn::Table(aContext, options, listen);
  }
  if (aKind == "objects") {
    return StandIn::Objects(aContext, listen);
  }
  if (aKind == "members") {
    return StandIn::Members(aContext, MembersFromFlags(), listen);
  }
  if (aKind == "service") {
    return StandIn::Service(
      aContext, { FLAGS_service, FLAGS_id, FLAGS_work_ms }, listen);
  }
  if (aKind == "rows") {
    return StandIn::Rows(aContext, listen);
  }
  if (aKind == "parts") {
    return StandIn::Parts(aContext, listen);
  }
  if (aKind == "registered") {
    RegisteredOptions options;
    options.id = FLAGS_id;
    options.model = FLAGS_registered_model;
    options.work_ms = FLAGS_work_ms;
    options.software_version = FLAGS_software_version;
    options.on_arrival = ArrivalLog();
    StandIn target = StandIn::Registered(aContext, options, listen);
    if (!FLAGS_brittle.empty()) {
      const std::vector<std::string> numbers = SplitByComma(FLAGS_brittle);
      target.SetFault("brittle",
                      { { "rejections", std::stoi(numbers.at(0)) },
                        { "slots", std::stoi(numbers.at(1)) },
                        { "silent", FLAGS_brittle_silent } });
    }
    if (!FLAGS_crash_on_part.empty()) {
      target.SetFault("crash_on",
                      { { "part", FLAGS_crash_on_part },
                        { "after_ms", FLAGS_crash_after_ms } });
    } else if (!FLAGS_crash_on.empty()) {
      target.SetFault(
        "crash_on",
        { { "text", FLAGS_crash_on }, { "after_ms", FLAGS_crash_after_ms } });
    }
    return target;
  }
  throw std::runtime_error(std::string("usage: ") + kUsage);
}

// Written under another name first, so that a reader never sees half of it.
void
WriteReadyFile(const std::string& aAuthority)
{
  if (FLAGS_ready_file.empty()) {
    return;
  }
  const std::string draft = FLAGS_ready_file + ".draft";
  std::ofstream(draft) << aAuthority << '\n';
  if (std::rename(draft.c_str(), FLAGS_ready_file.c_str()) != 0) {
    throw std::runtime_error("cannot write " + FLAGS_ready_file);
  }
}

FaultProxyOptions
ProxyFromFlags()
{
  FaultProxyOptions options;
  options.listen = { FLAGS_address, static_cast<std::uint16_t>(FLAGS_port) };
  options.upstream = FLAGS_upstream;
  options.seed = FLAGS_seed;
  options.mean_calm = std::chrono::milliseconds(FLAGS_mean_calm_ms);
  options.max_fault = std::chrono::milliseconds(FLAGS_max_fault_ms);
  return options;
}

LoadCallersOptions
CallersFromFlags()
{
  LoadCallersOptions options;
  options.instances = SplitByComma(FLAGS_instances);
  options.requests_per_second = FLAGS_requests_per_second;
  options.poison_per_second = FLAGS_poison_per_second;
  options.poison = FLAGS_poison;
  options.changes_poison = FLAGS_changes_poison;
  options.poison_part = FLAGS_poison_part;
  options.id_prefix = FLAGS_id_prefix;
  options.resumes = FLAGS_resumes;
  options.seed = FLAGS_seed;
  return options;
}

void
RunUntilSignal(asio::io_context& aContext)
{
  asio::signal_set signals(aContext, SIGINT, SIGTERM);
  signals.async_wait([&](const auto&, int) { aContext.stop(); });
  aContext.run();
}

/// Its log, on standard output, has the faults.
void
ServeProxy()
{
  asio::io_context context(1);
  FaultProxy proxy(context, ProxyFromFlags(), std::cout);
  proxy.Start();
  WriteReadyFile(proxy.Authority());
  RunUntilSignal(context);
}

/// Its log, on standard output, has the cuts.
void
ServePaths()
{
  asio::io_context context(1);
  const ListenOptions listen{ FLAGS_address,
                              static_cast<std::uint16_t>(FLAGS_port) };
  const PathView paths(context, listen, FLAGS_upstream, std::cout);
  WriteReadyFile(paths.Authority());
  RunUntilSignal(context);
}

/// Its log, on standard output, says when all clients are at rest.
void
RunCrowd()
{
  CrowdOptions options;
  options.server = FLAGS_upstream;
  options.kind = FLAGS_crowd;
  options.clients = FLAGS_clients;
  options.body_bytes = FLAGS_body_bytes;
  options.path = FLAGS_path;
  std::istringstream lines(FLAGS_lines);
  for (std::string line; std::getline(lines, line, '|');) {
    options.lines += line + "\r\n";
  }
  asio::io_context context(1);
  Crowd crowd(context, options, std::cout);
  crowd.Start();
  RunUntilSignal(context);
}

/// Their log, on standard output, has the requests.
void
RunCallers()
{
  asio::io_context context(1);
  LoadCallers callers(context, CallersFromFlags(), std::cout);
  callers.Start();
  RunUntilSignal(context);
}

/// Their log, on standard output, has the requests.
void
RunStopCallers()
{
  StopCallersOptions options;
  options.instance = FLAGS_upstream;
  options.pid = FLAGS_pid;
  options.warm_up = std::chrono::milliseconds(FLAGS_warm_up_ms);
  options.callers = FLAGS_clients;
  options.seed = FLAGS_seed;
  options.id_prefix = FLAGS_id_prefix;
  asio::io_context context(1);
  StopCallers callers(context, options, std::cout);
  callers.Start();
  context.run();
}

void
Serve(const std::string& aKind)
{
  if (aKind == "proxy") {
    ServeProxy();
    return;
  }
  if (aKind == "paths") {
    ServePaths();
    return;
  }
  if (aKind == "callers") {
    RunCallers();
    return;
  }
  if (aKind == "stop_callers") {
    RunStopCallers();
    return;
  }
  if (aKind == "crowd") {
    RunCrowd();
    return;
  }
  asio::io_context context(1);
  StandIn stand_in = Create(context, aKind);
  stand_in.SetOnCrash([] { std::_Exit(kCrashStatus); });
  std::cerr << "jujubehead-standin: " << aKind << " at " << stand_in.Authority()
            << std::endl;
  WriteReadyFile(stand_in.Authority());
  RunUntilSignal(context);
}

} // namespace

int
main(int argc, char** argv)
{
  gflags::SetUsageMessage(kUsage);
  gflags::ParseCommandLineFlags(&argc, &argv, true);
  try {
    Serve(argc == 2 ? argv[1] : "");
  } catch (const std::exception& error) {
    std::cerr << "jujubehead-standin: " << error.what() << '\n';
    return kUsageStatus;
  }
  return 0;
}
