#include "standin/faces.hpp" // for MakeServiceFace

#include <map>     // for map
#include <utility> // for move

namespace jujubehead::standin {
namespace {

namespace asio = boost::asio;
using nlohmann::json;

class ServiceFace final : public Face
{
public:
  explicit ServiceFace(ServiceOptions aOptions)
    : m_options(std::move(aOptions))
  {
  }

  [[nodiscard]] json Stats() const override
  {
    return { { "running", m_running },
             { "max_running_seen", m_max_running },
             { "calls_total", m_calls_total },
             { "calls", m_calls } };
  }

private:
  asio::awaitable<void> Handle(net::HttpExchange& aExchange) override
  {
    if (aExchange.Request().Path() == "/v1/load") {
      const json load{ { "as_of_ms", NowMs() }, { "running", m_running } };
      co_await Reply(aExchange, 200, load);
      co_return;
    }
    const json answer = Run(aExchange.Request());
    ++m_running;
    m_max_running = std::max(m_max_running, m_running);
    co_await Wait(std::chrono::milliseconds(m_options.work_ms));
    --m_running;
    if (TakeFault("lose_answers")) {
      aExchange.Close();
      co_return;
    }
    co_await Reply(aExchange, 200, answer);
  }

  json Run(const net::HttpRequest& aRequest)
  {
    const std::string id(aRequest.headers.Find("X-Request-Id").value_or(""));
    ++m_calls_total;
    const std::uint64_t calls = id.empty() ? 1 : ++m_calls[id];
    return { { "service", m_options.service },
             { "id", m_options.id },
             { "method", aRequest.method },
             { "path", aRequest.target },
             { "body", aRequest.body },
             { "request_id", id },
             { "calls", calls } };
  }

  ServiceOptions m_options;
  std::map<std::string, std::uint64_t> m_calls;
  std::uint64_t m_calls_total = 0;
  std::uint64_t m_running = 0;
  std::uint64_t m_max_running = 0;
};

} // namespace

std::shared_ptr<Face>
MakeServiceFace(ServiceOptions aOptions)
{
  return std::make_shared<ServiceFace>(std::move(aOptions));
}

} // namespace jujubehead::standin
