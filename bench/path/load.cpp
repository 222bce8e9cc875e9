#include "bench/path/load.hpp"

#include <algorithm> // for nth_element, min
#include <atomic>    // for atomic
#include <exception> // for exception
#include <memory>    // for unique_ptr
#include <mutex>     // for mutex
#include <random>    // for mt19937_64
#include <stdexcept> // for runtime_error
#include <thread>    // for jthread

#include <boost/asio/co_spawn.hpp>      // for co_spawn
#include <boost/asio/detached.hpp>      // for detached
#include <boost/asio/steady_timer.hpp>  // for steady_timer
#include <boost/asio/use_awaitable.hpp> // for use_awaitable
#include <nlohmann/json.hpp>            // for json

#include "jujubehead/net/http_client.hpp" // for HttpClient

namespace jujubehead::bench {
namespace {

namespace asio = boost::asio;
using Clock = std::chrono::steady_clock;
using std::chrono::milliseconds;

constexpr std::string_view kTextField = "\"text\":\"";
constexpr milliseconds kPoll{ 10 };

double
Milliseconds(Clock::duration aTime)
{
  return std::chrono::duration<double, std::milli>(aTime).count();
}

// Tokens in a part of a stream: text fields that are not empty. A field that
// two parts share is counted with the second.
class TokenCounter
{
public:
  std::size_t Count(std::string_view aBytes)
  {
    m_rest += aBytes;
    std::size_t tokens = 0;
    std::size_t done = 0;
    for (std::size_t at = m_rest.find(kTextField);
         at != std::string::npos && at + kTextField.size() < m_rest.size();
         at = m_rest.find(kTextField, done)) {
      done = at + kTextField.size();
      tokens += m_rest[done] == '"' ? 0 : 1;
    }
    const std::size_t tail =
      m_rest.size() - std::min(m_rest.size(), kTextField.size());
    m_rest.erase(0, std::max(done, tail));
    return tokens;
  }

private:
  std::string m_rest;
};

net::HttpCall
MakeCall(const LoadOptions& aOptions, std::size_t aStream, std::size_t aNumber)
{
  std::string prompt =
    std::to_string(aStream) + '-' + std::to_string(aNumber) + ' ';
  prompt.resize(std::max(prompt.size(), aOptions.prompt_bytes), 'p');
  const nlohmann::json body{ { "model", aOptions.model },
                             { "prompt", std::move(prompt) },
                             { "max_tokens", aOptions.max_tokens },
                             { "stream", aOptions.stream } };
  net::HttpCall call;
  call.authority = aOptions.authorities[aStream % aOptions.authorities.size()];
  call.method = "POST";
  call.target = "/v1/completions";
  call.headers.Add("Content-Type", "application/json");
  if (!aOptions.key.empty()) {
    call.headers.Add("Authorization", "Bearer " + aOptions.key);
  }
  call.body = body.dump();
  return call;
}

class Worker
{
public:
  Worker(const LoadOptions& aOptions, std::size_t aFirstStream)
    : m_options(aOptions)
    , m_client(net::HttpClient::Create(m_context))
    , m_end(Clock::now() + aOptions.time)
  {
    for (std::size_t i = aFirstStream; i < aOptions.streams;
         i += aOptions.threads) {
      ++m_open;
      asio::co_spawn(m_context, Loop(i), asio::detached);
    }
  }

  LoadResult Run()
  {
    m_context.run();
    return std::move(m_result);
  }

private:
  asio::awaitable<void> Loop(std::size_t aStream)
  {
    std::mt19937_64 random(aStream);
    std::uniform_real_distribution<> share(0, 2);
    asio::steady_timer pause(m_context);
    for (std::size_t number = 0; Clock::now() < m_end; ++number) {
      try {
        pause.expires_after(std::chrono::duration_cast<Clock::duration>(
          m_options.mean_pause * share(random)));
        co_await pause.async_wait(asio::use_awaitable);
        co_await One(MakeCall(m_options, aStream, number));
        ++m_result.requests;
      } catch (const std::exception& error) {
        NoteFailure(error.what());
      }
    }
    if (--m_open == 0) {
      m_context.stop(); // Idle connections would keep it going.
    }
  }

  asio::awaitable<void> One(net::HttpCall aCall)
  {
    const auto start = Clock::now();
    const auto stream = co_await m_client->Open(std::move(aCall));
    if (stream->Status() != 200) {
      const std::string_view body = co_await stream->ReadSome();
      throw std::runtime_error(std::to_string(stream->Status()) + ' ' +
                               std::string(body));
    }
    TokenCounter counter;
    auto last = start;
    std::size_t tokens = 0;
    for (std::string_view bytes = co_await stream->ReadSome(); !bytes.empty();
         bytes = co_await stream->ReadSome()) {
      const std::size_t more = counter.Count(bytes);
      const auto now = Clock::now();
      for (std::size_t i = 0; i < more; ++i) {
        (tokens + i == 0 ? m_result.first_token_ms : m_result.between_tokens_ms)
          .push_back(Milliseconds(now - last));
        last = now;
      }
      tokens += more;
    }
    m_result.tokens += tokens;
  }

  void NoteFailure(const std::string& aWhat)
  {
    ++m_result.failures;
    if (m_result.first_failure.empty()) {
      m_result.first_failure = aWhat;
    }
  }

  const LoadOptions& m_options;
  asio::io_context m_context{ 1 };
  std::unique_ptr<net::HttpClient> m_client;
  Clock::time_point m_end;
  std::size_t m_open = 0;
  LoadResult m_result;
};

} // namespace

void
LoadResult::Add(LoadResult aOther)
{
  const auto append = [](std::vector<double>& aTo,
                         const std::vector<double>& aFrom) {
    aTo.insert(aTo.end(), aFrom.begin(), aFrom.end());
  };
  append(first_token_ms, aOther.first_token_ms);
  append(between_tokens_ms, aOther.between_tokens_ms);
  requests += aOther.requests;
  tokens += aOther.tokens;
  failures += aOther.failures;
  seconds += aOther.seconds;
  if (first_failure.empty()) {
    first_failure = std::move(aOther.first_failure);
  }
}

LoadResult
RunLoad(const LoadOptions& aOptions)
{
  LoadResult total;
  std::mutex mutex;
  const auto start = Clock::now();
  {
    std::vector<std::jthread> threads;
    for (std::size_t i = 0; i < aOptions.threads; ++i) {
      threads.emplace_back([&, i] {
        LoadResult result = Worker(aOptions, i).Run();
        const std::lock_guard lock(mutex);
        total.Add(std::move(result));
      });
    }
  }
  total.seconds = std::chrono::duration<double>(Clock::now() - start).count();
  return total;
}

double
Quantile(std::vector<double> aSamples, double aShare)
{
  if (aSamples.empty()) {
    return 0;
  }
  const auto place =
    aSamples.begin() + static_cast<std::ptrdiff_t>(
                         aShare * static_cast<double>(aSamples.size() - 1));
  std::nth_element(aSamples.begin(), place, aSamples.end());
  return *place;
}

struct OpenStreams::State
{
  asio::io_context context{ 1 };
  std::unique_ptr<net::HttpClient> client = net::HttpClient::Create(context);
  std::atomic<std::size_t> started{ 0 };
  std::atomic<std::size_t> ended{ 0 };
  std::jthread thread;

  asio::awaitable<void> Follow(net::HttpCall aCall)
  {
    try {
      const auto stream = co_await client->Open(std::move(aCall));
      TokenCounter counter;
      bool has_started = false;
      for (std::string_view bytes = co_await stream->ReadSome(); !bytes.empty();
           bytes = co_await stream->ReadSome()) {
        if (!has_started && counter.Count(bytes) > 0) {
          has_started = true;
          ++started;
        }
      }
    } catch (const std::exception&) {
      // Counted below as ended; the caller sees it in Count().
    }
    ++ended;
  }
};

OpenStreams::OpenStreams(const LoadOptions& aOptions)
  : m_state(std::make_unique<State>())
{
  State& state = *m_state;
  for (std::size_t i = 0; i < aOptions.streams; ++i) {
    asio::co_spawn(
      state.context, state.Follow(MakeCall(aOptions, i, 0)), asio::detached);
  }
  state.thread = std::jthread([&state] { state.context.run(); });
  const auto end = Clock::now() + aOptions.time;
  while (state.started + state.ended < aOptions.streams && Clock::now() < end) {
    std::this_thread::sleep_for(kPoll);
  }
}

OpenStreams::~OpenStreams()
{
  m_state->context.stop();
}

std::size_t
OpenStreams::Count() const
{
  return m_state->started;
}

} // namespace jujubehead::bench
