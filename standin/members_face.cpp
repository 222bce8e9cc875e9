#include "standin/faces.hpp" // for MakeMembersFace

#include <deque> // for deque
#include <map>   // for map

namespace jujubehead::standin {
namespace {

namespace asio = boost::asio;
using nlohmann::json;

constexpr EpochMs kHistoryMs = 600'000;

class MembersFace final : public Face
{
public:
  explicit MembersFace(const json& aMembers)
  {
    for (const json& member : aMembers) {
      m_members[member.at("id").get<std::string>()] = member;
    }
    Record();
  }

  [[nodiscard]] json Stats() const override
  {
    return { { "members", m_members.size() }, { "reads", m_reads } };
  }

private:
  struct Version
  {
    EpochMs at = 0;
    json members;
  };

  asio::awaitable<void> Handle(net::HttpExchange& aExchange) override
  {
    const net::HttpRequest& request = aExchange.Request();
    const auto parts = PathParts(request);
    if (request.method == "GET" && request.Path() == "/v1/members") {
      ++m_reads;
      co_await Reply(aExchange, 200, Seen());
    } else if (parts.size() == 3 && parts[1] == "members") {
      Change(request, parts[2]);
      co_await Reply(aExchange, 200, json::object());
    } else {
      co_await ReplyError(aExchange, 404, "unknown_path");
    }
  }

  void Change(const net::HttpRequest& aRequest, const std::string& aId)
  {
    if (aRequest.method == "DELETE") {
      m_members.erase(aId);
    } else {
      json member = json::parse(aRequest.body);
      member["id"] = aId;
      m_members[aId] = std::move(member);
    }
    Record();
  }

  void Record()
  {
    json members = json::array();
    for (const auto& [id, member] : m_members) {
      members.push_back(member);
    }
    m_history.push_back({ NowMs(), std::move(members) });
    while (m_history.size() > 1 && m_history[1].at < NowMs() - kHistoryMs) {
      m_history.pop_front();
    }
  }

  [[nodiscard]] json Seen() const
  {
    const EpochMs as_of = NowMs() - FaultMs("lag").count();
    const Version* seen = &m_history.front();
    for (const Version& version : m_history) {
      seen = version.at <= as_of ? &version : seen;
    }
    return { { "as_of_ms", as_of }, { "members", seen->members } };
  }

  std::map<std::string, json> m_members;
  std::deque<Version> m_history;
  std::uint64_t m_reads = 0;
};

} // namespace

std::shared_ptr<Face>
MakeMembersFace(const json& aMembers)
{
  return std::make_shared<MembersFace>(aMembers);
}

} // namespace jujubehead::standin
