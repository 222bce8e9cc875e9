#include "jujubehead/net/object_store.hpp"

#include <utility> // for move

#include "jujubehead/net/http_client.hpp" // for HttpClient, HttpCall

namespace jujubehead::net {
namespace {

using boost::asio::awaitable;

constexpr unsigned kNotFound = 404;
constexpr unsigned kPreconditionFailed = 412;

bool
IsSuccess(unsigned aStatus)
{
  return aStatus / 100 == 2;
}

class HttpObjectStore : public ObjectStore
{
public:
  HttpObjectStore(HttpClient& aClient,
                  std::string aAuthority,
                  std::string aBucket,
                  core::Duration aTimeout)
    : m_client(aClient)
    , m_authority(std::move(aAuthority))
    , m_bucket(std::move(aBucket))
    , m_timeout(aTimeout)
  {
  }

  awaitable<std::optional<std::string>> Get(std::string aKey) override
  {
    HttpResponse response = co_await Fetch(Call("GET", aKey));
    if (response.status == kNotFound) {
      co_return std::nullopt;
    }
    ThrowUnlessSuccess(response, aKey);
    co_return std::move(response.body);
  }

  awaitable<void> Put(std::string aKey, std::string aBytes) override
  {
    HttpCall call = Call("PUT", aKey);
    call.body = std::move(aBytes);
    const HttpResponse response = co_await Fetch(std::move(call));
    ThrowUnlessSuccess(response, aKey);
  }

  awaitable<PutOutcome> PutIfAbsent(std::string aKey,
                                    std::string aBytes) override
  {
    HttpCall call = Call("PUT", aKey);
    call.headers.Add("If-None-Match", "*");
    call.body = std::move(aBytes);
    const HttpResponse response = co_await Fetch(std::move(call));
    if (response.status == kPreconditionFailed) {
      co_return PutOutcome::kPresent;
    }
    ThrowUnlessSuccess(response, aKey);
    co_return PutOutcome::kWritten;
  }

  awaitable<void> Delete(std::string aKey) override
  {
    const HttpResponse response = co_await Fetch(Call("DELETE", aKey));
    if (response.status != kNotFound) {
      ThrowUnlessSuccess(response, aKey);
    }
  }

private:
  awaitable<HttpResponse> Fetch(HttpCall aCall)
  {
    try {
      co_return co_await m_client.Fetch(std::move(aCall));
    } catch (const HttpCallError& error) {
      throw ObjectStoreError(std::string("the object store: ") + error.what());
    }
  }

  [[nodiscard]] HttpCall Call(std::string aMethod,
                              const std::string& aKey) const
  {
    HttpCall call;
    call.authority = m_authority;
    call.method = std::move(aMethod);
    call.target = "/" + m_bucket + "/" + aKey;
    call.idle_timeout = m_timeout;
    return call;
  }

  static void ThrowUnlessSuccess(const HttpResponse& aResponse,
                                 const std::string& aKey)
  {
    if (!IsSuccess(aResponse.status)) {
      throw ObjectStoreError("the object store answered " +
                             std::to_string(aResponse.status) + " for " + aKey);
    }
  }

  HttpClient& m_client;
  std::string m_authority;
  std::string m_bucket;
  core::Duration m_timeout;
};

} // namespace

std::unique_ptr<ObjectStore>
ObjectStore::Create(HttpClient& aClient,
                    std::string aAuthority,
                    std::string aBucket,
                    core::Duration aTimeout)
{
  return std::make_unique<HttpObjectStore>(
    aClient, std::move(aAuthority), std::move(aBucket), aTimeout);
}

} // namespace jujubehead::net
