#ifndef JUJUBEHEAD_NET_TABLE_RETENTION_HPP
#define JUJUBEHEAD_NET_TABLE_RETENTION_HPP

#include <cstdint> // for uint64_t

#include <boost/asio/awaitable.hpp> // for awaitable

namespace jujubehead::net {

class ObjectStore;
class TableService;

namespace detail {

/// @brief Deletes entries and snapshots before a version, some pages of each,
/// oldest first. What is left is for the next call. Objects go before the items
/// that name them, so that none is left without a name.
/// @throws std::runtime_error when a service does not answer.
boost::asio::awaitable<void>
ForgetBefore(TableService& aService,
             ObjectStore& aStore,
             std::uint64_t aVersion);

} // namespace detail
} // namespace jujubehead::net

#endif // JUJUBEHEAD_NET_TABLE_RETENTION_HPP
