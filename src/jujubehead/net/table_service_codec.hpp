#ifndef JUJUBEHEAD_NET_TABLE_SERVICE_CODEC_HPP
#define JUJUBEHEAD_NET_TABLE_SERVICE_CODEC_HPP

#include <cstddef>     // for size_t
#include <optional>    // for optional
#include <string>      // for string
#include <string_view> // for string_view
#include <vector>      // for vector

#include "jujubehead/net/http_message.hpp"  // for HttpResponse
#include "jujubehead/net/table_service.hpp" // for Item, Transaction

namespace jujubehead::net::detail {

/// @return the body of a `GetItem`, `Query` or `TransactWriteItems` call.
std::string
GetBody(const ItemKey& aKey);
std::string
QueryBody(std::string_view aPk, std::string_view aAfterSk, std::size_t aLimit);
std::string
TransactBody(const Transaction& aTransaction);

/// @return what a reply says. @throws TableServiceError when it is no reply of
/// that call.
std::optional<Item>
ItemOfGet(const HttpResponse& aResponse);
std::vector<Item>
ItemsOfQuery(const HttpResponse& aResponse);

/// @return what a reply says of a write; UnknownOutcome when it is not clear.
TransactOutcome
OutcomeOf(const HttpResponse& aResponse);

} // namespace jujubehead::net::detail

#endif // JUJUBEHEAD_NET_TABLE_SERVICE_CODEC_HPP
