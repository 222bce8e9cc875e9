#include <sys/resource.h> // for getrusage

#include <chrono>    // for steady_clock
#include <exception> // for exception_ptr
#include <fstream>   // for ifstream
#include <iostream>  // for cout
#include <memory>    // for make_shared
#include <string>    // for string
#include <thread>    // for jthread
#include <unistd.h>  // for sysconf

#include <boost/asio/co_spawn.hpp>            // for co_spawn
#include <boost/asio/executor_work_guard.hpp> // for make_work_guard
#include <boost/asio/io_context.hpp>          // for io_context
#include <gflags/gflags.h>                    // for DEFINE_int32

#include "bench/benches.hpp" // for RunStreamsBench

#include "jujubehead/net/http_client.hpp" // for HttpClient
#include "jujubehead/net/http_server.hpp" // for HttpServer
#include "jujubehead/net/timer.hpp"       // for Sleep

DEFINE_int32(streams, 500, "streams: how many are open at once");
DEFINE_int32(stream_chunks, 200, "streams: chunks of each stream");
DEFINE_int32(stream_gap_us, 10000, "streams: pause before each chunk");

namespace jujubehead::bench {
namespace {

namespace asio = boost::asio;
using asio::awaitable;

/// About what one token's event of the chat API takes.
constexpr std::size_t kChunkBytes = 200;
constexpr std::size_t kPromptBytes = 2000;
constexpr double kMicroseconds = 1e6;
constexpr double kKib = 1024;

double
ThreadSeconds()
{
  rusage usage{};
  getrusage(RUSAGE_THREAD, &usage);
  const auto seconds = usage.ru_utime.tv_sec + usage.ru_stime.tv_sec;
  const auto rest = usage.ru_utime.tv_usec + usage.ru_stime.tv_usec;
  return static_cast<double>(seconds) +
         static_cast<double>(rest) / kMicroseconds;
}

double
ResidentKib()
{
  std::ifstream statm("/proc/self/statm");
  double whole = 0;
  double resident = 0;
  statm >> whole >> resident;
  return resident * static_cast<double>(sysconf(_SC_PAGESIZE)) / kKib;
}

/// An io_context on a thread of its own, and the time it used.
class Worker
{
public:
  ~Worker() { Stop(); }
  Worker() = default;
  Worker(const Worker&) = delete;
  Worker& operator=(const Worker&) = delete;
  Worker(Worker&&) = delete;
  Worker& operator=(Worker&&) = delete;

  asio::io_context& Context() { return m_context; }
  void Start()
  {
    m_thread = std::jthread([this] {
      const auto guard = asio::make_work_guard(m_context);
      const double before = ThreadSeconds();
      m_context.run();
      m_seconds = ThreadSeconds() - before;
    });
  }
  /// @return processor seconds of the thread.
  double Stop()
  {
    m_context.stop();
    if (m_thread.joinable()) {
      m_thread.join();
    }
    return m_seconds;
  }

private:
  asio::io_context m_context;
  std::jthread m_thread;
  double m_seconds = 0;
};

net::HttpCall
CallTo(const net::HttpServer& aServer)
{
  net::HttpCall call;
  call.authority = "127.0.0.1:" + std::to_string(aServer.Port());
  call.method = "POST";
  call.body = std::string(kPromptBytes, 'p');
  call.cancel = std::make_shared<net::CallCancel>();
  return call;
}

awaitable<void>
Produce(net::HttpExchange& aExchange)
{
  const std::string chunk(kChunkBytes, 'x');
  co_await aExchange.StartStream(200, {});
  for (int i = 0; i < FLAGS_stream_chunks; ++i) {
    co_await net::Sleep(core::Duration(FLAGS_stream_gap_us));
    co_await aExchange.WriteChunk(chunk);
  }
  co_await aExchange.EndStream();
}

/// What an instance does with a stream: read from the target, write on.
awaitable<void>
Relay(net::HttpExchange& aExchange,
      net::HttpClient& aClient,
      const net::HttpServer& aTarget)
{
  net::HttpCall call = CallTo(aTarget);
  aExchange.OnCallerGone([cancel = call.cancel] { cancel->Cancel(); });
  const auto stream = co_await aClient.Open(std::move(call));
  co_await aExchange.StartStream(stream->Status(), {});
  for (;;) {
    const std::string_view bytes = co_await stream->ReadSome();
    if (bytes.empty()) {
      break;
    }
    co_await aExchange.WriteChunk(bytes);
  }
  co_await aExchange.EndStream();
}

/// Reads one stream to its end; the last one notes the memory before it ends.
awaitable<void>
Consume(net::HttpClient& aClient,
        const net::HttpServer& aServer,
        int& aOpen,
        double& aKibWhenAllOpen)
{
  const auto stream = co_await aClient.Open(CallTo(aServer));
  ++aOpen;
  if (aOpen == FLAGS_streams) {
    aKibWhenAllOpen = ResidentKib();
  }
  while (!(co_await stream->ReadSome()).empty()) {
  }
}

} // namespace

int
RunStreamsBench()
{
  Worker target_side;
  Worker relay_side;
  asio::io_context caller_side;
  const auto target =
    net::HttpServer::Create(target_side.Context(), {}, Produce);
  const auto relay_client = net::HttpClient::Create(relay_side.Context());
  const auto relay = net::HttpServer::Create(
    relay_side.Context(), {}, [&](net::HttpExchange& aExchange) {
      return Relay(aExchange, *relay_client, *target);
    });
  const auto caller = net::HttpClient::Create(caller_side);

  int open = 0;
  int ended = 0;
  int failed = 0;
  const double kib_before = ResidentKib();
  double kib_when_all_open = kib_before;
  target_side.Start();
  relay_side.Start();
  const auto began = std::chrono::steady_clock::now();
  for (int i = 0; i < FLAGS_streams; ++i) {
    asio::co_spawn(caller_side,
                   Consume(*caller, *relay, open, kib_when_all_open),
                   [&](const std::exception_ptr& aFailure) {
                     failed += aFailure ? 1 : 0;
                     if (++ended == FLAGS_streams) {
                       caller_side.stop();
                     }
                   });
  }
  caller_side.run();
  const std::chrono::duration<double> wall =
    std::chrono::steady_clock::now() - began;
  const double relay_seconds = relay_side.Stop();
  target_side.Stop();

  const double chunks = 1.0 * FLAGS_streams * FLAGS_stream_chunks;
  // The chain holds two servers' and two clients' connections a stream; the
  // relay's own are one of each.
  const double kib = (kib_when_all_open - kib_before) / FLAGS_streams / 2;
  std::cout << "streams failed=" << failed
            << " chunks_per_second=" << static_cast<long>(chunks / wall.count())
            << " chunks_per_relay_core_second="
            << static_cast<long>(chunks / relay_seconds)
            << " kib_per_stream=" << kib << '\n';
  return failed == 0 ? 0 : 1;
}

} // namespace jujubehead::bench
