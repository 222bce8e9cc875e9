#ifndef JUJUBEHEAD_APP_TOOLS_HPP
#define JUJUBEHEAD_APP_TOOLS_HPP

#include <cstdint>    // for int64_t
#include <functional> // for function
#include <iosfwd>     // for ostream
#include <memory>     // for unique_ptr
#include <string>     // for string

#include <boost/asio/io_context.hpp> // for io_context

#include "command.hpp"                  // for PlatformOptions
#include "jujubehead/net/table_log.hpp" // for TableLog, SleepFor

namespace jujubehead::net {
class HttpClient;
} // namespace jujubehead::net

namespace jujubehead::app {

/// @brief The platform as a command uses it, on a context of its own.
class Platform
{
public:
  virtual ~Platform() = default;
  virtual boost::asio::io_context& Context() = 0;
  virtual net::HttpClient& Client() = 0;
  virtual net::TableLog& Log() = 0;
  [[nodiscard]] virtual net::SleepFor Sleeper() = 0;
};

/// @brief What commands need of the world; tests give their own.
struct Tools
{
  std::ostream& out;
  std::ostream& err;
  std::function<std::unique_ptr<Platform>(const PlatformOptions&)> connect;
  std::function<int(const node::ServeOptions&)> serve;
  std::function<int(const node::EntryOptions&)> entry;
  std::string login_name;
  std::function<std::int64_t()> now_ms; ///< Since the epoch.
};

/// @brief Connects by HTTP.
std::unique_ptr<Platform>
ConnectPlatform(const PlatformOptions& aOptions);

} // namespace jujubehead::app

#endif // JUJUBEHEAD_APP_TOOLS_HPP
