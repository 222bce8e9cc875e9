#ifndef JUJUBEHEAD_NODE_TARGET_WATCH_HPP
#define JUJUBEHEAD_NODE_TARGET_WATCH_HPP

#include <cstdint>  // for uint64_t, int64_t
#include <map>      // for map
#include <optional> // for optional

#include <boost/asio/awaitable.hpp>  // for awaitable
#include <boost/asio/io_context.hpp> // for io_context

#include "jujubehead/core/ids.hpp"           // for TargetId
#include "jujubehead/core/runtime_clock.hpp" // for Instant
#include "jujubehead/net/engine_client.hpp"  // for EngineClient, EngineLoad
#include "jujubehead/net/member_list.hpp"    // for Member

namespace jujubehead::node {

class MemberBook;
class OwnerService;

/// @brief Reads what the owned targets say of themselves: load, versions, cache
/// events. Also tells each engine the fencing number of its new owner.
class TargetWatch
{
public:
  /// @param aClient, aMembers, aOwner outlive this.
  TargetWatch(boost::asio::io_context& aContext,
              net::HttpClient& aClient,
              const MemberBook& aMembers,
              OwnerService& aOwner);

  /// @brief Watches for as long as the context runs.
  boost::asio::awaitable<void> Run();

private:
  /// A point in time that is known on both clocks: the engine's report of
  /// `engine_ms` was made after `sent`.
  struct Anchor
  {
    core::Instant sent;
    std::int64_t engine_ms = 0;
  };
  struct Watched
  {
    bool polling = false;
    std::uint64_t last_event = 0;
    std::uint64_t epoch = 0;
    std::optional<core::Instant> fence_sent;
    std::optional<Anchor> anchor;
    int failures = 0;
  };

  boost::asio::awaitable<void> Poll(core::TargetId aTarget);
  boost::asio::awaitable<void> PollEngine(core::TargetId aTarget,
                                          net::EngineClient aEngine);
  boost::asio::awaitable<void> PollService(core::TargetId aTarget,
                                           std::string aAuthority);
  boost::asio::awaitable<void> Fence(core::TargetId aTarget,
                                     net::EngineClient& aEngine);
  void TakeLoad(const core::TargetId& aTarget, const net::EngineLoad& aLoad);
  void TakeEvents(const core::TargetId& aTarget,
                  const net::CacheEventPage& aPage);
  void Failed(const core::TargetId& aTarget);

  boost::asio::io_context& m_context;
  net::HttpClient& m_client;
  const MemberBook& m_members;
  OwnerService& m_owner;
  std::map<core::TargetId, Watched> m_watched;
};

} // namespace jujubehead::node

#endif // JUJUBEHEAD_NODE_TARGET_WATCH_HPP
