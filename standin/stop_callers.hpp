#ifndef JUJUBEHEAD_STANDIN_STOP_CALLERS_HPP
#define JUJUBEHEAD_STANDIN_STOP_CALLERS_HPP

#include <chrono>   // for milliseconds, steady_clock
#include <cstddef>  // for size_t
#include <cstdint>  // for uint8_t, uint64_t
#include <iosfwd>   // for ostream
#include <optional> // for optional
#include <random>   // for mt19937_64
#include <string>   // for string

#include <boost/asio/awaitable.hpp>  // for awaitable
#include <boost/asio/io_context.hpp> // for io_context
#include <boost/asio/ip/tcp.hpp>     // for tcp

namespace jujubehead::standin {

/// @brief Whom callers call while it is stopped.
struct StopCallersOptions
{
  std::string instance; ///< `ip:port`.
  int pid = 0;          ///< Its process; gets SIGTERM.
  /// From the begin of the calls to SIGTERM.
  std::chrono::milliseconds warm_up{ 8000 };
  /// From SIGTERM to the end of the callers: longer than the process lives.
  std::chrono::milliseconds grace{ 9500 };
  std::size_t callers = 4; ///< Of each kind and manner.
  std::uint64_t seed = 1;
  std::string id_prefix = "r"; ///< Of the requests' ids.
};

/// @brief Callers of an instance that gets SIGTERM, until its process is gone.
///
/// They call `/chat/x` (streams), `/calls/x` (may repeat) and `/once/x` (may
/// not) at host `a.example`, each on kept connections, on a new one for each
/// request, with bodies in chunks, and after a wait on an open connection.
class StopCallers
{
public:
  /// @param aLog gets a line for each request: `call`, id, kind, manner, times
  /// of its first byte, of its last byte and of its end in milliseconds after
  /// SIGTERM (- for a time that did not come), status (0: none), and how it
  /// ended: `whole`, `reset` or `eof`.
  StopCallers(boost::asio::io_context& aContext,
              StopCallersOptions aOptions,
              std::ostream& aLog);

  /// @brief Runs until the callers are done. Then the context has no work.
  void Start();

private:
  using Clock = std::chrono::steady_clock;

  enum class Manner : std::uint8_t
  {
    kKept,
    kNew,
    kChunks,
    kWaiting,
  };

  struct Caller
  {
    std::string kind; ///< Also the first segment of the path.
    Manner manner = Manner::kKept;
    std::mt19937_64 random;
    std::string received; ///< Behind the last reply.
  };

  struct Result
  {
    long first_ms = 0;
    std::optional<long> last_ms;
    unsigned status = 0;
    std::string end;
    bool keeps_alive = false;
  };

  boost::asio::awaitable<void> Stop();
  boost::asio::awaitable<void> RunCaller(Caller aCaller);
  boost::asio::awaitable<bool> Connect(boost::asio::ip::tcp::socket& aSocket);
  boost::asio::awaitable<Result> Call(boost::asio::ip::tcp::socket& aSocket,
                                      Caller& aCaller,
                                      std::string aId);
  boost::asio::awaitable<bool> Send(boost::asio::ip::tcp::socket& aSocket,
                                    Caller& aCaller,
                                    std::string aHead);
  boost::asio::awaitable<void> ReadReply(boost::asio::ip::tcp::socket& aSocket,
                                         Caller& aCaller,
                                         Result& aResult);
  [[nodiscard]] long Now() const; ///< Milliseconds after SIGTERM.
  [[nodiscard]] bool IsOver() const;

  boost::asio::io_context& m_context;
  StopCallersOptions m_options;
  std::ostream& m_log;
  Clock::time_point m_stop_at;
  std::uint64_t m_last_id = 0;
};

} // namespace jujubehead::standin

#endif // JUJUBEHEAD_STANDIN_STOP_CALLERS_HPP
