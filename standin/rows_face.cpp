#include "standin/faces.hpp" // for MakeRowsFace

#include <charconv> // for from_chars
#include <map>      // for map
#include <utility>  // for pair

namespace jujubehead::standin {
namespace {

namespace asio = boost::asio;
using nlohmann::json;

constexpr std::chrono::milliseconds kLookTime{ 5 };

std::uint64_t
NumberOf(const std::string& aText)
{
  std::uint64_t number = 0;
  std::from_chars(aText.data(), aText.data() + aText.size(), number);
  return number;
}

/// A store of rows with versions, as the operators' platform has one: reads,
/// waits for changes, and writes under conditions.
class RowsFace final : public Face
{
public:
  [[nodiscard]] json Stats() const override
  {
    return { { "version", m_version }, { "calls", m_calls } };
  }

private:
  using Name = std::pair<std::string, std::string>; // Table and key.

  struct Row
  {
    std::string value;
    std::uint64_t version = 0;
    bool is_gone = false;
  };

  asio::awaitable<void> Handle(net::HttpExchange& aExchange) override
  {
    ++m_calls;
    const net::HttpRequest& request = aExchange.Request();
    const std::string path(request.Path());
    const std::string table = request.Query("table").value_or("");
    if (TakeFault("turn_away")) {
      co_await ReplyError(aExchange, 503, "not_now");
      co_return;
    }
    if (path == "/rows-get") {
      const json page = Page(table, 0, false);
      co_await Reply(aExchange, 200, page);
    } else if (path == "/rows-feed") {
      co_await Feed(aExchange, table);
    } else if (path == "/rows-tx") {
      const json body = json::parse(request.body, nullptr, false);
      const bool is_done = body.is_object() && Apply(body);
      const json answer = Page("", m_version, false);
      co_await Reply(aExchange, is_done ? 200 : 412, answer);
    } else {
      co_await ReplyError(aExchange, 404, "no_such_call");
    }
  }

  asio::awaitable<void> Feed(net::HttpExchange& aExchange, std::string aTable)
  {
    const net::HttpRequest& request = aExchange.Request();
    const std::uint64_t after = NumberOf(request.Query("after").value_or(""));
    std::uint64_t left = NumberOf(request.Query("wait_ms").value_or(""));
    if (TakeFault("forget_history")) {
      co_await ReplyError(aExchange, 410, "history_lost");
      co_return;
    }
    json page = Page(aTable, after, true);
    while (page["rows"].empty() && left > 0) {
      co_await Wait(kLookTime);
      left -= std::min<std::uint64_t>(left, kLookTime.count());
      page = Page(aTable, after, true);
    }
    co_await Reply(aExchange, 200, page);
  }

  json Page(const std::string& aTable, std::uint64_t aAfter, bool aWithGone)
  {
    json rows = json::array();
    for (const auto& [name, row] : m_rows) {
      if (name.first != aTable || row.version <= aAfter ||
          (row.is_gone && !aWithGone)) {
        continue;
      }
      json one = { { "table", name.first },
                   { "part", "" },
                   { "key", name.second },
                   { "value", row.value },
                   { "ver", row.version } };
      if (row.is_gone) {
        one["tombstone"] = true;
      }
      rows.push_back(std::move(one));
    }
    return { { "rows", rows },
             { "truncated", false },
             { "ver", m_version },
             { "now_ms", NowMs() } };
  }

  static Name NameOf(const json& aRow)
  {
    return { aRow.value("table", ""), aRow.value("key", "") };
  }

  bool Apply(const json& aBody)
  {
    for (const json& expected : aBody.value("expected_rev", json::array())) {
      const auto found = m_rows.find(NameOf(expected));
      const bool is_there = found != m_rows.end() && !found->second.is_gone;
      const std::uint64_t version = is_there ? found->second.version : 0;
      if (version != expected.value("ver", std::uint64_t(0))) {
        return false;
      }
    }
    ++m_version;
    for (const json& put : aBody.value("put", json::array())) {
      m_rows[NameOf(put)] = { put.value("value", ""), m_version, false };
    }
    for (const json& gone : aBody.value("remove", json::array())) {
      m_rows[NameOf(gone)] = { "", m_version, true };
    }
    return true;
  }

  std::map<Name, Row> m_rows;
  std::uint64_t m_version = 0;
  std::uint64_t m_calls = 0;
};

} // namespace

std::shared_ptr<Face>
MakeRowsFace()
{
  return std::make_shared<RowsFace>();
}

} // namespace jujubehead::standin
