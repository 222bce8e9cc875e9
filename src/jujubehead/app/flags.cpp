#include "flags.hpp"

#include <algorithm> // for replace, transform
#include <cctype>    // for toupper
#include <utility>   // for move

#include <gflags/gflags.h> // for DEFINE_string, SetCommandLineOption

#include "jujubehead/node/serve_options.hpp" // for ServeOptions

// The macros of gflags make the names.
// NOLINTBEGIN(readability-identifier-naming)
DEFINE_string(instance_id, "", "name of this instance, unique over all");
DEFINE_string(data_centre, "", "data centre of this instance");
DEFINE_string(listen_address,
              "127.0.0.1",
              "IP number to listen on for callers and operators");
DEFINE_uint32(listen_port, 0, "port for callers; 0: the system picks one");
DEFINE_string(peer_address,
              "127.0.0.1",
              "IP number to listen on for other instances");
DEFINE_uint32(peer_port, 0, "port for instances; 0: the system picks one");
DEFINE_string(members, "", "membership list of the platform, as ip:port");
DEFINE_string(table_service, "", "table service of the platform, as ip:port");
DEFINE_string(object_store, "", "object store of the platform, as ip:port");
DEFINE_string(peer_secret, "", "secret that all instances share");
DEFINE_string(peer_secret_file,
              "",
              "file with that secret, instead of --peer_secret");
DEFINE_string(listen_certificate,
              "",
              "certificate chain for TLS with callers, PEM; empty: plain");
DEFINE_string(listen_key, "", "private key of --listen_certificate, PEM");
DEFINE_string(listen_authority,
              "",
              "who signs the instances' certificates, PEM; empty: plain");
DEFINE_string(peer_certificate,
              "",
              "certificate chain for TLS between instances, PEM; empty: plain");
DEFINE_string(peer_key, "", "private key of --peer_certificate, PEM");
DEFINE_string(peer_authority,
              "",
              "who signs the other instances' certificates, PEM");
DEFINE_uint32(traffic_threads, 1, "threads that carry callers' traffic");
DEFINE_string(ready_file,
              "",
              "file to write the ports into once they are bound");
DEFINE_string(log_config,
              "",
              "log4cxx property file; empty: lines go to stderr");
DEFINE_string(operator_key, "", "bearer key of operators' pages");
DEFINE_string(author, "", "who makes the change; default: the login name");
DEFINE_string(base,
              "",
              "the table as it was before the edit, as a file: only rows that "
              "differ from it are changed");
DEFINE_uint64(base_version,
              0,
              "the version in force that the table was made from: only rows "
              "that differ from it are changed");
DEFINE_string(instances,
              "",
              "instances to ask, as ip:port,ip:port; default: those of the "
              "membership list");
DEFINE_uint32(deadline,
              0,
              "seconds until the planned stop should be over; 0: none");
DEFINE_string(callers, "", "where to listen for callers, as ip:port");
DEFINE_string(ready, "", "where to tell a balancer of readiness, as ip:port");
DEFINE_string(metrics, "", "where to show metrics, as ip:port; empty: nowhere");
DEFINE_string(relay,
              "",
              "where other instances reach the store through this one, as "
              "ip:port; empty: nowhere");
DEFINE_string(tunnel,
              "",
              "where other instances reach targets through this one, as "
              "ip:port; empty: nowhere");
DEFINE_string(relay_seeds,
              "",
              "instances to ask while the store is away, as ip:port,ip:port");
DEFINE_string(regions,
              "",
              "the region of each data centre, as "
              "DATA_CENTRE=REGION,DATA_CENTRE=REGION; needed where routes or "
              "client accounts are bound to regions");
DEFINE_double(capacity,
              0,
              "what this machine can bear against those of other instances, "
              "as its share of a core; instances with half of the most or "
              "more watch for the others; 0: not told");
DEFINE_uint32(memory,
              0,
              "MiB of memory that this machine has for the instance; what is "
              "held for callers is bounded by it; 0: the machine's, at most "
              "256 for entry and 1024 for serve");
DEFINE_uint32(descriptors,
              0,
              "files and sockets that the instance may have open; the "
              "connections of callers are bounded by it; 0: the limit of the "
              "process");
DEFINE_double(retry_share,
              0.1,
              "requests sent once more, to one service, as a share of its "
              "requests; of all instances together");
DEFINE_double(retry_fixed,
              10,
              "requests sent once more that are allowed besides, in "
              "--retry_window, of all instances together");
DEFINE_double(hedge_share,
              0,
              "requests that are sent to a second target when the first one is "
              "slower than nearly all, as a share of all requests, at most "
              "0.2; 0: none");
DEFINE_uint32(retry_window, 10, "seconds over which the retries are counted");
DEFINE_uint32(first_quarantine,
              60,
              "seconds for which a request that crashed three targets is not "
              "sent to any; later ones are longer");
DEFINE_uint32(stop_grace, 8, "seconds from SIGTERM to the end at the latest");
DEFINE_uint32(lease_time,
              3000,
              "milliseconds that orders of two instances keep apart");
DEFINE_uint32(weights_time,
              10000,
              "milliseconds after which no request may begin on replaced "
              "weights, while the table service is heard");
DEFINE_uint32(weights_time_in_all,
              0,
              "the same, its absences left out; 0: 1.4 times --weights_time");
DEFINE_bool(undo, false, "take the planned stop back");
DEFINE_bool(json, false, "answer as JSON");
// NOLINTEND(readability-identifier-naming)

namespace jujubehead::app {
namespace {

constexpr std::string_view kVariablePrefix = "JUJUBEHEAD_";

/// @return the flag, if it is one of ours and not of the library.
std::optional<gflags::CommandLineFlagInfo>
InfoOf(const std::string& aName)
{
  gflags::CommandLineFlagInfo info;
  const bool is_ours =
    gflags::GetCommandLineFlagInfo(aName.c_str(), &info) &&
    std::string_view(info.filename) == std::string_view(__FILE__);
  return is_ours ? std::optional(info) : std::nullopt;
}

std::vector<std::string>
OurFlags()
{
  std::vector<gflags::CommandLineFlagInfo> all;
  gflags::GetAllFlags(&all);
  std::vector<std::string> names;
  for (const gflags::CommandLineFlagInfo& info : all) {
    if (std::string_view(info.filename) == std::string_view(__FILE__)) {
      names.push_back(info.name);
    }
  }
  return names;
}

std::string
ExpectedOf(std::string_view aType)
{
  if (aType == "bool") {
    return "true or false";
  }
  if (aType == "double") {
    return "a number from 0";
  }
  return aType == "string" ? "text" : "a whole number from 0";
}

FlagValues
ValuesNow()
{
  FlagValues values;
  values.instance_id = FLAGS_instance_id;
  values.data_centre = FLAGS_data_centre;
  values.listen_address = FLAGS_listen_address;
  values.listen_port = FLAGS_listen_port;
  values.peer_address = FLAGS_peer_address;
  values.peer_port = FLAGS_peer_port;
  values.members = FLAGS_members;
  values.table_service = FLAGS_table_service;
  values.object_store = FLAGS_object_store;
  values.peer_secret = FLAGS_peer_secret;
  values.peer_secret_file = FLAGS_peer_secret_file;
  values.listen_certificate = FLAGS_listen_certificate;
  values.listen_key = FLAGS_listen_key;
  values.listen_authority = FLAGS_listen_authority;
  values.peer_certificate = FLAGS_peer_certificate;
  values.peer_key = FLAGS_peer_key;
  values.peer_authority = FLAGS_peer_authority;
  values.traffic_threads = FLAGS_traffic_threads;
  values.ready_file = FLAGS_ready_file;
  values.log_config = FLAGS_log_config;
  values.operator_key = FLAGS_operator_key;
  values.author = FLAGS_author;
  values.base = FLAGS_base;
  values.base_version = FLAGS_base_version;
  values.instances = FLAGS_instances;
  values.deadline = FLAGS_deadline;
  values.callers = FLAGS_callers;
  values.ready = FLAGS_ready;
  values.metrics = FLAGS_metrics;
  values.relay = FLAGS_relay;
  values.relay_seeds = FLAGS_relay_seeds;
  values.tunnel = FLAGS_tunnel;
  values.regions = FLAGS_regions;
  values.capacity = FLAGS_capacity;
  values.memory = FLAGS_memory;
  values.descriptors = FLAGS_descriptors;
  values.retry_share = FLAGS_retry_share;
  values.hedge_share = FLAGS_hedge_share;
  values.retry_fixed = FLAGS_retry_fixed;
  values.retry_window = FLAGS_retry_window;
  values.first_quarantine = FLAGS_first_quarantine;
  values.stop_grace = FLAGS_stop_grace;
  values.lease_time = FLAGS_lease_time;
  values.weights_time = FLAGS_weights_time;
  values.weights_time_in_all = FLAGS_weights_time_in_all;
  values.undo = FLAGS_undo;
  values.json = FLAGS_json;
  return values;
}

class Parser
{
public:
  Parser(std::span<const std::string> aArguments,
         const Environment& aEnvironment)
    : m_left(aArguments)
    , m_environment(aEnvironment)
  {
  }

  Arguments Run()
  {
    const gflags::FlagSaver restores_at_the_end;
    while (!m_left.empty()) {
      ReadNext();
    }
    ReadEnvironment();
    m_result.values = ValuesNow();
    return std::move(m_result);
  }

private:
  std::string Take()
  {
    std::string taken = m_left.front();
    m_left = m_left.subspan(1);
    return taken;
  }

  void ReadNext()
  {
    const std::string argument = Take();
    if (argument == "--") {
      m_result.words.insert(m_result.words.end(), m_left.begin(), m_left.end());
      m_left = {};
    } else if (argument.size() < 2 || argument.front() != '-') {
      m_result.words.push_back(argument);
    } else {
      ReadFlag(argument.substr(argument[1] == '-' ? 2 : 1));
    }
  }

  void ReadFlag(const std::string& aText)
  {
    const std::size_t equals = aText.find('=');
    std::string name = aText.substr(0, equals);
    std::replace(name.begin(), name.end(), '-', '_');
    if (equals != std::string::npos) {
      Set(name, aText.substr(equals + 1));
    } else if (name.starts_with("no") && IsSwitch(name.substr(2))) {
      Set(name.substr(2), "false");
    } else if (IsSwitch(name)) {
      Set(name, "true");
    } else if (InfoOf(name) && m_left.empty()) {
      Add("flags:--" + name, "no value", "--" + name + "=VALUE");
    } else {
      Set(name, InfoOf(name) ? Take() : std::string());
    }
  }

  static bool IsSwitch(const std::string& aName)
  {
    const auto info = InfoOf(aName);
    return info && info->type == "bool";
  }

  void Set(const std::string& aName, const std::string& aValue)
  {
    const std::string place = "flags:--" + aName;
    const auto info = InfoOf(aName);
    if (!info) {
      Add(place, "unknown flag", "a flag that `jujubehead help` lists");
    } else if (m_result.sources.contains(aName)) {
      Add(place, "the flag is given twice", "it once");
    } else {
      SetValue(*info, aValue, place);
      m_result.sources[aName] = FlagSource::kCommandLine;
    }
  }

  void SetValue(const gflags::CommandLineFlagInfo& aInfo,
                const std::string& aValue,
                const std::string& aPlace)
  {
    if (gflags::SetCommandLineOption(aInfo.name.c_str(), aValue.c_str())
          .empty()) {
      Add(aPlace, "'" + aValue + "'", ExpectedOf(aInfo.type));
    }
  }

  void ReadEnvironment()
  {
    for (const std::string& name : OurFlags()) {
      const std::string variable = VariableOfFlag(name);
      const char* value = m_environment(variable.c_str());
      if (value == nullptr || m_result.sources.contains(name)) {
        continue;
      }
      m_result.sources[name] = FlagSource::kEnvironment;
      SetValue(*InfoOf(name), value, "environment:" + variable);
    }
  }

  void Add(std::string aPlace, std::string aMessage, std::string aExpected)
  {
    m_result.findings.push_back({ core::Place{ std::move(aPlace), 0, 0 },
                                  std::move(aMessage),
                                  std::move(aExpected) });
  }

  std::span<const std::string> m_left;
  const Environment& m_environment;
  Arguments m_result;
};

} // namespace

core::Place
Arguments::PlaceOf(std::string_view aFlag) const
{
  const auto source = sources.find(aFlag);
  const bool is_variable =
    source != sources.end() && source->second == FlagSource::kEnvironment;
  return { is_variable ? "environment:" + VariableOfFlag(aFlag)
                       : "flags:--" + std::string(aFlag),
           0,
           0 };
}

bool
Arguments::IsSet(std::string_view aFlag) const
{
  return sources.contains(aFlag);
}

bool
Arguments::IsGiven(std::string_view aFlag) const
{
  const auto source = sources.find(aFlag);
  return source != sources.end() && source->second == FlagSource::kCommandLine;
}

Arguments
ParseArguments(std::span<const std::string> aArguments,
               const Environment& aEnvironment)
{
  return Parser(aArguments, aEnvironment).Run();
}

std::optional<FlagHelp>
HelpOfFlag(const std::string& aName)
{
  const auto info = InfoOf(aName);
  if (!info) {
    return std::nullopt;
  }
  return FlagHelp{
    info->name, info->type, info->description, info->default_value
  };
}

std::string
VariableOfFlag(std::string_view aFlag)
{
  std::string name(kVariablePrefix);
  for (const char letter : aFlag) {
    name += static_cast<char>(std::toupper(static_cast<unsigned char>(letter)));
  }
  return name;
}

} // namespace jujubehead::app
