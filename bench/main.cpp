#include <exception>   // for exception
#include <iostream>    // for cerr
#include <string_view> // for string_view
#include <vector>      // for vector

#include <gflags/gflags.h> // for ParseCommandLineFlags

#include "bench/benches.hpp" // for the benches

namespace {

using namespace jujubehead::bench;

constexpr int kUsageStatus = 2;
constexpr int kFailedStatus = 1;

struct Bench
{
  std::string_view name;
  int (*run)();
};

// One a line, in order of name.
const std::vector<Bench>&
Benches()
{
  static const std::vector<Bench> kBenches{
    { "agreement", RunAgreement },  { "context", RunContext },
    { "path", RunPathBench },       { "placement", RunPlacementBench },
    { "streams", RunStreamsBench }, { "table", RunTableBench },
  };
  return kBenches;
}

int
Usage()
{
  std::cerr << "usage: jujubehead-bench NAME [flags]; names:";
  for (const Bench& bench : Benches()) {
    std::cerr << ' ' << bench.name;
  }
  std::cerr << '\n';
  return kUsageStatus;
}

} // namespace

int
main(int argc, char** argv)
{
  gflags::ParseCommandLineFlags(&argc, &argv, true);
  const std::string_view name = argc == 2 ? argv[1] : "";
  for (const Bench& bench : Benches()) {
    if (bench.name == name) {
      try {
        return bench.run();
      } catch (const std::exception& error) {
        std::cerr << "jujubehead-bench " << name << ": " << error.what()
                  << '\n';
        return kFailedStatus;
      }
    }
  }
  return Usage();
}
