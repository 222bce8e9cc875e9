#ifndef JUJUBEHEAD_CORE_ROUTING_TARGET_DIRECTORY_HPP
#define JUJUBEHEAD_CORE_ROUTING_TARGET_DIRECTORY_HPP

#include <cstddef>  // for size_t
#include <cstdint>  // for uint64_t, uint32_t
#include <map>      // for map
#include <optional> // for optional
#include <set>      // for set
#include <string>   // for string
#include <vector>   // for vector

#include "jujubehead/core/ids.hpp"                   // for TargetId, ModelId
#include "jujubehead/core/routing/configuration.hpp" // for ServiceId
#include "jujubehead/core/runtime_clock.hpp"         // for Instant

namespace jujubehead::core {

/// @brief A model that a target has loaded, and the version of its weights.
struct LoadedModel
{
  ModelId model;
  std::uint64_t version = 0;

  friend bool operator==(const LoadedModel&, const LoadedModel&) = default;
};

/// @brief A target as it registered itself.
struct RegisteredTarget
{
  TargetId id; ///< Usually different for each start of the target.
  ServiceId service;
  std::string address; ///< `ip:port`.
  DataCentreId data_centre;
  std::uint32_t slots = 0; ///< Requests that it runs concurrently.
  bool leaving = false;    ///< Draining: takes no new requests.
  /// Of the target itself, not of its weights; empty: unknown.
  std::string software_version;
  std::vector<LoadedModel> models;
  std::uint64_t started_ms = 0; ///< Start time since the epoch, by its clock.
  std::uint64_t heartbeat = 0;  ///< Sequence number of its report since start.
  /// How much longer it stays cold, as of the report; 0: it is not cold.
  Duration cold_left{};
  /// The latest end of its cold period, by this instance's clock; set by
  /// TargetDirectory.
  Instant cold_until{};

  /// @return the version of a model's weights; nothing when it has none.
  [[nodiscard]] std::optional<std::uint64_t> VersionOf(
    const ModelId& aModel) const;
};

/// @brief An update of one registration.
struct RegistrationChange
{
  TargetId id;
  /// Nothing: the registration is gone.
  std::optional<RegisteredTarget> target;
};

/// @brief How long possibly outdated registrations are kept.
struct TargetDirectoryOptions
{
  /// After a registry outage, targets whose registration expired meanwhile
  /// register again within about 2 s; the rest is for the delay of responses.
  Duration reregistration_time = std::chrono::milliseconds(2200);
  /// How long removed targets are remembered to recognise late reports of them;
  /// longer than a call to the registry can take.
  Duration removed_retention = std::chrono::seconds(60);
};

/// @brief The registered targets, kept across outages of the registry.
///
/// Registrations that disappear during a registry outage, or just after it, are
/// kept until `reregistration_time` after its end. A registration that
/// disappears while the registry is available is removed at once. A target that
/// once reported that it is draining stays so until it restarts.
///
/// @code
/// TargetDirectory book({});
/// book.OnAnswer(now);
/// book.Apply(changes, now);
/// for (const RegisteredTarget& target : book.Targets()) { ... }
/// @endcode
class TargetDirectory
{
public:
  explicit TargetDirectory(TargetDirectoryOptions aOptions);

  /// @brief The registry answered a read.
  void OnAnswer(Instant aNow);
  /// @brief A read got no response: the registrations of running targets may
  /// expire.
  void OnNoResponse() { m_is_unavailable = true; }
  /// @brief Applies changes in the order in which the registry made them.
  /// Reports older than the known ones are ignored.
  /// @return whether the result of Targets() has changed.
  bool Apply(const std::vector<RegistrationChange>& aChanges, Instant aNow);
  /// @brief Replaces all registrations by a snapshot of the registry.
  bool Replace(const std::vector<RegisteredTarget>& aAll, Instant aNow);
  /// @brief Removes expired registrations that were not renewed in time.
  /// @return whether the result of Targets() has changed.
  bool Tick(Instant aNow);

  [[nodiscard]] std::vector<RegisteredTarget> Targets() const;
  /// @return how the result of Targets() has changed since the last call, each
  /// target once. Costs as much as there are changes, however many targets.
  [[nodiscard]] std::vector<RegistrationChange> TakeChanges();
  [[nodiscard]] std::size_t Size() const { return m_entries.size(); }
  /// @return the number of targets that are draining.
  [[nodiscard]] std::size_t LeavingCount() const { return m_leaving; }
  /// @return the number of targets whose registration has expired.
  [[nodiscard]] std::size_t ExpiredCount() const { return m_expired; }

private:
  struct Entry
  {
    RegisteredTarget target;
    std::optional<Instant> kept_until; ///< Set once the registration expired.
  };
  struct Removed
  {
    RegisteredTarget target; ///< Its last known state.
    Instant since;
  };

  bool Put(RegisteredTarget aTarget, Instant aNow);
  [[nodiscard]] bool IsLateReport(const RegisteredTarget& aTarget) const;
  bool Remove(const TargetId& aId, Instant aNow);
  [[nodiscard]] bool IsReregistering(Instant aNow) const;
  /// @brief Adds an entry to the counts, or takes it off, around its change.
  void Count(const Entry& aEntry);
  void Uncount(const Entry& aEntry);

  TargetDirectoryOptions m_options;
  std::map<TargetId, Entry> m_entries;
  std::map<TargetId, Removed> m_removed;
  std::set<TargetId> m_changed; ///< Since the last TakeChanges().
  std::size_t m_leaving = 0;
  std::size_t m_expired = 0;
  bool m_is_unavailable = false;
  std::optional<Instant> m_outage_end; ///< Of the registry's last outage.
};

} // namespace jujubehead::core

#endif // JUJUBEHEAD_CORE_ROUTING_TARGET_DIRECTORY_HPP
