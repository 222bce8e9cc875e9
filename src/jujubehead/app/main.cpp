#include <chrono>   // for system_clock
#include <cstdlib>  // for getenv
#include <iostream> // for cout, cerr
#include <string>   // for string
#include <vector>   // for vector

#include "command_line.hpp" // for ReadCommandLine
#include "run.hpp"          // for Run

#include "jujubehead/node/entry.hpp"          // for RunEntry
#include "jujubehead/node/serve.hpp"          // for Serve
#include "platform/connect.hpp"               // for Connect
#include "platform/platform_header_codec.hpp" // for PlatformHeaderCodec

namespace {

using namespace jujubehead;

std::string
LoginName()
{
  for (const char* variable : { "LOGNAME", "USER" }) {
    if (const char* name = std::getenv(variable)) {
      return name;
    }
  }
  return "unknown";
}

std::int64_t
NowMs()
{
  return std::chrono::duration_cast<std::chrono::milliseconds>(
           std::chrono::system_clock::now().time_since_epoch())
    .count();
}

int
RunEntry(const node::EntryOptions& aOptions)
{
  const platform::PlatformHeaderCodec header_codec;
  return node::RunEntry(aOptions, header_codec, platform::Connect);
}

} // namespace

int
main(int argc, char* argv[])
{
  const std::vector<std::string> arguments(argv + 1, argv + argc);
  const auto command = app::ReadCommandLine(
    arguments, [](const char* aName) { return std::getenv(aName); });
  if (command.has_error()) {
    std::cerr << core::Render(command.error()) << "see `jujubehead help`\n";
    return static_cast<int>(app::ExitCode::kFindings);
  }
  app::Tools tools{ std::cout,   std::cerr, app::ConnectPlatform,
                    node::Serve, RunEntry,  LoginName(),
                    NowMs };
  return static_cast<int>(app::Run(*command, tools));
}
