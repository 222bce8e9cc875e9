#ifndef JUJUBEHEAD_CORE_ROUTING_TARGET_BOOK_HPP
#define JUJUBEHEAD_CORE_ROUTING_TARGET_BOOK_HPP

#include <cstdint>  // for uint64_t, uint32_t
#include <map>      // for map
#include <optional> // for optional
#include <string>   // for string
#include <vector>   // for vector

#include "jujubehead/core/ids.hpp"                   // for TargetId, ModelId
#include "jujubehead/core/routing/configuration.hpp" // for ServiceId
#include "jujubehead/core/runtime_clock.hpp"         // for Instant

namespace jujubehead::core {

/// @brief A model that a target holds, and the version of its weights.
struct LoadedModel
{
  ModelId model;
  std::uint64_t version = 0;

  friend bool operator==(const LoadedModel&, const LoadedModel&) = default;
};

/// @brief A target, as it registered itself.
struct RegisteredTarget
{
  TargetId id; ///< Of one start of the target, as a rule.
  ServiceId service;
  std::string address; ///< `ip:port`.
  DataCentreId data_centre;
  std::uint32_t slots = 0; ///< Requests that it runs at once.
  bool leaving = false;    ///< Takes no new work.
  std::vector<LoadedModel> models;
  std::uint64_t born_ms = 0;   ///< Start, by its clock, since the epoch.
  std::uint64_t heartbeat = 0; ///< Number of its report since its start.

  /// @return the version of a model's weights; nothing when it has none.
  [[nodiscard]] std::optional<std::uint64_t> VersionOf(
    const ModelId& aModel) const;
};

/// @brief What is known of one registration.
struct RegistrationChange
{
  TargetId id;
  /// Nothing: the registration is gone.
  std::optional<RegisteredTarget> target;
};

/// @brief How long to believe in what may be out of date.
struct TargetBookOptions
{
  /// After the registry was away, registrations that lapsed meanwhile come
  /// back within about 2 s; the rest is for the delay of the answers.
  Duration return_time = std::chrono::milliseconds(2200);
  /// For how long a late report of a target that is gone is told from a new
  /// one; longer than calls to the registry can be under way.
  Duration memory_time = std::chrono::seconds(60);
};

/// @brief The targets that are registered, over outages of the registry.
///
/// Registrations that vanish while the registry is away, or just after, are
/// believed to be alive until `return_time` after it came back. A registration
/// that vanishes while the registry is well is gone at once. A target that said
/// once that it leaves stays leaving until it starts anew.
///
/// @code
/// TargetBook book({});
/// book.OnAnswer(now);
/// book.Apply(changes, now);
/// for (const RegisteredTarget& target : book.Targets()) { ... }
/// @endcode
class TargetBook
{
public:
  explicit TargetBook(TargetBookOptions aOptions);

  /// @brief The registry answered a read.
  void OnAnswer(Instant aNow);
  /// @brief A read got no answer: the registry may let go of targets that are
  /// alive.
  void OnSilence() { m_is_away = true; }
  /// @brief Applies changes in the order in which the registry made them.
  /// Reports older than what is known are passed over.
  /// @return whether what Targets() returns has changed.
  bool Apply(const std::vector<RegistrationChange>& aChanges, Instant aNow);
  /// @brief Replaces all that is known by the whole registry as of one moment.
  bool Replace(const std::vector<RegisteredTarget>& aAll, Instant aNow);
  /// @brief Drops what was believed alive and did not come back in time.
  /// @return whether what Targets() returns has changed.
  bool Tick(Instant aNow);

  [[nodiscard]] std::vector<RegisteredTarget> Targets() const;
  /// @return the number of targets whose registration has lapsed.
  [[nodiscard]] std::size_t Lapsed() const;

private:
  struct Entry
  {
    RegisteredTarget target;
    std::optional<Instant> lapsed_until;
  };
  struct Gone
  {
    RegisteredTarget target; ///< As it was last known.
    Instant since;
  };

  bool Put(RegisteredTarget aTarget);
  [[nodiscard]] bool IsLateReport(const RegisteredTarget& aTarget) const;
  bool Remove(const TargetId& aId, Instant aNow);
  [[nodiscard]] bool IsReturning(Instant aNow) const;

  TargetBookOptions m_options;
  std::map<TargetId, Entry> m_entries;
  std::map<TargetId, Gone> m_gone;
  bool m_is_away = false;
  std::optional<Instant> m_returned; ///< After its last absence.
};

} // namespace jujubehead::core

#endif // JUJUBEHEAD_CORE_ROUTING_TARGET_BOOK_HPP
