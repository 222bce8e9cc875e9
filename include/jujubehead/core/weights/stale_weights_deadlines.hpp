#ifndef JUJUBEHEAD_CORE_WEIGHTS_STALE_WEIGHTS_DEADLINES_HPP
#define JUJUBEHEAD_CORE_WEIGHTS_STALE_WEIGHTS_DEADLINES_HPP

#include <cstddef>  // for size_t
#include <cstdint>  // for uint64_t
#include <map>      // for map
#include <optional> // for optional
#include <string>   // for string

#include "jujubehead/core/ids.hpp"                      // for ModelId
#include "jujubehead/core/membership/store_outages.hpp" // for StoreOutages
#include "jujubehead/core/remote_clock.hpp"             // for RemoteMs
#include "jujubehead/core/runtime_clock.hpp"            // for Instant
#include "jujubehead/core/weights/rollout.hpp"          // for DesiredWeights

namespace jujubehead::core {

/// Announcements kept of a model. Versions that are announced in quick
/// succession overlap; the deadlines of older ones have passed.
inline constexpr std::size_t kMaxAnnouncements = 8;

/// @brief When versions of a model's weights were announced, on the clock of
/// the operators' store. Kept in that store, so that it survives restarts of
/// instances.
using AnnouncementRecord = std::map<std::uint64_t, RemoteMs>;

/// @brief Converts the record to text and back; invalid text gives an empty
/// one.
std::string
ToText(const AnnouncementRecord& aRecord);
AnnouncementRecord
AnnouncementRecordOf(const std::string& aText);

/// @brief Deadlines until which requests may start on older weights. They count
/// from the announcement of newer ones, across restarts of instances and
/// outages of the operators' store.
///
/// @code
/// StaleWeightsDeadlines weights({ seconds(10), seconds(14) });
/// weights.OnAnswer(asked, answered);
/// weights.OnRead(model, 2, true, answered);      // announcement time unknown
/// weights.OnRecorded(model, 2, announced, now);  // until the record is read
/// weights.OnRecordLoaded();
/// weights.Wanted(now).at(model).StartDeadline(1);
/// @endcode
class StaleWeightsDeadlines
{
public:
  explicit StaleWeightsDeadlines(AvailableTimeLimits aTime)
    : m_time(aTime)
  {
  }

  /// When a version was announced, as far as is known.
  struct Announcement
  {
    Instant when{};
    bool is_assumed = false; ///< Found at the start, without a record.
  };

  /// @brief A version was read; ignored unless newer than all known ones.
  /// @param aIsSnapshot it was read in a snapshot of all rows, not as a change.
  /// Then it was announced after the previous answer or, at the start, at an
  /// unknown time.
  /// @return whether it is new.
  bool OnRead(const ModelId& aModel,
              std::uint64_t aVersion,
              bool aIsSnapshot,
              Instant aAnswered);
  /// @brief A recorded announcement time was read. The earliest one counts; any
  /// replaces an assumed one. A time in the future comes from a clock that was
  /// replaced since, and is ignored.
  /// @return whether it changed anything.
  bool OnRecorded(const ModelId& aModel,
                  std::uint64_t aVersion,
                  Instant aWhen,
                  Instant aNow);
  /// @brief The whole record was read. Until then a version that was found at
  /// the start may have been announced at any time before.
  void OnRecordLoaded() { m_is_record_read = true; }
  /// @brief The store answered. To be called after OnRead() of that answer.
  /// @return whether calls had failed before it.
  bool OnAnswer(Instant aAsked, Instant aAnswered);
  void OnFailure(Instant aNow) { m_absences.OnFailure(aNow); }

  /// @return the versions of all models with their deadlines, assuming that the
  /// store stays reachable from now on.
  [[nodiscard]] std::map<ModelId, DesiredWeights> Wanted(Instant aNow) const;
  /// @return the known announcements of a model, by version.
  [[nodiscard]] std::map<std::uint64_t, Announcement> AnnouncementsOf(
    const ModelId& aModel) const;

private:
  struct Model
  {
    std::uint64_t newest = 0; ///< As set by the operator.
    std::map<std::uint64_t, Announcement> announcements; ///< By version.
  };

  [[nodiscard]] Instant DeadlineOf(const Announcement& aAnnouncement,
                                   Instant aNow) const;

  AvailableTimeLimits m_time;
  StoreOutages m_absences;
  std::optional<Instant> m_last_answer;
  bool m_is_record_read = false;
  std::map<ModelId, Model> m_models;
};

} // namespace jujubehead::core

#endif // JUJUBEHEAD_CORE_WEIGHTS_STALE_WEIGHTS_DEADLINES_HPP
