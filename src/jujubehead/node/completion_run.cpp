#include "jujubehead/node/completion_run.hpp"

#include <utility> // for exchange, move
#include <variant> // for variant, visit

#include <boost/asio/post.hpp> // for post

#include <nlohmann/json.hpp> // for json

#include "jujubehead/core/context_key.hpp"     // for ChainKeys, Salt
#include "jujubehead/net/http_client.hpp"      // for HttpCall, HttpStream
#include "jujubehead/net/json_memory.hpp"      // for JsonMemoryBound
#include "jujubehead/net/openai_request.hpp"   // for CompletionRequest
#include "jujubehead/net/sse_reader.hpp"       // for SseReader
#include "jujubehead/node/attempts.hpp"        // for Attempts
#include "jujubehead/node/control.hpp"         // for Control
#include "jujubehead/node/request_claim.hpp"   // for RequestClaim
#include "jujubehead/node/send_error.hpp"      // for SendError
#include "jujubehead/node/stream_progress.hpp" // for StreamProgress
#include "jujubehead/node/traffic_thread.hpp"  // for TrafficThread

namespace jujubehead::node {
namespace {

namespace asio = boost::asio;
using Json = nlohmann::json;

constexpr std::uint32_t kBytesPerToken = 4;
constexpr std::uint32_t kBlockBytes = core::kDefaultBlockBytes;
constexpr std::uint32_t kTokensPerBlock = kBlockBytes / kBytesPerToken;
constexpr double kMicrosecondsPerSecond = 1e6;
constexpr std::size_t kMinKeptBlocks = 4;
/// Of a body's text: as received, its prompt, as sent to the target.
constexpr std::size_t kTextCopies = 3;
// A stream that is silent for longer is taken for broken.
constexpr core::Duration kStreamSilence = std::chrono::seconds(30);
// A whole answer says nothing until it is complete.
constexpr core::Duration kWholeSilence = std::chrono::minutes(10);

constexpr unsigned kStatusOk = 200;
constexpr unsigned kStatusConflict = 409;
constexpr unsigned kStatusTooMany = 429;
constexpr unsigned kFirstServerError = 500;

/// The answer was passed on whole.
struct Done
{};
/// Another target may do better.
struct Retry
{
  bool may_have_run = true;
  net::ApiError why;
};
/// The target's own word to the caller; no other target would say otherwise.
struct PassOn
{
  net::HttpResponse response;
};
using AttemptOutcome = std::variant<Done, Retry, PassOn>;

net::ApiError
TargetFailed(std::string aWhat)
{
  net::ApiError error;
  error.status = 502;
  error.message = "The target failed: " + std::move(aWhat);
  error.code = "target_failed";
  return error;
}

net::ApiError
NoSuchModel(const core::ModelId& aModel)
{
  net::ApiError error;
  error.status = 404;
  error.message = "The model '" + aModel.Text() + "' does not exist";
  error.type = "invalid_request_error";
  error.param = "model";
  error.code = "model_not_found";
  error.run_state = net::RunState::kNotRun;
  return error;
}

/// The same text in another form (with other tools, say) is another context.
core::ContextScope
KeyScope(core::ContextScope aScope, const std::string& aPromptForm)
{
  if (!aPromptForm.empty()) {
    aScope.adapter.append("\n").append(aPromptForm);
  }
  return aScope;
}

class CompletionRun
{
public:
  CompletionRun(TrafficThread& aThread,
                net::HttpExchange& aExchange,
                const Caller& aCaller,
                net::CompletionRequest aRequest,
                const core::TableRow& aRow)
    : m_thread(aThread)
    , m_exchange(aExchange)
    , m_request(std::move(aRequest))
    , m_scope{ aCaller.account, aRow.model, aRow.version, aRow.adapter }
    , m_key_scope(KeyScope(m_scope, m_request.prompt_form))
    , m_chain(core::ChainKeys(m_key_scope, m_request.prompt))
    , m_prompt_bytes(std::exchange(m_request.prompt, {}).size())
    , m_attempts(aThread,
                 aExchange,
                 AskOf(aRow),
                 AccountClass(aCaller.table->table, aRow))
    , m_claim(aThread)
    , m_priority(aRow.priority)
    , m_recompute_price(aRow.recompute_price / kMicrosecondsPerSecond)
  {
  }

  asio::awaitable<void> Serve()
  {
    auto barred = co_await m_claim.Take(
      m_exchange.Request(), m_scope.account, m_scope.model);
    if (barred) {
      co_await Refuse(std::move(*barred));
      co_return;
    }
    if (m_claim.IsHeld()) {
      m_attempts.OnlyOnce();
    }
    for (;;) {
      Attempts::Next next = co_await m_attempts.Start();
      if (auto* error = std::get_if<net::ApiError>(&next)) {
        co_await Refuse(*error);
        co_return;
      }
      HeldRun& run = *std::get<std::unique_ptr<HeldRun>>(next);
      const AttemptOutcome end = co_await Attempt(run);
      if (std::holds_alternative<Done>(end)) {
        co_return;
      }
      if (const auto* pass = std::get_if<PassOn>(&end)) {
        co_await m_claim.Refused(net::RunState::kNotRun);
        co_await m_exchange.Send(pass->response);
        co_return;
      }
      const auto& retry = std::get<Retry>(end);
      m_attempts.Failed(run.Place().target, retry.may_have_run, retry.why);
      if (!CanGoOn()) {
        co_await Refuse(retry.why);
        co_return;
      }
    }
  }

private:
  [[nodiscard]] AdmissionAsk AskOf(const core::TableRow& aRow) const
  {
    const auto blocks = static_cast<std::uint32_t>(m_chain.size());
    const auto bytes = static_cast<std::uint32_t>(m_prompt_bytes);
    const std::uint32_t tail = bytes - blocks * kBlockBytes;
    AdmissionAsk ask;
    ask.account = m_scope.account;
    ask.model = m_scope.model;
    ask.version = m_scope.version;
    ask.adapter = m_scope.adapter;
    ask.chain = m_chain;
    ask.tokens_per_block = kTokensPerBlock;
    ask.tail_tokens = tail / kBytesPerToken;
    ask.cost_tokens = bytes / kBytesPerToken + m_request.max_tokens.value_or(0);
    ask.priority = aRow.priority;
    ask.recompute_price = aRow.recompute_price / kMicrosecondsPerSecond;
    ask.deadline = aRow.deadline;
    return ask;
  }

  asio::awaitable<AttemptOutcome> Attempt(HeldRun& aRun)
  {
    if (m_attempts.CallerGone() || !aRun.MayStart()) {
      co_return Retry{ false, TargetFailed("the permit came too late") };
    }
    bool dispatched = false;
    try {
      aRun.Dispatched();
      const auto stream = co_await m_thread.client->Open(CallFor(aRun));
      dispatched = true;
      if (stream->Status() != kStatusOk) {
        co_return co_await Refused(aRun, *stream);
      }
      if (m_request.stream) {
        co_return co_await ForwardStream(aRun, *stream);
      }
      co_return co_await ForwardWhole(aRun, *stream);
    } catch (const net::HttpCallError& error) {
      dispatched = dispatched || error.Dispatched();
      if (!dispatched) {
        aRun.SetEnd(RunEnd::kNotStarted);
      }
      co_return Retry{ dispatched, TargetFailed(error.what()) };
    } catch (const std::invalid_argument& error) {
      co_return Retry{ true, TargetFailed(error.what()) };
    }
  }

  [[nodiscard]] net::HttpCall CallFor(const HeldRun& aRun)
  {
    const Admitted& place = aRun.Place();
    net::HttpCall call;
    call.authority = place.authority;
    call.method = "POST";
    call.target = m_exchange.Request().Path();
    call.headers.Add("Content-Type", "application/json");
    call.cancel = m_attempts.Cancel();
    call.idle_timeout = m_request.stream ? kStreamSilence : kWholeSilence;

    Json& own = m_request.body["jujubehead"];
    own = { { "request_id", m_attempts.CurrentId().Text() },
            { "fencing", place.permit.epoch },
            { "priority", m_priority },
            { "version", m_scope.version },
            { "adapter", m_scope.adapter },
            { "resume_from", m_progress.Tokens() } };
    Json keys = Json::array();
    for (const core::ContextKey& key : m_chain) {
      keys.push_back(key.Hex());
    }
    own["context"] = { { "salt", core::Salt(m_key_scope) },
                       { "block_bytes", core::kDefaultBlockBytes },
                       { "keys", std::move(keys) } };
    if (place.plan.import && !place.import_authority.empty()) {
      own["import"] = { { "store", place.import_authority },
                        { "handle", place.plan.import->handle },
                        { "generation", place.plan.import->generation },
                        { "blocks", place.plan.import->blocks } };
    }
    call.body = m_request.body.dump();
    return call;
  }

  /// The target refused before it ran anything (see the outward interfaces).
  asio::awaitable<AttemptOutcome> Refused(HeldRun& aRun,
                                          net::HttpStream& aStream)
  {
    const unsigned status = aStream.Status();
    std::string body =
      co_await net::ReadBody(aStream, net::kMaxReplyBytes, m_thread.memory);
    if (status >= kFirstServerError) {
      co_return Retry{ true, TargetFailed("status " + std::to_string(status)) };
    }
    aRun.SetEnd(RunEnd::kNotStarted);
    if (status == kStatusConflict || status == kStatusTooMany) {
      co_return Retry{ false, TargetFailed("it refused: " + body) };
    }
    PassOn pass;
    pass.response.status = status;
    pass.response.headers.Add("Content-Type", "application/json");
    pass.response.headers.Add(net::kRunStateHeader,
                              net::Name(net::RunState::kNotRun));
    pass.response.body = std::move(body);
    co_return pass;
  }

  asio::awaitable<AttemptOutcome> ForwardStream(HeldRun& aRun,
                                                net::HttpStream& aStream)
  {
    if (m_exchange.HasStarted()) {
      m_progress.Resume();
      m_thread.metrics.Add(Counter::kResumes);
    } else {
      co_await m_exchange.StartStream(kStatusOk, StreamHeaders());
    }
    net::SseReader reader;
    std::string out;
    for (;;) {
      const std::string_view bytes = co_await aStream.ReadSome();
      if (bytes.empty()) {
        break;
      }
      reader.Feed(bytes);
      out.clear();
      while (const auto data = reader.Next()) {
        if (const auto pass = m_progress.Take(*data)) {
          out.append("data: ").append(*pass).append("\n\n");
        }
      }
      if (!out.empty()) {
        NoteTokens(aRun);
        co_await m_exchange.WriteChunk(out);
      }
    }
    if (!m_progress.IsDone()) {
      co_return Retry{ true, TargetFailed("its stream ended too early") };
    }
    Complete(aRun, m_progress.Usage());
    co_await m_exchange.EndStream();
    co_return Done{};
  }

  asio::awaitable<AttemptOutcome> ForwardWhole(HeldRun& aRun,
                                               net::HttpStream& aStream)
  {
    net::HttpResponse response;
    response.body =
      co_await net::ReadBody(aStream, net::kMaxReplyBytes, m_thread.memory);
    Complete(aRun, UsageOf(response.body));
    response.headers.Add("Content-Type", "application/json");
    response.headers.Add("X-Request-Id", m_attempts.CurrentId().View());
    co_await m_exchange.Send(std::move(response));
    co_return Done{};
  }

  [[nodiscard]] net::HttpHeaders StreamHeaders() const
  {
    net::HttpHeaders headers;
    headers.Add("Content-Type", "text/event-stream");
    headers.Add("Cache-Control", "no-cache");
    headers.Add("X-Request-Id", m_attempts.CurrentId().View());
    return headers;
  }

  /// Times the tokens that came since the last call.
  void NoteTokens(HeldRun& aRun)
  {
    const std::uint32_t tokens = m_progress.Tokens();
    if (tokens == m_tokens_noted) {
      return;
    }
    const auto now = core::RuntimeClock::now();
    const bool first = m_tokens_noted == 0;
    const core::Duration time =
      first ? now - m_attempts.Began()
            : (now - m_last_token_at) / (tokens - m_tokens_noted);
    m_thread.metrics.Record(first ? Timing::kTimeToFirstToken
                                  : Timing::kBetweenTokens,
                            m_attempts.AccountClass(),
                            aRun.Place().target.View(),
                            time);
    if (first) {
      aRun.NoteFirstToken();
    }
    m_tokens_noted = tokens;
    m_last_token_at = now;
  }

  void Complete(HeldRun& aRun, const std::optional<AnswerUsage>& aUsage)
  {
    aRun.SetEnd(RunEnd::kComplete);
    aRun.NoteCached();
    m_thread.metrics.Add(Counter::kAnswers);
    OfferToKeep(aRun, aUsage);
    if (!aUsage) {
      return;
    }
    aRun.NoteRecomputed(aUsage->recomputed_tokens);
    m_thread.metrics.Add(Counter::kTokens, aUsage->completion_tokens);
    m_thread.metrics.Add(Counter::kPromptTokens, aUsage->prompt_tokens);
    m_thread.metrics.Add(Counter::kCachedTokens, aUsage->cached_tokens);
    m_thread.metrics.Add(Counter::kImportedTokens, aUsage->imported_tokens);
    m_thread.metrics.Add(Counter::kRecomputedTokens, aUsage->recomputed_tokens);
  }

  /// Short contexts are computed sooner than they are moved.
  void OfferToKeep(const HeldRun& aRun,
                   const std::optional<AnswerUsage>& aUsage)
  {
    if (m_chain.size() < kMinKeptBlocks) {
      return;
    }
    const Admitted& place = aRun.Place();
    wire::ExportOffer offer;
    offer.target = place.target;
    offer.fencing = place.permit.epoch;
    offer.account = m_scope.account;
    for (const core::ContextKey& key : m_chain) {
      offer.keys.push_back(RawKey(key));
    }
    offer.tokens = static_cast<std::uint32_t>(m_chain.size()) * kTokensPerBlock;
    offer.recompute_price = m_recompute_price;
    const bool missing =
      place.plan.import && aUsage && aUsage->imported_tokens == 0;
    std::optional<core::StoredCopy> copy;
    if (missing) {
      copy = place.plan.import;
    }
    asio::post(m_thread.control.Context(),
               [&control = m_thread.control,
                offered = std::move(offer),
                wrong = std::move(copy)]() mutable {
                 if (wrong) {
                   control.Entry().ReportMissing(*wrong);
                 }
                 control.Entry().OfferToKeep(std::move(offered));
               });
  }

  /// A stream that has begun can only go on where it was.
  [[nodiscard]] bool CanGoOn() const
  {
    return !m_exchange.HasStarted() || m_progress.CanResume();
  }

  asio::awaitable<void> Refuse(net::ApiError aError)
  {
    co_await m_claim.Refused(aError.run_state);
    if (!m_exchange.HasStarted()) {
      co_await SendError(m_exchange, aError);
      co_return;
    }
    // Without the end mark the caller sees that the answer is not whole.
    const std::string event = "data: " + net::RenderBody(aError) + "\n\n";
    co_await m_exchange.WriteChunk(event);
    co_await m_exchange.EndStream();
  }

  TrafficThread& m_thread;
  net::HttpExchange& m_exchange;
  net::CompletionRequest m_request;
  core::ContextScope m_scope;
  core::ContextScope m_key_scope; ///< For the names of blocks.
  std::vector<core::ContextKey> m_chain;
  std::size_t m_prompt_bytes; ///< The text itself is kept in the body only.
  Attempts m_attempts;
  RequestClaim m_claim;
  std::int32_t m_priority;
  double m_recompute_price; ///< Seconds a token.
  StreamProgress m_progress;
  std::uint32_t m_tokens_noted = 0;
  core::Instant m_last_token_at{};
};

/// @return the error, if there is no memory to parse the body and to send it.
std::optional<net::ApiError>
ReserveParsed(TrafficThread& aThread, net::HttpExchange& aExchange)
{
  const std::string& body = aExchange.Request().body;
  // The fields that belong to the context's name are copied.
  const std::size_t bytes =
    2 * net::JsonMemoryBound(body) + kTextCopies * body.size();
  if (aExchange.Reserve(bytes)) {
    return std::nullopt;
  }
  net::ApiError error = net::OverloadError();
  if (bytes > aThread.memory->MaxRequestBytes()) {
    error.status = 413;
    error.message = "The request takes " + std::to_string(bytes) +
                    " bytes of memory, more than this instance has for one.";
    error.code = "body_too_large";
    error.retry_after.reset();
  }
  return error;
}

/// Takes the body away from the exchange: a long prompt is kept once, parsed.
std::variant<net::CompletionRequest, net::ApiError>
ParseBody(net::HttpExchange& aExchange)
{
  const std::string body = aExchange.TakeBody();
  return net::ParseCompletion(aExchange.Request().Path(), body);
}

} // namespace

asio::awaitable<void>
ServeCompletion(TrafficThread& aThread,
                net::HttpExchange& aExchange,
                const Caller& aCaller)
{
  auto overload = ReserveParsed(aThread, aExchange);
  if (overload) {
    co_await SendError(aExchange, std::move(*overload));
    co_return;
  }
  auto parsed = ParseBody(aExchange);
  if (auto* error = std::get_if<net::ApiError>(&parsed)) {
    co_await SendError(aExchange, *error);
    co_return;
  }
  auto& request = std::get<net::CompletionRequest>(parsed);
  const core::TableRow* row =
    aCaller.table->table.Find(aCaller.account, request.model);
  if (row == nullptr) {
    net::ApiError unknown = NoSuchModel(request.model);
    co_await SendError(aExchange, std::move(unknown));
    co_return;
  }
  CompletionRun run(aThread, aExchange, aCaller, std::move(request), *row);
  co_await run.Serve();
}

} // namespace jujubehead::node
