#ifndef JUJUBEHEAD_NET_FAKE_HTTP_CLIENT_HPP
#define JUJUBEHEAD_NET_FAKE_HTTP_CLIENT_HPP

#include <deque>   // for deque
#include <utility> // for move
#include <variant> // for variant
#include <vector>  // for vector

#include "jujubehead/net/http_client.hpp" // for HttpClient

namespace jujubehead::net {

/// @brief Answers calls from a list, for tests.
class FakeHttpClient : public HttpClient
{
public:
  using Reply = std::variant<HttpResponse, HttpCallError>;

  void Next(unsigned aStatus, std::string aBody)
  {
    HttpResponse response;
    response.status = aStatus;
    response.body = std::move(aBody);
    m_replies.emplace_back(std::move(response));
  }
  void NextFails(bool aDispatched)
  {
    m_replies.emplace_back(HttpCallError("cut off", aDispatched));
  }
  [[nodiscard]] const std::vector<HttpCall>& Calls() const { return m_calls; }

  boost::asio::awaitable<HttpResponse> Fetch(HttpCall aCall) override
  {
    m_calls.push_back(std::move(aCall));
    Reply reply = std::move(m_replies.front());
    m_replies.pop_front();
    if (const auto* error = std::get_if<HttpCallError>(&reply)) {
      throw HttpCallError(*error);
    }
    co_return std::get<HttpResponse>(std::move(reply));
  }
  boost::asio::awaitable<std::unique_ptr<HttpStream>> Open(
    HttpCall /*aCall*/) override
  {
    throw HttpCallError("no streams here", false);
  }

private:
  std::deque<Reply> m_replies;
  std::vector<HttpCall> m_calls;
};

} // namespace jujubehead::net

#endif // JUJUBEHEAD_NET_FAKE_HTTP_CLIENT_HPP
