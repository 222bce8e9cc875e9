#include "standin/load_callers.hpp"

#include <array>   // for array
#include <ostream> // for ostream
#include <utility> // for move

#include <boost/asio/co_spawn.hpp> // for co_spawn
#include <boost/asio/detached.hpp> // for detached

#include "standin/face.hpp" // for NowMs, Wait

namespace jujubehead::standin {
namespace {

namespace asio = boost::asio;

/// Longest wait for the next bytes of a reply.
constexpr std::chrono::seconds kPatience{ 5 };
/// Bodies of the other requests; some repeat, as those of real callers do.
constexpr int kBodies = 40;
constexpr double kShareOfPrompts = 0.6;

} // namespace

LoadCallers::LoadCallers(asio::io_context& aContext,
                         LoadCallersOptions aOptions,
                         std::ostream& aLog)
  : m_context(aContext)
  , m_options(std::move(aOptions))
  , m_log(aLog)
  , m_client(net::HttpClient::Create(aContext))
  , m_random(m_options.seed)
{
}

void
LoadCallers::Start()
{
  asio::co_spawn(
    m_context, SendAll(false, m_options.requests_per_second), asio::detached);
  if (m_options.poison_per_second > 0) {
    asio::co_spawn(
      m_context, SendAll(true, m_options.poison_per_second), asio::detached);
  }
}

asio::awaitable<void>
LoadCallers::SendAll(bool aIsPoison, double aPerSecond)
{
  std::exponential_distribution<> pause(aPerSecond);
  std::uniform_int_distribution<std::size_t> instance(
    0, m_options.instances.size() - 1);
  std::bernoulli_distribution is_prompt(kShareOfPrompts);
  for (;;) {
    co_await Wait(std::chrono::microseconds(
      static_cast<std::int64_t>(1e6 * pause(m_random))));
    const Kind other = is_prompt(m_random) ? Kind::kPrompt : Kind::kCall;
    asio::co_spawn(m_context,
                   Send(aIsPoison ? Kind::kPoison : other,
                        m_options.id_prefix + std::to_string(++m_last_id),
                        m_options.instances[instance(m_random)]),
                   asio::detached);
  }
}

asio::awaitable<void>
LoadCallers::Send(Kind aKind, std::string aId, std::string aInstance)
{
  constexpr std::array<const char*, 3> kNames{ "prompt", "call", "poison" };
  net::HttpCall call;
  call.authority = aInstance;
  call.method = "POST";
  call.target = aKind == Kind::kCall ? "/calls/x" : "/chat/x";
  call.idle_timeout = kPatience;
  call.headers.Add("Host", "a.example");
  call.headers.Add("X-Attempt-Id", aId);
  call.headers.Add("Authorization", "Token k1");
  if (aKind != Kind::kCall) {
    call.headers.Add("X-Model", "m1");
    call.headers.Add("X-Token-Usage", "1460,80");
    call.headers.Add("X-Prompt-Prefix", "aa:800,bb:410");
  }
  std::uniform_int_distribution<int> body(1, kBodies);
  if (aKind != Kind::kPoison) {
    call.body = "another " + std::to_string(body(m_random));
  } else {
    call.body = m_options.poison + (m_options.changes_poison ? ' ' + aId : "");
  }
  const std::string request =
    std::string(kNames.at(static_cast<std::size_t>(aKind))) + ' ' + aId + ' ' +
    aInstance;
  m_log << NowMs() << " sent " << request << std::endl;
  unsigned status = 0;
  try {
    const net::HttpResponse response =
      co_await m_client->Fetch(std::move(call));
    status = response.status;
  } catch (const net::HttpCallError&) {
    // The line shows it by its status.
  }
  m_log << NowMs() << " answered " << request << ' ' << status << std::endl;
}

} // namespace jujubehead::standin
