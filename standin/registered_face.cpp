#include "standin/faces.hpp" // for MakeRegisteredFace

#include <chrono>  // for steady_clock
#include <deque>   // for deque
#include <utility> // for move

#include "jujubehead/net/http_client.hpp" // for HttpClient

namespace jujubehead::standin {
namespace {

namespace asio = boost::asio;
using nlohmann::json;

constexpr unsigned kMisdirected = 421;
constexpr unsigned kUnavailable = 503;

std::string
HeaderOf(const net::HttpRequest& aRequest, const char* aName)
{
  return std::string(aRequest.headers.Find(aName).value_or(""));
}

std::string
EventText(std::uint64_t aNumber, const std::string& aSoftwareVersion)
{
  const std::string number = std::to_string(aNumber);
  const std::string suffix =
    aSoftwareVersion.empty() ? "" : " of " + aSoftwareVersion;
  return "id: " + number + "\ndata: token" + number + suffix + "\n\n";
}

/// A target of the operators' platform: a model engine when it has a model,
/// else a plain service.
class RegisteredFace final : public Face
{
public:
  RegisteredFace(asio::io_context& aContext, RegisteredOptions aOptions)
    : m_options(std::move(aOptions))
    , m_client(net::HttpClient::Create(aContext))
  {
  }

  [[nodiscard]] json Stats() const override
  {
    return { { "runs", m_runs },
             { "cut", m_cut },
             { "arrived", m_arrived },
             { "version", m_options.version },
             { "orders", m_orders } };
  }

private:
  asio::awaitable<void> Handle(net::HttpExchange& aExchange) override
  {
    const std::string path(aExchange.Request().Path());
    if (path == "/report") {
      const json report = Report();
      co_await Reply(aExchange, 200, report);
    } else if (path == "/order") {
      co_await TakeOrder(aExchange);
    } else {
      co_await TakeRequest(aExchange);
    }
  }

  json Report() const
  {
    const json model = { { "name", m_options.model },
                         { "version", m_options.version } };
    return { { "models", json::array({ model }) },
             { "busy", false },
             { "sequence", m_orders.size() },
             { "queued", 0 },
             { "active", m_active } };
  }

  asio::awaitable<void> TakeOrder(net::HttpExchange& aExchange)
  {
    if (Fault("busy") != nullptr) {
      // As while another order is under way that does not end.
      co_await Reply(aExchange, 409, json::object());
      co_return;
    }
    const json order = json::parse(aExchange.Request().body, nullptr, false);
    // Carried out late; whoever gave it has stopped waiting for the answer.
    const std::chrono::milliseconds delay = OrderDelay();
    co_await Wait(delay);
    const bool is_fresh =
      order.value("expected_rev", std::uint64_t(0)) == m_orders.size();
    if (is_fresh) {
      m_orders.push_back(order);
      m_options.version = order.value("version", std::uint64_t(0));
    }
    co_await Reply(aExchange, is_fresh ? 202 : 409, json::object());
  }

  /// @return how late the next order is carried out: `ms`, or, after as many as
  /// `slow` says, `later_ms`.
  std::chrono::milliseconds OrderDelay()
  {
    const json* const fault = Fault("late_orders");
    if (fault == nullptr) {
      return {};
    }
    const bool is_slow =
      !fault->contains("slow") || m_late_orders++ < fault->value("slow", 0);
    const auto ms = fault->value(is_slow ? "ms" : "later_ms", std::int64_t(0));
    return std::chrono::milliseconds(ms);
  }

  net::HttpHeaders HeadersOf(const net::HttpRequest& aRequest) const
  {
    net::HttpHeaders headers;
    headers.Add("X-Attempt-Id", HeaderOf(aRequest, "X-Attempt-Id"));
    headers.Add("X-Server-Load", std::to_string(m_active) + ",0,8");
    if (!m_options.model.empty()) {
      headers.Add("X-Weight-Versions", std::to_string(m_options.version));
    }
    if (Fault("leaving") != nullptr) {
      headers.Add("Server-Leaving", "1");
    }
    // Without a number: not any more.
    if (const json* const limit = Fault("limit");
        limit != nullptr && limit->contains("per_second")) {
      headers.Add("Server-Limit", limit->at("per_second").get<std::string>());
    }
    if (const json* const brittle = Brittle();
        brittle != nullptr && !brittle->value("silent", false)) {
      headers.Add("Server-Brittle",
                  std::to_string(brittle->at("rejections").get<int>()));
    }
    return headers;
  }

  /// @return the status with which a request is refused; 0: it is not.
  unsigned Refusal(const net::HttpRequest& aRequest)
  {
    const std::string version = HeaderOf(aRequest, "X-Expect-Version");
    if (HeaderOf(aRequest, "X-Expect-Instance") != m_options.id ||
        (!version.empty() && version != std::to_string(m_options.version))) {
      return kMisdirected;
    }
    return TakeFault("refuse") ? kUnavailable : 0;
  }

  /// Set by `brittle`: runs `slots` requests, and falls over when it rejects
  /// more than `rejections` in a second. Without a number: not any more.
  [[nodiscard]] const json* Brittle() const
  {
    const json* const brittle = Fault("brittle");
    const bool is_set = brittle != nullptr && brittle->contains("rejections");
    return is_set ? brittle : nullptr;
  }

  /// @return whether a brittle target has no room for a request; one too many
  /// of these in a second ends it.
  bool RejectsForWantOfRoom()
  {
    const json* const brittle = Brittle();
    if (brittle == nullptr || m_active < brittle->at("slots").get<int>()) {
      return false;
    }
    const auto now = std::chrono::steady_clock::now();
    while (!m_rejections.empty() &&
           now - m_rejections.front() >= std::chrono::seconds(1)) {
      m_rejections.pop_front();
    }
    m_rejections.push_back(now);
    if (m_rejections.size() > brittle->at("rejections").get<std::size_t>()) {
      Crash();
    }
    return true;
  }

  asio::awaitable<void> TakeRequest(net::HttpExchange& aExchange)
  {
    const net::HttpRequest& request = aExchange.Request();
    ++m_arrived;
    if (m_options.on_arrival) {
      m_options.on_arrival(request);
    }
    net::HttpHeaders headers = HeadersOf(request);
    const json* const fault = Fault("push_back");
    const json push_back = fault != nullptr ? *fault : json();
    if (TakeFault("push_back")) {
      co_await PushBack(aExchange, push_back);
      co_return;
    }
    const unsigned refused = Refusal(request);
    const bool is_full = refused == 0 && RejectsForWantOfRoom();
    if (const unsigned status = is_full ? kUnavailable : refused) {
      headers.Add("X-Not-Executed", "1");
      net::HttpResponse refusal{ status, headers, "" };
      co_await aExchange.Send(std::move(refusal));
      co_return;
    }
    m_runs.push_back(Seen(request));
    if (IsPoison(request)) {
      const auto run_ms = Fault("crash_on")->value("after_ms", 0);
      co_await Wait(std::chrono::milliseconds(run_ms));
      Crash();
      aExchange.Close();
      co_return;
    }
    ++m_active;
    bool gone = false;
    aExchange.OnCallerGone([&] {
      gone = true;
      ++m_cut;
    });
    co_await Answer(aExchange, std::move(headers), gone);
    aExchange.OnCallerGone({});
    --m_active;
  }

  /// Refuses a request and asks for no more for some seconds; `bare`: without
  /// a word about its load.
  asio::awaitable<void> PushBack(net::HttpExchange& aExchange,
                                 const json& aFault)
  {
    net::HttpHeaders headers;
    if (aFault.value("bare", false)) {
      headers.Add("X-Attempt-Id",
                  HeaderOf(aExchange.Request(), "X-Attempt-Id"));
    } else {
      headers = HeadersOf(aExchange.Request());
    }
    headers.Add("X-Not-Executed", "1");
    headers.Add("Retry-After", aFault.at("seconds").get<std::string>());
    net::HttpResponse refusal{ kUnavailable, headers, "" };
    co_await aExchange.Send(std::move(refusal));
  }

  /// @return whether `crash_on` names this request: by its whole body
  /// (`body`), by a text in it (`text`), or by a part of its prompt (`part`).
  [[nodiscard]] bool IsPoison(const net::HttpRequest& aRequest) const
  {
    const json* const fault = Fault("crash_on");
    if (fault == nullptr) {
      return false;
    }
    if (const auto part = fault->find("part"); part != fault->end()) {
      const std::string parts = ',' + HeaderOf(aRequest, "X-Prompt-Prefix");
      return parts.find(',' + part->get<std::string>() + ':') !=
             std::string::npos;
    }
    const auto text = fault->find("text");
    return text != fault->end()
             ? aRequest.body.find(text->get<std::string>()) != std::string::npos
             : aRequest.body == fault->value("body", "");
  }

  static json Seen(const net::HttpRequest& aRequest)
  {
    json seen = { { "method", aRequest.method },
                  { "target", aRequest.target },
                  { "body", aRequest.body } };
    for (const net::HttpHeader& line : aRequest.headers.Lines()) {
      seen["lines"][line.name] = line.value;
    }
    return seen;
  }

  asio::awaitable<void> Answer(net::HttpExchange& aExchange,
                               net::HttpHeaders aHeaders,
                               const bool& aGone)
  {
    co_await Wait(FaultMs("mute"));
    if (TakeFault("lose_answers")) {
      aExchange.Close();
      co_return;
    }
    if (!TakeFault("unsigned")) {
      aHeaders.Add("X-Response-Seal", "seal." + m_options.id);
    }
    if (TakeFault("fail")) {
      net::HttpResponse failure{ 500, aHeaders, "failed\n" };
      co_await aExchange.Send(std::move(failure));
    } else if (m_options.model.empty()) {
      co_await Wait(std::chrono::milliseconds(m_options.work_ms));
      net::HttpResponse answer{ 200, aHeaders, "done by " + m_options.id };
      if (!aGone) {
        co_await aExchange.Send(std::move(answer));
      }
    } else {
      co_await Stream(aExchange, std::move(aHeaders), aGone);
    }
  }

  asio::awaitable<void> Stream(net::HttpExchange& aExchange,
                               net::HttpHeaders aHeaders,
                               const bool& aGone)
  {
    aHeaders.Add("Content-Type", "text/event-stream");
    const std::string last = HeaderOf(aExchange.Request(), "Last-Event-Id");
    std::uint64_t next = last.empty() ? 1 : std::stoull(last) + 1;
    const json* const breaks = Fault("break_after");
    const std::uint64_t break_at =
      breaks != nullptr ? breaks->value("events", std::uint64_t(0)) : 0;
    const json* const pause = Fault("pause_after");
    const json held = pause != nullptr ? *pause : json::object();
    const auto hold_at = held.value("events", std::uint64_t(0));
    const std::chrono::milliseconds hold(held.value("ms", 0));
    co_await aExchange.StartStream(200, std::move(aHeaders));
    for (; next <= m_options.events && !aGone; ++next) {
      const std::string event = EventText(next, m_options.software_version);
      if (break_at != 0 && next > break_at) {
        co_await aExchange.WriteChunk(event.substr(0, event.size() / 2));
        aExchange.Close();
        co_return;
      }
      co_await aExchange.WriteChunk(event);
      co_await Wait(std::chrono::milliseconds(m_options.work_ms));
      if (next == hold_at) {
        co_await Wait(hold);
      }
    }
    if (!aGone) {
      co_await KeepParts(aExchange.Request());
      co_await aExchange.EndStream();
    }
  }

  /// Tells the stores that a request names that its parts are whole there now.
  asio::awaitable<void> KeepParts(const net::HttpRequest& aRequest)
  {
    std::string places = HeaderOf(aRequest, "X-Kv-Save") + ",";
    std::string parts = HeaderOf(aRequest, "X-Prompt-Prefix") + ",";
    while (places.size() > 1) {
      const std::string place = places.substr(0, places.find(','));
      const std::string part = parts.substr(0, parts.find(','));
      places.erase(0, place.size() + 1);
      parts.erase(0, part.size() + 1);
      if (place == "-") {
        continue;
      }
      net::HttpCall call;
      call.authority = place;
      call.method = "POST";
      call.target = "/keep";
      call.body = HeaderOf(aRequest, "X-Cache-Salt") + "\n" + part;
      co_await m_client->Fetch(std::move(call));
    }
  }

  RegisteredOptions m_options;
  std::unique_ptr<net::HttpClient> m_client;
  json m_runs = json::array();
  json m_orders = json::array();
  std::uint64_t m_arrived = 0; ///< Requests, with the refused.
  std::int64_t m_active = 0;
  std::uint64_t m_cut = 0;
  int m_late_orders = 0;
  std::deque<std::chrono::steady_clock::time_point>
    m_rejections; ///< Of a second.
};

} // namespace

std::shared_ptr<Face>
MakeRegisteredFace(asio::io_context& aContext, RegisteredOptions aOptions)
{
  return std::make_shared<RegisteredFace>(aContext, std::move(aOptions));
}

} // namespace jujubehead::standin
