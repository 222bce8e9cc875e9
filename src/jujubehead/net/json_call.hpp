#ifndef JUJUBEHEAD_NET_JSON_CALL_HPP
#define JUJUBEHEAD_NET_JSON_CALL_HPP

#include <cstdint>     // for uint64_t
#include <functional>  // for function
#include <string>      // for string
#include <string_view> // for string_view

#include <boost/asio/awaitable.hpp> // for awaitable
#include <nlohmann/json.hpp>        // for json

#include "jujubehead/core/runtime_clock.hpp" // for Duration
#include "jujubehead/net/engine_client.hpp"  // for CacheEventPage
#include "jujubehead/net/http_client.hpp"    // for HttpClient, HttpCall

namespace jujubehead::net {

inline constexpr unsigned kStatusOk = 200;

/// @brief A call without a body.
HttpCall
JsonCall(std::string aAuthority,
         std::string aMethod,
         std::string aTarget,
         core::Duration aTimeout);
/// @brief A POST with a JSON body.
HttpCall
JsonPost(std::string aAuthority,
         std::string aTarget,
         core::Duration aTimeout,
         const nlohmann::json& aBody);

/// @brief Makes a call that must answer 200. @throws HttpCallError.
boost::asio::awaitable<std::string>
FetchOk(HttpClient& aClient, HttpCall aCall);

/// @brief Reads a reply's JSON.
/// @throws HttpCallError, dispatched, when it is not what was expected.
template<typename Reader>
auto
ReadJson(const std::string& aAuthority, std::string_view aText, Reader aReader)
{
  try {
    return aReader(nlohmann::json::parse(aText));
  } catch (const nlohmann::json::exception& error) {
    throw HttpCallError(aAuthority + " is not understood: " + error.what(),
                        true);
  }
}

/// @return the page of cache events of an engine or a store. Events that are
/// not understood are left out, which shows as a gap.
CacheEventPage
ParseCacheEvents(const nlohmann::json& aPage);

} // namespace jujubehead::net

#endif // JUJUBEHEAD_NET_JSON_CALL_HPP
