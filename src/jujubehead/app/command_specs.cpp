#include "command_specs.hpp"

#include <algorithm> // for find_if

namespace jujubehead::app {
namespace {

const std::vector<CommandSpec>&
AllSpecs()
{
  static const std::vector<CommandSpec> kSpecs = {
    { "serve",
      "",
      "run an instance",
      "Runs until SIGTERM or SIGINT, then takes no new request, lets the open\n"
      "ones finish and ends. Every instance is the same; start as many as are\n"
      "needed.",
      { "instance_id",    "data_centre",      "listen_address",
        "listen_port",    "peer_address",     "peer_port",
        "members",        "table_service",    "object_store",
        "peer_secret",    "peer_secret_file", "listen_certificate",
        "listen_key",     "peer_certificate", "peer_key",
        "peer_authority", "traffic_threads",  "ready_file",
        "log_config",     "operator_key",     "memory",
        "descriptors" },
      { "jujubehead serve --instance_id=i1 --data_centre=kochi-1 "
        "--listen_port=8080 --peer_port=8081 --members=10.0.0.1:7000 "
        "--table_service=10.0.0.1:7001 --object_store=10.0.0.1:7002 "
        "--peer_secret_file=/etc/jujubehead/peer_secret" } },
    { "entry",
      "",
      "run an instance on the operators' platform",
      "Forwards callers' requests to the targets that are registered in the\n"
      "platform's store, by the routes that the operators wrote there. Runs\n"
      "until SIGTERM or SIGINT, then tells the balancer so, lets the open\n"
      "requests finish and ends. Every instance is the same and keeps nothing.",
      { "instance_id", "data_centre",   "callers",      "ready",
        "metrics",     "table_service", "relay",        "relay_seeds",
        "tunnel",      "regions",       "capacity",     "retry_share",
        "hedge_share", "retry_fixed",   "retry_window", "first_quarantine",
        "stop_grace",  "lease_time",    "weights_time", "weights_time_in_all",
        "log_config",  "memory",        "descriptors" },
      { "jujubehead entry --instance_id=i1 --data_centre=kochi-1 "
        "--callers=10.0.0.5:8080 --ready=10.0.0.5:8081 "
        "--table_service=10.0.0.1:7001" } },
    { "check",
      "FILE",
      "check a table without asking anyone",
      "Prints every finding with its row and column and what was expected.\n"
      "Fit for a CI job: needs no platform, changes nothing.",
      {},
      { "jujubehead check table.csv" } },
    { "plan",
      "FILE",
      "show what a table would change",
      "Compares with the table in force and prints added (+), removed (-) and\n"
      "changed (~) rows with what becomes of the accounts' shares. Changes\n"
      "nothing. Give it the same --base or --base_version as apply.",
      { "table_service", "object_store", "base", "base_version" },
      { "jujubehead plan table.csv",
        "git show HEAD~1:table.csv >before.csv && jujubehead plan table.csv "
        "--base=before.csv" } },
    { "apply",
      "FILE",
      "bring a table in force",
      "Writes the rows that differ, all at once or none. Rows that others\n"
      "changed meanwhile are kept, unless the table changes them too: then\n"
      "nothing is written and each such row is named. So that it can tell, "
      "the\n"
      "command needs what the table was made from, once one is in force: the\n"
      "file before the edit, or the version that plan printed. When an answer\n"
      "of the table service is lost, running the same command again settles "
      "it.",
      { "table_service", "object_store", "base", "base_version", "author" },
      { "jujubehead apply table.csv --base_version=41",
        "jujubehead apply table.csv --base=before.csv --author=ci" } },
    { "table",
      "",
      "print the table in force",
      "Prints it as the CSV that check, plan and apply read; with\n"
      "--base_version as it was at that version.",
      { "table_service", "object_store", "base_version" },
      { "jujubehead table >table.csv" } },
    { "drain",
      "[KIND:]ID",
      "begin a planned stop of a target, store, service, instance or data "
      "centre",
      "KIND is target (the default), store, service, instance or "
      "data_centre.\n"
      "No new work goes there; what runs is let finish. Waits until nothing\n"
      "runs there any more and says what it waits for. Interrupting it "
      "leaves\n"
      "the stop in place; --undo takes it back. A stop of a data centre "
      "covers\n"
      "all targets, services and stores there, also those that start later;\n"
      "--data_centre=NAME stands for data_centre:NAME.",
      { "table_service",
        "object_store",
        "members",
        "instances",
        "operator_key",
        "listen_authority",
        "author",
        "deadline",
        "data_centre",
        "undo" },
      { "jujubehead drain engine-7 --deadline=600",
        "jujubehead drain --data_centre=kochi-1",
        "jujubehead drain instance:i3",
        "jujubehead drain engine-7 --undo" } },
    { "status",
      "",
      "show what the instances do",
      "Asks each instance's status page and prints one screen.",
      { "instances", "members", "operator_key", "listen_authority", "json" },
      { "jujubehead status --members=10.0.0.1:7000",
        "jujubehead status --instances=10.0.0.5:8080,10.0.0.6:8080 --json" } },
    { "key",
      "ACCOUNT",
      "make a key for a client account",
      "Prints the key, which is kept nowhere, and the key_hash cell for the\n"
      "account's row. Nothing is written.",
      {},
      { "jujubehead key acme" } },
    { "completion",
      "",
      "print the completion script for bash",
      "",
      {},
      { "source <(jujubehead completion)" } },
    { "version", "", "print the version", "", {}, { "jujubehead version" } },
    { "help",
      "[COMMAND]",
      "explain a command",
      "",
      {},
      { "jujubehead help apply" } },
  };
  return kSpecs;
}

} // namespace

std::span<const CommandSpec>
CommandSpecs()
{
  return AllSpecs();
}

const CommandSpec*
FindCommandSpec(std::string_view aName)
{
  const auto& specs = AllSpecs();
  const auto found =
    std::find_if(specs.begin(), specs.end(), [&](const CommandSpec& aSpec) {
      return aSpec.name == aName;
    });
  return found == specs.end() ? nullptr : &*found;
}

} // namespace jujubehead::app
