#include "command_line.hpp"

#include <cstdio>  // for remove
#include <fstream> // for ofstream
#include <map>     // for map

#include <CppUTest/TestHarness.h> // for TEST

using namespace jujubehead::app;
using jujubehead::core::Render;
using jujubehead::core::StopKind;

TEST_GROUP(CommandLine)
{
  std::map<std::string, std::string> variables;

  jujubehead::core::Checked<Command> Read(
    const std::vector<std::string>& aArguments) const
  {
    return ReadCommandLine(aArguments, [this](const char* aName) {
      const auto found = variables.find(aName);
      return found == variables.end() ? nullptr : found->second.c_str();
    });
  }
  std::string FindingsOf(const std::vector<std::string>& aArguments) const
  {
    const auto command = Read(aArguments);
    return command.has_error() ? Render(command.error()) : std::string();
  }
  template<typename T>
  T As(const std::vector<std::string>& aArguments) const
  {
    return std::get<T>(Read(aArguments).value());
  }
  static std::vector<std::string> Drain(std::vector<std::string> aArguments)
  {
    aArguments.insert(aArguments.begin(), "drain");
    aArguments.push_back("--table_service=127.0.0.1:2");
    aArguments.push_back("--object_store=127.0.0.1:3");
    return aArguments;
  }
  static std::vector<std::string> Serve()
  {
    return { "serve",
             "--instance_id=i1",
             "--data_centre=d1",
             "--members=127.0.0.1:1",
             "--table_service=127.0.0.1:2",
             "--object_store=[::1]:3",
             "--peer_secret=0123456789abcdef" };
  }
};

TEST(CommandLine, ServeTakesFlagsAndVariables)
{
  variables = { { "JUJUBEHEAD_LISTEN_PORT", "8080" },
                { "JUJUBEHEAD_TRAFFIC_THREADS", "3" },
                { "JUJUBEHEAD_DATA_CENTRE", "other" },
                { "JUJUBEHEAD_URL", "http://127.0.0.1" } };
  auto arguments = Serve();
  arguments.insert(arguments.end(), { "--traffic_threads", "4" });
  const auto options = As<ServeCommand>(arguments).options;
  CHECK_EQUAL(std::string("i1"), options.instance_id.Text());
  CHECK_EQUAL(std::string("d1"), options.data_centre.Text());
  CHECK_EQUAL(8080, options.listen_port);
  CHECK_EQUAL(4U, options.traffic_threads);
  CHECK_EQUAL(std::string("127.0.0.1"), options.peer_address);
}

// FleetShare divides it by the instances.
TEST(CommandLine, FixedRetriesAreThoseOfAllInstances)
{
  const auto options = As<EntryCommand>({ "entry",
                                          "--instance_id=i1",
                                          "--data_centre=d1",
                                          "--callers=127.0.0.1:1",
                                          "--ready=127.0.0.1:2",
                                          "--table_service=127.0.0.1:3",
                                          "--retry_share=0.2",
                                          "--hedge_share=0.05",
                                          "--retry_fixed=188" })
                         .options;
  DOUBLES_EQUAL(188, options.repeats.fixed, 1e-9);
  DOUBLES_EQUAL(0.2, options.repeats.per_request, 1e-9);
  DOUBLES_EQUAL(0.05, options.hedge_share, 1e-9);
}

TEST(CommandLine, WrongSettingsOfAnEntryInstanceComeTogether)
{
  const std::string findings = FindingsOf({ "entry",
                                            "--instance_id=i1",
                                            "--callers=here",
                                            "--retry_share=1.5",
                                            "--retry_fixed=-1",
                                            "--hedge_share=0.3",
                                            "--retry_window=0",
                                            "--first_quarantine=1" });
  for (const char* flag : { "--data_centre",
                            "--callers",
                            "--ready",
                            "--table_service",
                            "--retry_share",
                            "--retry_fixed",
                            "--hedge_share",
                            "--retry_window",
                            "--first_quarantine" }) {
    CHECK_TEXT(findings.find(flag) != std::string::npos, flag);
  }
}

TEST(CommandLine, FlagsOfOneReadingDoNotLeakIntoTheNext)
{
  As<StatusCommand>({ "status", "--instances=127.0.0.1:1", "--json" });
  CHECK_FALSE(As<StatusCommand>({ "status", "--instances=127.0.0.1:1" }).json);
}

TEST(CommandLine, AllFindingsComeTogetherWithTheirPlaces)
{
  variables = { { "JUJUBEHEAD_LISTEN_PORT", "70000" },
                { "JUJUBEHEAD_TRAFFIC_THREADS", "many" },
                { "JUJUBEHEAD_DEADLINE", "never" } };
  const std::string expected =
    "flags:--speed: unknown flag (expected a flag that `jujubehead help` "
    "lists)\n"
    "environment:JUJUBEHEAD_TRAFFIC_THREADS: 'many' (expected a whole number "
    "from 0)\n"
    "flags:--json: no flag of serve (expected one that `jujubehead help "
    "serve` lists)\n"
    "flags:--instance_id: 'a b' (expected 1 to 64 of the letters a-z A-Z 0-9 "
    "- _ .)\n"
    "flags:--data_centre: not set (expected the flag or "
    "JUJUBEHEAD_DATA_CENTRE)\n"
    "flags:--listen_address: 'here' (expected an IP number such as "
    "127.0.0.1)\n"
    "environment:JUJUBEHEAD_LISTEN_PORT: '70000' (expected a whole number "
    "from 0 to 65535)\n"
    "flags:--members: 'localhost:1' (expected an IP number and a port such as "
    "127.0.0.1:7000)\n"
    "flags:--table_service: not set (expected the flag or "
    "JUJUBEHEAD_TABLE_SERVICE)\n"
    "flags:--object_store: '127.0.0.1' (expected an IP number and a port such "
    "as 127.0.0.1:7000)\n"
    "flags:--peer_secret: the secret has 5 letters (expected at least 16)\n";
  STRCMP_EQUAL(expected.c_str(),
               FindingsOf({ "serve",
                            "--speed=9",
                            "--json",
                            "--instance_id=a b",
                            "--listen_address=here",
                            "--members=localhost:1",
                            "--object_store=127.0.0.1",
                            "--peer_secret=short" })
                 .c_str());
}

TEST(CommandLine, TheSecretMayStandInAFile)
{
  const std::string file = "command_line_test_secret";
  std::ofstream(file) << "fedcba9876543210\n";
  auto arguments = Serve();
  arguments.back() = "--peer_secret_file=" + file;
  CHECK_EQUAL(std::string("fedcba9876543210"),
              As<ServeCommand>(arguments).options.peer_secret);
  arguments.push_back("--peer_secret=0123456789abcdef");
  CHECK(FindingsOf(arguments).starts_with("flags:--peer_secret: set beside"));
  std::remove(file.c_str());
  arguments.pop_back();
  CHECK(FindingsOf(arguments).find("cannot be read") != std::string::npos);
}

TEST(CommandLine, DrainNamesItsKind)
{
  const auto target = As<DrainCommand>(Drain({ "t1", "--deadline=60" }));
  CHECK(target.subject.kind == StopKind::kTarget);
  CHECK_EQUAL(60U, target.deadline_s);
  const auto instance = As<DrainCommand>(Drain({ "instance:i1", "--undo" }));
  CHECK(instance.subject.kind == StopKind::kInstance);
  CHECK_EQUAL(std::string("i1"), instance.subject.id);
  CHECK(instance.undo);
  CHECK(FindingsOf(Drain({ "rack:7" }))
          .starts_with("arguments: unknown kind 'rack'"));
}

TEST(CommandLine, DrainTakesADataCentreByFlagOrKind)
{
  for (const char* argument : { "data_centre:kochi-1",
                                "--data_centre=kochi-1",
                                "--data-centre=kochi-1" }) {
    const auto command = As<DrainCommand>(Drain({ argument }));
    CHECK(command.subject.kind == StopKind::kDataCentre);
    CHECK_EQUAL(std::string("kochi-1"), command.subject.id);
  }
  CHECK(FindingsOf(Drain({ "t1", "--data_centre=kochi-1" }))
          .find("'t1' is too much") != std::string::npos);
  // The environment's data centre, of an instance, is not the one to drain.
  variables["JUJUBEHEAD_DATA_CENTRE"] = "kochi-1";
  CHECK(FindingsOf(Drain({})).find("[KIND:]ID is given") != std::string::npos);
}

TEST(CommandLine, RegionsAreParsed)
{
  const auto entry = [](const std::string& aRegions) {
    return std::vector<std::string>{ "entry",
                                     "--instance_id=i1",
                                     "--data_centre=d1",
                                     "--callers=127.0.0.1:1",
                                     "--ready=127.0.0.1:2",
                                     "--table_service=127.0.0.1:3",
                                     "--regions=" + aRegions };
  };
  const auto options = As<EntryCommand>(entry("d1=north,d2=south")).options;
  CHECK(options.regions.at(jujubehead::core::DataCentreId("d2")) ==
        jujubehead::core::RegionId("south"));
  LONGS_EQUAL(2, options.regions.size());
  for (const char* wrong : { "d1", "d1=", "=north", "d1=north,d1=south" }) {
    CHECK_TEXT(FindingsOf(entry(wrong)).find("--regions") != std::string::npos,
               wrong);
  }
}

TEST(CommandLine, WordsAreChecked)
{
  CHECK(FindingsOf({ "serv" }).starts_with("arguments: unknown command"));
  CHECK(FindingsOf({ "--json" }).find("no command is given") !=
        std::string::npos);
  STRCMP_EQUAL("arguments: no FILE is given (expected jujubehead check FILE)\n",
               FindingsOf({ "check" }).c_str());
  STRCMP_EQUAL("arguments: 'b' is too much (expected jujubehead check FILE)\n",
               FindingsOf({ "check", "a", "b" }).c_str());
  CHECK(FindingsOf({ "status", "--instances" }).find("no value") !=
        std::string::npos);
  CHECK(FindingsOf({ "status", "--json", "--json" }).find("given twice") !=
        std::string::npos);
  CHECK(FindingsOf({ "status" }).find("the instances to ask") !=
        std::string::npos);
}

TEST(CommandLine, HelpIsUnderstoodAnywhere)
{
  CHECK_EQUAL(std::string(), As<HelpCommand>({}).topic);
  CHECK_EQUAL(std::string(), As<HelpCommand>({ "--help" }).topic);
  CHECK_EQUAL(std::string("apply"),
              As<HelpCommand>({ "apply", "x", "--help" }).topic);
  CHECK_EQUAL(std::string("drain"), As<HelpCommand>({ "help", "drain" }).topic);
}

TEST(CommandLine, FilesOfTlsAreSetTogetherAndRead)
{
  CHECK(As<ServeCommand>(Serve()).options.caller_tls == nullptr);
  auto half = Serve();
  half.emplace_back("--peer_key=/no/key");
  CHECK_EQUAL(
    std::string("flags:--peer_certificate: not set (expected a PEM file, as "
                "the flags beside it are set)\n"
                "flags:--peer_authority: not set (expected a PEM file, as the "
                "flags beside it are set)\n"),
    FindingsOf(half));
  auto absent = Serve();
  absent.insert(absent.end(),
                { "--listen_certificate=/no/chain", "--listen_key=/no/key" });
  const std::string findings = FindingsOf(absent);
  CHECK(findings.starts_with("/no/chain: "));
  CHECK(findings.find("\n/no/key: ") != std::string::npos);
}
