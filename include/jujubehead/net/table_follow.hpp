#ifndef JUJUBEHEAD_NET_TABLE_FOLLOW_HPP
#define JUJUBEHEAD_NET_TABLE_FOLLOW_HPP

#include <functional> // for function
#include <optional>   // for optional
#include <string>     // for string

#include <boost/asio/awaitable.hpp> // for awaitable

#include "jujubehead/core/ids.hpp"            // for InstanceId
#include "jujubehead/core/table_follower.hpp" // for TableFollower

namespace jujubehead::net {

class TableLog;

/// Asks a peer for its snapshot in CBOR; nothing when it did not come.
using AskPeerSnapshot =
  std::function<boost::asio::awaitable<std::optional<std::string>>(
    core::InstanceId aPeer)>;

/// @brief Takes the follower's next step, and only one. Throws nothing that a
/// service or a peer may cause.
/// @return when to come again, at the latest.
boost::asio::awaitable<core::Instant>
FollowOnce(TableLog& aLog,
           core::TableFollower& aFollower,
           const AskPeerSnapshot& aAskPeer);

} // namespace jujubehead::net

#endif // JUJUBEHEAD_NET_TABLE_FOLLOW_HPP
