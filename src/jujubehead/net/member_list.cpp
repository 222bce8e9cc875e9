#include "jujubehead/net/member_list.hpp"

#include <array>    // for array
#include <optional> // for optional
#include <utility>  // for move, pair

#include <nlohmann/json.hpp> // for json

#include "jujubehead/core/table.hpp"      // for kServiceModelPrefix
#include "jujubehead/net/http_client.hpp" // for HttpClient, HttpCall

namespace jujubehead::net {
namespace {

using boost::asio::awaitable;
using Json = nlohmann::json;

constexpr unsigned kOk = 200;

constexpr std::array<std::pair<std::string_view, MemberKind>, 4> kKinds = { {
  { "instance", MemberKind::kInstance },
  { "target", MemberKind::kTarget },
  { "store", MemberKind::kStore },
  { "service", MemberKind::kService },
} };

std::optional<MemberKind>
KindOf(std::string_view aName)
{
  for (const auto& [name, kind] : kKinds) {
    if (name == aName) {
      return kind;
    }
  }
  return std::nullopt;
}

std::string
TextOf(const Json& aJson, const char* aName)
{
  const auto found = aJson.find(aName);
  return found != aJson.end() && found->is_string() ? found->get<std::string>()
                                                    : std::string();
}

std::optional<Member>
MemberOf(const Json& aJson)
{
  if (!aJson.is_object()) {
    return std::nullopt;
  }
  const std::optional<MemberKind> kind = KindOf(TextOf(aJson, "kind"));
  Member member;
  member.id = TextOf(aJson, "id");
  member.address = TextOf(aJson, "address");
  if (!kind || member.id.empty() || member.address.empty()) {
    return std::nullopt;
  }
  member.kind = *kind;
  member.peer_address = TextOf(aJson, "peer_address");
  member.data_centre = core::DataCentreId(TextOf(aJson, "data_centre"));
  member.service = TextOf(aJson, "service");
  member.model =
    core::ModelId(member.kind == MemberKind::kService
                    ? std::string(core::kServiceModelPrefix) + member.service
                    : TextOf(aJson, "model"));
  const auto fencing = aJson.find("checks_fencing");
  member.checks_fencing = fencing != aJson.end() && *fencing == true;
  member.leaving = TextOf(aJson, "state") == "leaving";
  return member;
}

class HttpMemberList : public MemberList
{
public:
  HttpMemberList(HttpClient& aClient,
                 std::string aAuthority,
                 core::Duration aTimeout)
    : m_client(aClient)
    , m_authority(std::move(aAuthority))
    , m_timeout(aTimeout)
  {
  }

  awaitable<Members> Read() override
  {
    HttpCall call;
    call.authority = m_authority;
    call.target = "/v1/members";
    call.idle_timeout = m_timeout;
    const HttpResponse response = co_await Fetch(std::move(call));
    if (response.status != kOk) {
      throw MemberListError("the membership list answered " +
                            std::to_string(response.status));
    }
    co_return ParseMembers(response.body);
  }

private:
  awaitable<HttpResponse> Fetch(HttpCall aCall)
  {
    try {
      co_return co_await m_client.Fetch(std::move(aCall));
    } catch (const HttpCallError& error) {
      throw MemberListError(std::string("the membership list: ") +
                            error.what());
    }
  }

  HttpClient& m_client;
  std::string m_authority;
  core::Duration m_timeout;
};

} // namespace

Members
ParseMembers(std::string_view aJson)
{
  try {
    const Json json = Json::parse(aJson);
    Members members;
    members.as_of_ms = json.at("as_of_ms").get<std::int64_t>();
    for (const Json& entry : json.at("members")) {
      if (std::optional<Member> member = MemberOf(entry)) {
        members.members.push_back(std::move(*member));
      }
    }
    return members;
  } catch (const Json::exception& error) {
    throw MemberListError(
      std::string("the membership list is not understood: ") + error.what());
  }
}

std::unique_ptr<MemberList>
MemberList::Create(HttpClient& aClient,
                   std::string aAuthority,
                   core::Duration aTimeout)
{
  return std::make_unique<HttpMemberList>(
    aClient, std::move(aAuthority), aTimeout);
}

} // namespace jujubehead::net
