#include "standin/faces.hpp" // for MakePartsFace

#include <charconv> // for from_chars

namespace jujubehead::standin {
namespace {

namespace asio = boost::asio;
using nlohmann::json;

constexpr std::chrono::milliseconds kLookTime{ 5 };

/// A store of kept parts of prompts, as the operators' platform has one.
class PartsFace final : public Face
{
public:
  [[nodiscard]] json Stats() const override
  {
    return { { "events", m_events }, { "freed", m_freed } };
  }

private:
  asio::awaitable<void> Handle(net::HttpExchange& aExchange) override
  {
    const net::HttpRequest& request = aExchange.Request();
    const std::string path(request.Path());
    if (path == "/kv-events") {
      co_await TellEvents(aExchange);
    } else if (path == "/keep") {
      const std::size_t line = request.body.find('\n');
      const std::size_t colon = request.body.rfind(':');
      Add("+",
          request.body.substr(0, line),
          request.body.substr(line + 1, colon - line - 1),
          std::stoull(request.body.substr(colon + 1)));
      co_await Reply(aExchange, 200, json::object());
    } else if (path == "/kv-free") {
      const json order = json::parse(request.body, nullptr, false);
      for (const json& part : order.value("parts", json::array())) {
        m_freed.push_back(part);
        Add("-", part.at(0), part.at(1), 0);
      }
      co_await Reply(aExchange, 200, json::object());
    } else {
      co_await ReplyError(aExchange, 404, "no_such_call");
    }
  }

  asio::awaitable<void> TellEvents(net::HttpExchange& aExchange)
  {
    const std::string text = aExchange.Request().Query("since").value_or("0");
    std::uint64_t since = 0;
    std::from_chars(text.data(), text.data() + text.size(), since);
    for (int i = 0; i < 40 && m_events.size() <= since; ++i) {
      co_await Wait(kLookTime);
    }
    const json page = Page(since);
    co_await Reply(aExchange, 200, page);
  }

  json Page(std::uint64_t aSince) const
  {
    json events = json::array();
    for (std::uint64_t i = aSince; i < m_events.size(); ++i) {
      events.push_back(m_events[i]);
    }
    return { { "boot_epoch", 77 },
             { "next", m_events.size() },
             { "lost", false },
             { "clock_ms", NowMs() },
             { "events", events } };
  }

  void Add(const char* aSign,
           const std::string& aScope,
           const std::string& aPart,
           std::uint64_t aTokens)
  {
    m_events.push_back(json::array(
      { m_events.size() + 1, aSign, aScope, aPart, aTokens, "model" }));
  }

  json m_events = json::array();
  json m_freed = json::array();
};

} // namespace

std::shared_ptr<Face>
MakePartsFace()
{
  return std::make_shared<PartsFace>();
}

} // namespace jujubehead::standin
