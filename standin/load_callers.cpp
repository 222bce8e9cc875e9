#include "standin/load_callers.hpp"

#include <array>       // for array
#include <ostream>     // for ostream
#include <string_view> // for string_view
#include <utility>     // for move

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
/// Further tries of a caller whose stream broke off, and the pause before each.
constexpr int kMaxResumes = 3;
constexpr std::chrono::milliseconds kResumePause{ 50 };
/// Before the software version in an event, see MakeRegisteredFace().
constexpr std::string_view kVersionMark = " of ";

/// Takes the whole events out of received bytes.
/// @return the last one's id; empty if there is none.
std::string
TakeEvents(std::string& aBytes, std::set<std::string>& aVersions)
{
  std::string last;
  for (std::size_t end = aBytes.find("\n\n"); end != std::string::npos;
       end = aBytes.find("\n\n")) {
    const std::string event = aBytes.substr(0, end);
    aBytes.erase(0, end + 2);
    const std::size_t mark = event.rfind(kVersionMark);
    if (mark != std::string::npos) {
      aVersions.insert(event.substr(mark + kVersionMark.size()));
    }
    last = event.substr(0, event.find('\n')).substr(sizeof("id: ") - 1);
  }
  return last;
}

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
    std::string id = m_options.id_prefix + std::to_string(++m_last_id);
    std::string at = m_options.instances[instance(m_random)];
    if (m_options.resumes && !aIsPoison && other == Kind::kPrompt) {
      asio::co_spawn(
        m_context, SendStream(std::move(id), std::move(at)), asio::detached);
      continue;
    }
    asio::co_spawn(
      m_context,
      Send(aIsPoison ? Kind::kPoison : other, std::move(id), std::move(at)),
      asio::detached);
  }
}

asio::awaitable<void>
LoadCallers::ReadStream(net::HttpCall aCall, std::string aId, Stream& aStream)
{
  aStream.status = 0;
  std::string bytes;
  try {
    const auto reply = co_await m_client->Open(std::move(aCall));
    for (;;) {
      const std::string_view some = co_await reply->ReadSome();
      if (some.empty()) {
        break;
      }
      bytes += some;
      std::string last = TakeEvents(bytes, aStream.versions);
      if (!last.empty()) {
        aStream.first_id = aStream.first_id.empty() ? aId : aStream.first_id;
        aStream.last_event = std::move(last);
      }
    }
    aStream.status = reply->Status();
  } catch (const net::HttpCallError&) {
    // The line shows it by its status.
  }
}

asio::awaitable<void>
LoadCallers::SendStream(std::string aId, std::string aInstance)
{
  std::uniform_int_distribution<std::size_t> instance(
    0, m_options.instances.size() - 1);
  Stream stream;
  for (int tries = 0; tries <= kMaxResumes; ++tries) {
    const bool resumes = !stream.last_event.empty();
    net::HttpCall call = CallFor(Kind::kPrompt, aId, aInstance);
    if (resumes) {
      call.headers.Add("Last-Event-Id", stream.last_event);
      call.headers.Add("Resumes", stream.first_id);
    }
    std::string request = "prompt ";
    request.append(aId).append(" ").append(aInstance);
    const std::string last_event = stream.last_event;
    m_log << NowMs() << " sent " << request << std::endl;
    co_await ReadStream(std::move(call), aId, stream);
    m_log << NowMs() << " answered " << request << ' ' << stream.status
          << std::endl;
    if (resumes) {
      m_log << NowMs() << " stream " << request
            << (stream.last_event != last_event ? " goes_on" : " ends");
      for (const std::string& version : stream.versions) {
        m_log << ' ' << version;
      }
      m_log << std::endl;
    }
    if (stream.status != 0 || stream.last_event.empty()) {
      co_return;
    }
    co_await Wait(kResumePause);
    aId = stream.first_id;
    aId.append(".").append(std::to_string(tries + 1));
    aInstance = m_options.instances[instance(m_random)];
  }
}

net::HttpCall
LoadCallers::CallFor(Kind aKind,
                     const std::string& aId,
                     const std::string& aInstance)
{
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
    const bool has_part =
      aKind == Kind::kPoison && !m_options.poison_part.empty();
    // The last part is the request's own.
    call.headers.Add("X-Prompt-Prefix",
                     has_part ? "aa:800," + m_options.poison_part + ":410,e" +
                                  std::to_string(m_last_id) + ":50"
                              : "aa:800,bb:410");
  }
  std::uniform_int_distribution<int> body(1, kBodies);
  if (aKind != Kind::kPoison) {
    call.body = "another " + std::to_string(body(m_random));
  } else {
    const bool is_new =
      m_options.changes_poison || !m_options.poison_part.empty();
    call.body = m_options.poison + (is_new ? ' ' + aId : "");
  }
  return call;
}

asio::awaitable<void>
LoadCallers::Send(Kind aKind, std::string aId, std::string aInstance)
{
  constexpr std::array<const char*, 3> kNames{ "prompt", "call", "poison" };
  net::HttpCall call = CallFor(aKind, aId, aInstance);
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
