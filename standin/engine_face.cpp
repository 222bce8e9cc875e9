#include "standin/faces.hpp" // for MakeEngineFace

#include <algorithm>     // for max
#include <unordered_map> // for unordered_map
#include <utility>       // for move

#include <boost/asio/as_tuple.hpp>      // for as_tuple
#include <boost/asio/co_spawn.hpp>      // for co_spawn
#include <boost/asio/detached.hpp>      // for detached
#include <boost/asio/steady_timer.hpp>  // for steady_timer
#include <boost/asio/this_coro.hpp>     // for executor
#include <boost/asio/use_awaitable.hpp> // for use_awaitable

#include "jujubehead/net/http_client.hpp" // for HttpClient

#include "standin/completion_json.hpp" // for CompletionCall, CompletionWriter
#include "standin/engine_transfer.hpp" // for FetchPiece, SendPiece

namespace jujubehead::standin {
namespace {

namespace asio = boost::asio;
using nlohmann::json;
using Steady = std::chrono::steady_clock;

constexpr auto kTuple = asio::as_tuple(asio::use_awaitable);
constexpr std::chrono::milliseconds kObservePeriod{ 10 };

const char*
CodeOf(Refusal aRefusal)
{
  switch (aRefusal) {
    case Refusal::kOldFencing:
      return "old_fencing";
    case Refusal::kWrongVersion:
      return "wrong_version";
    case Refusal::kFull:
      break;
  }
  return "full";
}

json
ExportedJson(const json& aPiece)
{
  return { { "blocks", aPiece.at("keys").size() },
           { "bytes", aPiece.at("bytes") } };
}

// Wakes the coroutines that follow runs.
class RunSignals
{
public:
  void Add(const Run* aRun, asio::steady_timer* aTimer)
  {
    m_timers[aRun] = aTimer;
  }
  void Remove(const Run* aRun) { m_timers.erase(aRun); }
  void Wake(const Run* aRun) const
  {
    const auto found = m_timers.find(aRun);
    if (found != m_timers.end()) {
      found->second->cancel();
    }
  }

private:
  std::unordered_map<const Run*, asio::steady_timer*> m_timers;
};

class EngineFace final : public Face
{
public:
  EngineFace(asio::io_context& aContext, EngineOptions aOptions)
    : m_model(std::move(aOptions))
    , m_client(net::HttpClient::Create(aContext))
    , m_work(aContext)
    , m_observe(aContext)
  {
  }

  void Stop() override
  {
    m_stopping = true;
    m_work.cancel();
    m_observe.cancel();
    Face::Stop();
  }

  [[nodiscard]] json Stats() const override { return m_model.Stats(); }

private:
  [[nodiscard]] std::shared_ptr<EngineFace> Self()
  {
    return std::static_pointer_cast<EngineFace>(shared_from_this());
  }

  void OnListening(asio::io_context& aContext) override
  {
    asio::co_spawn(
      aContext,
      [self = Self()]() -> asio::awaitable<void> { co_await self->Steps(); },
      asio::detached);
    asio::co_spawn(
      aContext,
      [self = Self()]() -> asio::awaitable<void> { co_await self->Observe(); },
      asio::detached);
  }

  void OnFaultsChanged() override
  {
    const json* fault = Fault("crash_on");
    m_model.SetCrashText(fault == nullptr ? std::string()
                                          : fault->value("text", ""));
  }

  void LoseState() override
  {
    for (const RunPtr& run : m_model.Crash()) {
      m_signals.Wake(run.get());
    }
  }

  // Here `slow` makes steps longer.
  [[nodiscard]] bool SlowDelaysRequests() const override { return false; }

  asio::awaitable<void> Steps()
  {
    Steady::time_point end = Steady::now();
    while (!m_stopping) {
      if (!m_model.HasWork()) {
        m_work.expires_at(Steady::time_point::max());
        co_await m_work.async_wait(kTuple);
        end = Steady::now();
        continue;
      }
      const StepPlan plan = m_model.BeginStep(NowMs());
      if (plan.crashed) {
        Crash();
        continue;
      }
      // A step that the machine delayed does not make the next one shorter by
      // more than its own length.
      end =
        std::max(end, Steady::now() - plan.cost) + plan.cost + FaultMs("slow");
      m_stepping.expires_at(end);
      co_await m_stepping.async_wait(kTuple);
      for (const RunPtr& run : m_model.EndStep(NowMs())) {
        m_signals.Wake(run.get());
      }
    }
  }

  asio::awaitable<void> Observe()
  {
    while (!m_stopping) {
      m_model.ObserveLoad(NowMs());
      m_observe.expires_after(kObservePeriod);
      co_await m_observe.async_wait(kTuple);
    }
  }

  asio::awaitable<void> Handle(net::HttpExchange& aExchange) override
  {
    const net::HttpRequest& request = aExchange.Request();
    const std::string_view path = request.Path();
    if (path == "/v1/completions" || path == "/v1/chat/completions") {
      co_await Complete(
        aExchange,
        ParseCompletionCall(request.body, path == "/v1/chat/completions"));
    } else if (path == "/v1/load") {
      co_await Reply(aExchange, 200, m_model.Load(NowMs()));
    } else if (path == "/v1/cache_events") {
      const auto after = std::stoull(request.Query("after").value_or("0"));
      co_await Reply(aExchange, 200, m_model.CacheEvents(after, NowMs()));
    } else if (path == "/v1/abort") {
      const json body = json::parse(request.body);
      for (const RunPtr& run :
           m_model.Abort(body.at("request_id").get<std::string>())) {
        m_signals.Wake(run.get());
      }
      co_await Reply(aExchange, 200, json::object());
    } else if (path == "/v1/orders") {
      co_await TakeOrder(aExchange);
    } else if (path == "/v1/kv/export") {
      co_await Export(aExchange);
    } else {
      co_await ReplyError(aExchange, 404, "unknown_path");
    }
  }

  asio::awaitable<void> Complete(net::HttpExchange& aExchange,
                                 CompletionCall aCall)
  {
    if (!aCall.model.empty() && aCall.model != m_model.Options().model) {
      co_await ReplyError(aExchange, 404, "model_not_found");
      co_return;
    }
    auto taken = m_model.Submit(aCall.run, aCall.import.has_value(), NowMs());
    if (const auto* refusal = std::get_if<Refusal>(&taken)) {
      const unsigned status = *refusal == Refusal::kFull ? 429 : 409;
      co_await ReplyError(aExchange, status, CodeOf(*refusal));
      co_return;
    }
    const RunPtr run = std::get<RunPtr>(taken);
    asio::steady_timer signal(co_await asio::this_coro::executor);
    m_signals.Add(run.get(), &signal);
    try {
      aExchange.OnCallerGone([self = Self(), run] {
        self->m_model.Cut(run);
        self->m_signals.Wake(run.get());
      });
      if (aCall.import) {
        co_await Import(*aCall.import, run);
      }
      m_work.cancel();
      co_await Follow(aExchange, aCall, run, signal);
    } catch (const std::exception&) {
      aExchange.Close();
    }
    m_model.Cut(run);
    m_signals.Remove(run.get());
  }

  asio::awaitable<void> Import(const ImportOrder& aOrder, const RunPtr& aRun)
  {
    const FetchedPiece piece = co_await FetchPiece(*m_client, aOrder);
    m_model.FinishImport(aRun, piece.keys, piece.salt, NowMs());
  }

  asio::awaitable<void> Follow(net::HttpExchange& aExchange,
                               const CompletionCall& aCall,
                               const RunPtr& aRun,
                               asio::steady_timer& aSignal)
  {
    const CompletionWriter writer(aCall, *aRun);
    std::size_t sent = aRun->emitted;
    while (true) {
      const bool done = aRun->state == RunState::kDone;
      if (aRun->state == RunState::kCut) {
        aExchange.Close();
        co_return;
      }
      if (aCall.stream && (done || aRun->emitted > sent)) {
        co_await SendTokens(aExchange, writer, *aRun, sent);
      }
      if (done) {
        break;
      }
      if (aRun->emitted == sent || !aCall.stream) {
        aSignal.expires_at(Steady::time_point::max());
        co_await aSignal.async_wait(kTuple);
      }
    }
    if (aCall.stream) {
      co_await aExchange.WriteChunk(writer.FinalEvents());
      co_await aExchange.EndStream();
    } else {
      co_await Reply(aExchange, 200, writer.Whole());
    }
  }

  // Sends the tokens that have been made and not sent yet.
  asio::awaitable<void> SendTokens(net::HttpExchange& aExchange,
                                   const CompletionWriter& aWriter,
                                   const Run& aRun,
                                   std::size_t& aSent)
  {
    if (!aExchange.HasStarted()) {
      net::HttpHeaders headers;
      headers.Add("Content-Type", "text/event-stream");
      co_await aExchange.StartStream(200, std::move(headers));
    }
    std::string events;
    for (const std::size_t end = aRun.emitted; aSent < end; ++aSent) {
      if (CutsStreamAt(aSent)) {
        co_await aExchange.WriteChunk(events);
        throw std::runtime_error("cut_stream");
      }
      events += aWriter.TokenEvent(aSent);
    }
    co_await aExchange.WriteChunk(events);
  }

  bool CutsStreamAt(std::size_t aToken)
  {
    const json* fault = Fault("cut_stream");
    return fault != nullptr &&
           aToken == fault->value("after_tokens", std::size_t{ 0 }) &&
           TakeFault("cut_stream");
  }

  asio::awaitable<void> TakeOrder(net::HttpExchange& aExchange)
  {
    const json order = json::parse(aExchange.Request().body);
    if (!m_model.AcceptFencing(order.at("fencing").get<std::int64_t>())) {
      co_await ReplyError(aExchange, 409, "old_fencing");
    } else if (!m_model.TakeOrder(order, NowMs())) {
      co_await ReplyError(aExchange, 400, "unknown_order");
    } else {
      const json seen{ { "order_seen", m_model.OrderSeen() } };
      co_await Reply(aExchange, 200, seen);
    }
  }

  asio::awaitable<void> Export(net::HttpExchange& aExchange)
  {
    const json order = json::parse(aExchange.Request().body);
    if (!m_model.AcceptFencing(order.at("fencing").get<std::int64_t>())) {
      co_await ReplyError(aExchange, 409, "old_fencing");
      co_return;
    }
    const auto keys =
      m_model.PinForExport(order.at("keys").get<std::vector<std::string>>());
    if (keys.empty()) {
      co_await ReplyError(aExchange, 409, "evicted");
      co_return;
    }
    const json piece = PieceOf(keys);
    const unsigned status = co_await SendPiece(*m_client, order, piece);
    m_model.Unpin(keys);
    if (status == 200) {
      co_await Reply(aExchange, 200, ExportedJson(piece));
    } else {
      co_await ReplyError(
        aExchange, status, status == 507 ? "full" : "store_failed");
    }
  }

  [[nodiscard]] json PieceOf(const std::vector<std::string>& aKeys) const
  {
    std::uint64_t bytes = 0;
    for (const std::string& key : aKeys) {
      bytes += m_model.Find(key)->bytes;
    }
    return { { "keys", aKeys },
             { "bytes", bytes },
             { "salt", m_model.Find(aKeys.front())->salt } };
  }

  EngineModel m_model;
  std::unique_ptr<net::HttpClient> m_client;
  asio::steady_timer m_work;
  asio::steady_timer m_observe;
  asio::steady_timer m_stepping{ m_work.get_executor() };
  RunSignals m_signals;
  bool m_stopping = false;
};

} // namespace

std::shared_ptr<Face>
MakeEngineFace(asio::io_context& aContext, EngineOptions aOptions)
{
  return std::make_shared<EngineFace>(aContext, std::move(aOptions));
}

} // namespace jujubehead::standin
