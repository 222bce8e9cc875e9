#ifndef JUJUBEHEAD_STANDIN_ENGINE_TRANSFER_HPP
#define JUJUBEHEAD_STANDIN_ENGINE_TRANSFER_HPP

#include <string> // for string
#include <vector> // for vector

#include <boost/asio/awaitable.hpp> // for awaitable
#include <nlohmann/json.hpp>        // for json

#include "jujubehead/net/http_client.hpp" // for HttpClient

#include "standin/completion_json.hpp" // for ImportOrder

namespace jujubehead::standin {

/// @brief What a store gave; without keys when it gave nothing.
struct FetchedPiece
{
  std::vector<std::string> keys;
  std::string salt;
};

/// @brief Fetches a kept piece from a store. Never throws.
boost::asio::awaitable<FetchedPiece>
FetchPiece(net::HttpClient& aClient, ImportOrder aOrder);

/// @brief Begins and commits a piece at the store that the order names.
/// @return the store's status, 502 when it cannot be reached. Never throws.
boost::asio::awaitable<unsigned>
SendPiece(net::HttpClient& aClient,
          const nlohmann::json& aOrder,
          const nlohmann::json& aPiece);

} // namespace jujubehead::standin

#endif // JUJUBEHEAD_STANDIN_ENGINE_TRANSFER_HPP
