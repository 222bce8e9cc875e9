#include "standin/faces.hpp" // for MakeObjectsFace

#include <functional> // for hash
#include <map>        // for map

namespace jujubehead::standin {
namespace {

namespace asio = boost::asio;

class ObjectsFace final : public Face
{
public:
  [[nodiscard]] nlohmann::json Stats() const override
  {
    return { { "objects", m_objects.size() },
             { "puts", m_puts },
             { "gets", m_gets } };
  }

private:
  asio::awaitable<void> Handle(net::HttpExchange& aExchange) override
  {
    const net::HttpRequest& request = aExchange.Request();
    const std::string name(request.Path());
    if (request.method == "PUT") {
      co_await aExchange.Send(Put(name, request));
    } else if (request.method == "GET") {
      co_await aExchange.Send(Get(name));
    } else if (request.method == "DELETE") {
      m_objects.erase(name);
      co_await aExchange.Send(Empty(204));
    } else {
      co_await aExchange.Send(Empty(405));
    }
  }

  // Not made in the call itself: g++ 12 destroys an aggregate twice there.
  static net::HttpResponse Empty(unsigned aStatus)
  {
    net::HttpResponse response;
    response.status = aStatus;
    return response;
  }

  net::HttpResponse Put(const std::string& aName,
                        const net::HttpRequest& aRequest)
  {
    const bool only_new = aRequest.headers.Find("If-None-Match") == "*";
    if (only_new && m_objects.contains(aName)) {
      return { 412, {}, {} };
    }
    ++m_puts;
    m_objects[aName] = aRequest.body;
    return WithTag(aRequest.body, {});
  }

  net::HttpResponse Get(const std::string& aName)
  {
    ++m_gets;
    const auto found = m_objects.find(aName);
    if (found == m_objects.end()) {
      return { 404, {}, {} };
    }
    return WithTag(found->second, found->second);
  }

  static net::HttpResponse WithTag(const std::string& aContent,
                                   std::string aBody)
  {
    net::HttpResponse response;
    response.headers.Add(
      "ETag", '"' + std::to_string(std::hash<std::string>{}(aContent)) + '"');
    response.body = std::move(aBody);
    return response;
  }

  std::map<std::string, std::string> m_objects;
  std::uint64_t m_puts = 0;
  std::uint64_t m_gets = 0;
};

} // namespace

std::shared_ptr<Face>
MakeObjectsFace()
{
  return std::make_shared<ObjectsFace>();
}

} // namespace jujubehead::standin
