#ifndef JUJUBEHEAD_NODE_TABLE_WATCH_HPP
#define JUJUBEHEAD_NODE_TABLE_WATCH_HPP

#include <functional> // for function
#include <memory>     // for unique_ptr
#include <optional>   // for optional
#include <string>     // for string

#include <boost/asio/awaitable.hpp> // for awaitable

#include "jujubehead/core/table_follower.hpp" // for TableFollower
#include "jujubehead/net/table_log.hpp"       // for TableLog
#include "jujubehead/node/snapshot_pages.hpp" // for SnapshotPages
#include "jujubehead/wire/messages.hpp" // for TablePageRequest, TablePageReply

namespace jujubehead::node {

class MemberBook;
class PeerCalls;

/// @brief Keeps the operators' table of this instance up, on the control
/// thread: from the table service, or at a start without it from peers.
class TableWatch
{
public:
  /// @param aLog, aPeers, aMembers outlive this.
  /// @param aOnChange called after each change of what is in force.
  TableWatch(net::TableLog& aLog,
             PeerCalls& aPeers,
             const MemberBook& aMembers,
             std::function<void()> aOnChange);

  /// @brief Follows for as long as the context runs.
  boost::asio::awaitable<void> Run();

  [[nodiscard]] const core::TableView& View() const
  {
    return m_follower.View();
  }
  /// @return why the table does not allow serving yet; nothing: it does.
  [[nodiscard]] std::optional<std::string> NotReady() const
  {
    return m_follower.NotReady();
  }

  /// @brief What peers are told.
  [[nodiscard]] wire::TableHead Head() const;
  [[nodiscard]] wire::TablePageReply Page(const wire::TablePageRequest& aAsk);

private:
  void GiveBackMemory();
  boost::asio::awaitable<void> AskPeers();
  boost::asio::awaitable<void> AskHead(core::InstanceId aPeer);
  boost::asio::awaitable<std::optional<std::string>> AskSnapshot(
    core::InstanceId aPeer);

  net::TableLog& m_log;
  PeerCalls& m_peers;
  const MemberBook& m_members;
  std::function<void()> m_on_change;
  core::TableFollower m_follower;
  SnapshotPages m_pages;
  core::Instant m_gave_back_at; ///< When memory was last given back.
};

} // namespace jujubehead::node

#endif // JUJUBEHEAD_NODE_TABLE_WATCH_HPP
