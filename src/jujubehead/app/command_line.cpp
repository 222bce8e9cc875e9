#include "command_line.hpp"

#include <algorithm> // for any_of, find, find_if, min
#include <optional>  // for optional
#include <utility>   // for move

#include "jujubehead/node/machine_limits.hpp" // for ReadMachineLimits

#include "command_specs.hpp"  // for FindCommandSpec
#include "settings_check.hpp" // for SettingsCheck

namespace jujubehead::app {
namespace {

constexpr std::uint32_t kMaxTrafficThreads = 64;
constexpr std::uint32_t kMaxDeadline = 7 * 24 * 3600;
constexpr std::uint32_t kMaxRetryWindow = 3600;
/// Hedging more would double the load of a service whose responses are slow.
constexpr double kMaxHedgeShare = 0.2;
/// Range of the first quarantine, in seconds. Times that instances report are
/// exact to a second, and later quarantines last an hour at most.
constexpr std::uint32_t kMinQuarantine = 2;
constexpr std::uint32_t kMaxQuarantine = 3600;
constexpr std::uint32_t kMaxMilliseconds = 3600 * 1000;
constexpr std::size_t kMebibyte = 1024UL * 1024;
/// Range of the memory, in MiB. With less, a body of legal size has no room.
constexpr std::uint32_t kMinMemory = 64;
constexpr std::uint32_t kMaxMemory = 1024 * 1024;
constexpr std::uint32_t kMinDescriptors = 64;
constexpr std::uint32_t kMaxDescriptors = 16 * 1024 * 1024;

/// Builds commands from their flags and the one argument some of them take.
class Builder
{
public:
  Builder(const Arguments& aArguments, std::string aArgument)
    : m_arguments(aArguments)
    , m_values(aArguments.values)
    , m_argument(std::move(aArgument))
    , m_check(aArguments)
  {
  }

  Command Build(std::string_view aName)
  {
    if (aName == "serve") {
      return ServeCommand{ Serve() };
    }
    if (aName == "entry") {
      return EntryCommand{ Entry() };
    }
    if (aName == "check") {
      return CheckCommand{ m_argument };
    }
    if (aName == "plan") {
      return PlanCommand{ m_argument, Platform(), Base() };
    }
    if (aName == "apply") {
      return ApplyCommand{ m_argument, Platform(), Base(), m_values.author };
    }
    if (aName == "table") {
      return TableCommand{ Platform(), BaseVersion() };
    }
    if (aName == "drain") {
      return Drain();
    }
    if (aName == "status") {
      return StatusCommand{ Instances(true), m_values.json };
    }
    if (aName == "key") {
      return KeyCommand{ m_argument };
    }
    if (aName == "completion") {
      return CompletionCommand{};
    }
    if (aName == "version") {
      return VersionCommand{};
    }
    return HelpCommand{ m_argument };
  }

  [[nodiscard]] const core::Findings& Found() const { return m_check.Found(); }

private:
  node::ServeOptions Serve()
  {
    const FlagValues& values = m_values;
    node::ServeOptions options;
    options.instance_id =
      core::InstanceId(m_check.Name("instance_id", values.instance_id));
    options.data_centre =
      core::DataCentreId(m_check.Name("data_centre", values.data_centre));
    options.listen_address =
      m_check.Address("listen_address", values.listen_address);
    options.listen_port = m_check.Port("listen_port", values.listen_port);
    options.peer_address = m_check.Address("peer_address", values.peer_address);
    options.peer_port = m_check.Port("peer_port", values.peer_port);
    options.members = m_check.Authority("members", values.members, true);
    options.table_service =
      m_check.Authority("table_service", values.table_service, true);
    options.object_store =
      m_check.Authority("object_store", values.object_store, true);
    options.peer_secret = m_check.Secret("peer_secret",
                                         values.peer_secret,
                                         "peer_secret_file",
                                         values.peer_secret_file);
    options.caller_tls =
      m_check.Tls({ { "listen_certificate", values.listen_certificate },
                    { "listen_key", values.listen_key },
                    {} });
    options.peer_tls =
      m_check.Tls({ { "peer_certificate", values.peer_certificate },
                    { "peer_key", values.peer_key },
                    { "peer_authority", values.peer_authority } });
    options.traffic_threads = m_check.Range(
      "traffic_threads", values.traffic_threads, 1, kMaxTrafficThreads);
    options.ready_file = values.ready_file;
    options.log_config = m_check.ReadableFile("log_config", values.log_config);
    options.operator_key =
      m_check.LongEnough("operator_key", values.operator_key);
    options.machine = Machine(node::kDefaultServeMemory);
    return options;
  }

  node::EntryOptions Entry()
  {
    const FlagValues& values = m_values;
    node::EntryOptions options;
    options.instance_id =
      core::InstanceId(m_check.Name("instance_id", values.instance_id));
    options.data_centre =
      core::DataCentreId(m_check.Name("data_centre", values.data_centre));
    options.caller_address = m_check.Authority("callers", values.callers, true);
    options.ready_address = m_check.Authority("ready", values.ready, true);
    options.metrics_address =
      m_check.Authority("metrics", values.metrics, false);
    options.table_service =
      m_check.Authority("table_service", values.table_service, true);
    options.relay_address = m_check.Authority("relay", values.relay, false);
    options.relay_seeds =
      m_check.Authorities("relay_seeds", values.relay_seeds);
    options.tunnel_address = m_check.Authority("tunnel", values.tunnel, false);
    options.regions = m_check.Regions("regions", values.regions);
    options.capacity = m_check.NotNegative("capacity", values.capacity);
    options.machine = Machine(node::kDefaultEntryMemory);
    options.repeats.per_request =
      m_check.Share("retry_share", values.retry_share);
    options.hedge_share =
      m_check.Share("hedge_share", values.hedge_share, kMaxHedgeShare);
    options.repeats.fixed =
      m_check.NotNegative("retry_fixed", values.retry_fixed);
    options.repeats.window = std::chrono::seconds(
      m_check.Range("retry_window", values.retry_window, 1, kMaxRetryWindow));
    options.repeats.start_delay = options.repeats.window;
    options.poison.first_quarantine =
      std::chrono::seconds(m_check.Range("first_quarantine",
                                         values.first_quarantine,
                                         kMinQuarantine,
                                         kMaxQuarantine));
    options.stop_grace = std::chrono::seconds(
      m_check.Range("stop_grace", values.stop_grace, 1, kMaxDeadline));
    options.lease_time = std::chrono::milliseconds(
      m_check.Range("lease_time", values.lease_time, 1, kMaxMilliseconds));
    options.weights_time = std::chrono::milliseconds(
      m_check.Range("weights_time", values.weights_time, 1, kMaxMilliseconds));
    // 0 stands for a multiple of the time above; less than that is a mistake.
    options.weights_time_in_all =
      std::chrono::milliseconds(values.weights_time_in_all == 0
                                  ? 0
                                  : m_check.Range("weights_time_in_all",
                                                  values.weights_time_in_all,
                                                  values.weights_time,
                                                  kMaxMilliseconds));
    options.log_config = m_check.ReadableFile("log_config", values.log_config);
    return options;
  }

  /// @param aMostMemory bytes of the machine's memory that are used at most
  /// unless the setting says how many it has.
  core::MachineLimits Machine(std::size_t aMostMemory)
  {
    core::MachineLimits limits = node::ReadMachineLimits();
    limits.memory_bytes = std::min(limits.memory_bytes, aMostMemory);
    if (m_values.memory != 0) {
      limits.memory_bytes =
        kMebibyte *
        m_check.Range("memory", m_values.memory, kMinMemory, kMaxMemory);
    }
    if (m_values.descriptors != 0) {
      limits.descriptors = m_check.Range(
        "descriptors", m_values.descriptors, kMinDescriptors, kMaxDescriptors);
    }
    return limits;
  }

  PlatformOptions Platform()
  {
    PlatformOptions options;
    options.table_service =
      m_check.Authority("table_service", m_values.table_service, true);
    options.object_store =
      m_check.Authority("object_store", m_values.object_store, true);
    return options;
  }

  BaseOptions Base()
  {
    if (!m_values.base.empty() && BaseVersion()) {
      m_check.Add("base", "set beside --base_version", "only one of the two");
    }
    return { m_check.ReadableFile("base", m_values.base), BaseVersion() };
  }

  [[nodiscard]] std::optional<std::uint64_t> BaseVersion() const
  {
    return m_arguments.IsSet("base_version")
             ? std::optional(m_values.base_version)
             : std::nullopt;
  }

  InstancesOptions Instances(bool aRequired)
  {
    InstancesOptions options;
    options.addresses = m_check.Authorities("instances", m_values.instances);
    options.members = m_check.Authority("members", m_values.members, false);
    options.operator_key = m_values.operator_key;
    options.tls = m_check.Tls(
      { {}, {}, { "listen_authority", m_values.listen_authority } });
    if (aRequired && options.addresses.empty() && options.members.empty()) {
      m_check.Add("instances", "not set", "the instances to ask, or --members");
    }
    return options;
  }

  DrainCommand Drain()
  {
    DrainCommand command;
    command.subject = Subject();
    command.platform = Platform();
    command.instances = Instances(false);
    command.author = m_values.author;
    command.deadline_s =
      m_check.Range("deadline", m_values.deadline, 0, kMaxDeadline);
    command.undo = m_values.undo;
    return command;
  }

  /// @return `[KIND:]ID` taken apart; an ID may have colons of its own only
  /// behind a KIND.
  core::StopSubject Subject()
  {
    if (m_arguments.IsGiven("data_centre")) {
      return { core::StopKind::kDataCentre,
               m_check.Name("data_centre", m_values.data_centre) };
    }
    const std::size_t colon = m_argument.find(':');
    if (colon == std::string::npos) {
      return { core::StopKind::kTarget, m_argument };
    }
    const auto kind = core::ParseStopKind(m_argument.substr(0, colon));
    if (!kind) {
      m_check.AddArgument("unknown kind '" + m_argument.substr(0, colon) + "'",
                          "target, store, service, instance or data_centre");
    }
    return { kind.value_or(core::StopKind::kTarget),
             m_argument.substr(colon + 1) };
  }

  const Arguments& m_arguments;
  const FlagValues& m_values;
  std::string m_argument;
  SettingsCheck m_check;
};

core::Finding
ArgumentFinding(std::string aMessage, std::string aExpected)
{
  return { core::Place{ "arguments", 0, 0 },
           std::move(aMessage),
           std::move(aExpected) };
}

std::string
CommandNames()
{
  std::string names;
  for (const CommandSpec& spec : CommandSpecs()) {
    names += (names.empty() ? "" : ", ") + std::string(spec.name);
  }
  return names;
}

/// Flags on the command line that the command does not take. Those of the
/// environment may be there for other commands.
void
CheckFlags(const CommandSpec& aSpec,
           const Arguments& aArguments,
           core::Findings& aFindings)
{
  for (const auto& [flag, source] : aArguments.sources) {
    const bool is_known =
      std::find(aSpec.flags.begin(), aSpec.flags.end(), flag) !=
      aSpec.flags.end();
    if (source == FlagSource::kCommandLine && !is_known) {
      aFindings.push_back(
        { aArguments.PlaceOf(flag),
          "no flag of " + std::string(aSpec.name),
          "one that `jujubehead help " + std::string(aSpec.name) + "` lists" });
    }
  }
}

void
CheckWords(const CommandSpec& aSpec,
           const Arguments& aArguments,
           core::Findings& aFindings)
{
  const std::string usage = "jujubehead " + std::string(aSpec.name) +
                            (aSpec.argument.empty() ? "" : " ") +
                            std::string(aSpec.argument);
  // The environment's data centre is an instance's; only a flag names the one
  // to drain.
  const bool is_data_centre_stop =
    aSpec.name == "drain" && aArguments.IsGiven("data_centre");
  const bool may_have = !aSpec.argument.empty() && !is_data_centre_stop;
  const bool must_have = may_have && aSpec.name != "help";
  const std::size_t given = aArguments.words.size() - 1;
  if (must_have && given == 0) {
    aFindings.push_back(ArgumentFinding(
      "no " + std::string(aSpec.argument) + " is given", usage));
  } else if (given > (may_have ? 1U : 0U)) {
    aFindings.push_back(
      ArgumentFinding("'" + aArguments.words.back() + "' is too much", usage));
  }
}

bool
AsksForHelp(const std::string& aArgument)
{
  return aArgument == "--help" || aArgument == "-help" || aArgument == "-h";
}

/// @return the help that is asked for, wherever `--help` stands.
std::optional<Command>
HelpOf(std::span<const std::string> aArguments)
{
  const bool asks =
    std::find_if(aArguments.begin(), aArguments.end(), AsksForHelp) !=
    aArguments.end();
  if (!asks && !aArguments.empty()) {
    return std::nullopt;
  }
  for (const std::string& argument : aArguments) {
    if (FindCommandSpec(argument) != nullptr) {
      return HelpCommand{ argument };
    }
  }
  return HelpCommand{};
}

/// Environment findings count only for flags that the command takes.
bool
Concerns(const core::Finding& aFinding, const CommandSpec& aSpec)
{
  if (!aFinding.place.file.starts_with("environment:")) {
    return true;
  }
  const std::string variable =
    aFinding.place.file.substr(std::string("environment:").size());
  return std::any_of(
    aSpec.flags.begin(), aSpec.flags.end(), [&](std::string_view aFlag) {
      return VariableOfFlag(aFlag) == variable;
    });
}

} // namespace

core::Checked<Command>
ReadCommandLine(std::span<const std::string> aArguments,
                const Environment& aEnvironment)
{
  if (auto help = HelpOf(aArguments)) {
    return std::move(*help);
  }
  Arguments arguments = ParseArguments(aArguments, aEnvironment);
  if (arguments.words.empty()) {
    arguments.findings.push_back(
      ArgumentFinding("no command is given", CommandNames()));
    return std::move(arguments.findings);
  }
  const CommandSpec* spec = FindCommandSpec(arguments.words.front());
  if (spec == nullptr) {
    return core::Findings{ ArgumentFinding(
      "unknown command '" + arguments.words.front() + "'", CommandNames()) };
  }
  core::Findings findings;
  CheckWords(*spec, arguments, findings);
  for (const core::Finding& finding : arguments.findings) {
    if (Concerns(finding, *spec)) {
      findings.push_back(finding);
    }
  }
  CheckFlags(*spec, arguments, findings);
  Builder builder(arguments,
                  arguments.words.size() > 1 ? arguments.words[1] : "");
  Command command = builder.Build(spec->name);
  findings.insert(
    findings.end(), builder.Found().begin(), builder.Found().end());
  if (!findings.empty()) {
    return findings;
  }
  return command;
}

} // namespace jujubehead::app
