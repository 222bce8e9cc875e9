#ifndef JUJUBEHEAD_NODE_DIRECTORY_SERVICE_HPP
#define JUJUBEHEAD_NODE_DIRECTORY_SERVICE_HPP

#include <span>   // for span
#include <string> // for string
#include <vector> // for vector

#include <boost/asio/awaitable.hpp> // for awaitable

#include "jujubehead/core/context_key.hpp" // for ContextKey
#include "jujubehead/core/directory.hpp"   // for Directory
#include "jujubehead/wire/messages.hpp"    // for HoldersRequest, TargetHint

namespace jujubehead::node {

class MemberBook;
class PeerCalls;

/// @brief This instance's slice of the context directory, and the way to the
/// slices of others. The home of a context is found by its first key.
class DirectoryService
{
public:
  /// @param aPeers, aMembers outlive this.
  DirectoryService(PeerCalls& aPeers, const MemberBook& aMembers);

  /// @brief Asks the context's home who holds a prefix.
  /// @return no hints when the home does not answer in time.
  boost::asio::awaitable<wire::HoldersReply> FindHolders(
    std::vector<core::ContextKey> aKeys);
  /// @brief Tells the home of the first key.
  void Tell(wire::TargetHint aHint);
  void Tell(wire::StoreHint aHint);

  /// @brief The home's side of these.
  [[nodiscard]] wire::HoldersReply Answer(const wire::HoldersRequest& aAsk);
  void Learn(const wire::TargetHint& aHint);
  void Learn(const wire::StoreHint& aHint);

  /// @brief Drops the hints of a holder that has gone.
  void RemoveHolder(const core::Holder& aHolder)
  {
    m_slice.RemoveHolder(aHolder);
  }
  [[nodiscard]] std::size_t Size() const { return m_slice.Size(); }

private:
  template<typename Hint>
  void TellHome(Hint aHint);

  PeerCalls& m_peers;
  const MemberBook& m_members;
  core::Directory m_slice;
};

/// @return the key's bytes as they travel between instances.
std::string
RawKey(const core::ContextKey& aKey);

/// @return the key of those bytes; the all-zero key when they are none.
core::ContextKey
KeyOfRaw(std::string_view aRaw);

} // namespace jujubehead::node

#endif // JUJUBEHEAD_NODE_DIRECTORY_SERVICE_HPP
