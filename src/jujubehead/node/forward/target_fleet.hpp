#ifndef JUJUBEHEAD_NODE_FORWARD_TARGET_FLEET_HPP
#define JUJUBEHEAD_NODE_FORWARD_TARGET_FLEET_HPP

#include <cstdint>       // for uint64_t
#include <map>           // for map
#include <memory>        // for shared_ptr
#include <optional>      // for optional
#include <set>           // for set
#include <unordered_map> // for unordered_map
#include <vector>        // for vector

#include <boost/asio/ip/tcp.hpp> // for tcp

#include "jujubehead/core/routing/load_estimate.hpp"    // for LoadEstimate
#include "jujubehead/core/routing/load_news.hpp"        // for HeardLoad
#include "jujubehead/core/routing/target_book.hpp"      // for RegisteredTarget
#include "jujubehead/core/routing/target_health.hpp"    // for TargetHealth
#include "jujubehead/net/http1/outbound_connection.hpp" // for OutboundConnection

namespace jujubehead::node {

/// @brief A target as the traffic thread knows it.
struct FleetTarget
{
  core::RegisteredTarget target;
  std::uint64_t name_hash = 0; ///< For placement.
  boost::asio::ip::tcp::endpoint endpoint;
  core::TargetHealth health;
  core::LoadEstimate load;
  bool is_gone = false;        ///< Left the registry, or leaves.
  bool is_loading = false;     ///< Takes new weights just now.
  core::Instant last_heard{};  ///< When it last answered anything.
  core::Instant last_gone{};   ///< When another instance last found it gone.
  std::uint32_t streaming = 0; ///< Streams of this instance that run there.

  /// @return the version of a model's weights, by the newest word of it.
  [[nodiscard]] std::optional<std::uint64_t> VersionOf(
    const core::ModelId& aModel) const;
  /// @brief Another instance learned something of the target. That it is gone
  /// counts only if it is newer than its last answer to this instance.
  void OnReport(const core::HeardLoad& aReport, core::Instant aNow);
  /// @brief The target told a version itself.
  void OnVersion(const core::ModelId& aModel, std::uint64_t aVersion);

  /// @return a connection at rest for no longer than that; null when none is.
  std::shared_ptr<net::OutboundConnection> TakeResting(
    core::Duration aLongestRest);
  void PutResting(std::shared_ptr<net::OutboundConnection> aConnection);
  /// @brief Sets how long the target keeps a connection that rests.
  void OnKeepAlive(core::Duration aTime);
  void CloseResting();

private:
  std::map<core::ModelId, std::uint64_t> m_told;
  std::vector<std::shared_ptr<net::OutboundConnection>> m_resting;
  std::optional<core::Duration> m_keep_alive;
};

/// @brief All targets that are registered, over changes of the registry.
class TargetFleet
{
public:
  /// @brief Takes over what the registry holds now.
  void Update(const std::vector<core::RegisteredTarget>& aTargets);
  /// @brief Says which targets take new weights just now.
  void SetLoading(const std::set<core::TargetId>& aTargets);

  /// @return the targets of a service that take work.
  [[nodiscard]] std::vector<std::shared_ptr<FleetTarget>> Of(
    const core::ServiceId& aService) const;
  [[nodiscard]] std::shared_ptr<FleetTarget> Find(
    const core::TargetId& aId) const;
  [[nodiscard]] std::shared_ptr<FleetTarget> FindByKey(
    core::TargetKey aKey) const;
  [[nodiscard]] bool IsEmpty() const { return m_targets.empty(); }

private:
  std::map<core::TargetId, std::shared_ptr<FleetTarget>> m_targets;
  std::unordered_map<core::ServiceId, std::vector<std::shared_ptr<FleetTarget>>>
    m_by_service;
  std::unordered_map<core::TargetKey, std::shared_ptr<FleetTarget>> m_by_key;
  std::set<core::TargetId> m_loading;
  std::unordered_map<core::ServiceId, std::shared_ptr<core::UsualLoad>> m_usual;
};

} // namespace jujubehead::node

#endif // JUJUBEHEAD_NODE_FORWARD_TARGET_FLEET_HPP
