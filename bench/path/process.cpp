#include "bench/path/process.hpp"

#include <fstream>   // for ifstream
#include <sstream>   // for istringstream
#include <stdexcept> // for runtime_error
#include <string>    // for string

#include <unistd.h> // for sysconf

namespace jujubehead::bench {
namespace {

constexpr double kBytesPerKib = 1024;
// Fields of /proc/PID/stat between the name and the user time.
constexpr int kFieldsBeforeTimes = 11;

std::string
ReadProc(int aPid, const char* aFile)
{
  std::ifstream file("/proc/" + std::to_string(aPid) + '/' + aFile);
  std::string line;
  if (!std::getline(file, line)) {
    throw std::runtime_error("no process " + std::to_string(aPid));
  }
  return line;
}

} // namespace

double
ResidentKib(int aPid)
{
  std::istringstream fields(ReadProc(aPid, "statm"));
  double size = 0;
  double resident = 0;
  fields >> size >> resident;
  return resident * static_cast<double>(sysconf(_SC_PAGESIZE)) / kBytesPerKib;
}

double
ProcessorSeconds(int aPid)
{
  const std::string line = ReadProc(aPid, "stat");
  std::istringstream fields(line.substr(line.rfind(')') + 1));
  std::string skipped;
  for (int i = 0; i < kFieldsBeforeTimes; ++i) {
    fields >> skipped;
  }
  double user = 0;
  double system = 0;
  fields >> user >> system;
  return (user + system) / static_cast<double>(sysconf(_SC_CLK_TCK));
}

} // namespace jujubehead::bench
