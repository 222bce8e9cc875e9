#ifndef JUJUBEHEAD_NET_STORE_CLIENT_HPP
#define JUJUBEHEAD_NET_STORE_CLIENT_HPP

#include <cstdint> // for uint64_t, int64_t
#include <string>  // for string

#include <boost/asio/awaitable.hpp> // for awaitable

#include "jujubehead/core/directory.hpp"     // for CopyId
#include "jujubehead/core/runtime_clock.hpp" // for Duration
#include "jujubehead/net/engine_client.hpp"  // for CacheEventPage

namespace jujubehead::net {

/// @brief What a store of kept KV cache says of itself. Bytes.
struct StoreLoad
{
  std::int64_t as_of_ms = 0; ///< Since the epoch, of the store's clock.
  std::uint64_t memory_used = 0;
  std::uint64_t memory_total = 0;
  std::uint64_t disk_used = 0;
  std::uint64_t disk_total = 0;
  std::uint64_t link_bytes = 0; ///< Carried since it started.
};

/// @brief The control calls to one store; engines carry the blocks themselves.
/// All of them throw HttpCallError.
class StoreClient
{
public:
  /// @param aClient must outlive this object.
  /// @param aAuthority `address:port`.
  StoreClient(HttpClient& aClient,
              std::string aAuthority,
              core::Duration aTimeout = std::chrono::seconds(2));

  [[nodiscard]] const std::string& Authority() const { return m_authority; }

  boost::asio::awaitable<StoreLoad> Load();
  /// @param aAfter number of the last event that is known; 0: none.
  boost::asio::awaitable<CacheEventPage> EventsAfter(std::uint64_t aAfter);
  /// @brief Deletes a copy; also right for one that is not there.
  boost::asio::awaitable<void> Delete(core::CopyId aCopy);

private:
  HttpClient& m_client;
  std::string m_authority;
  core::Duration m_timeout;
};

} // namespace jujubehead::net

#endif // JUJUBEHEAD_NET_STORE_CLIENT_HPP
