#ifndef JUJUBEHEAD_CORE_WEIGHTS_OLD_WEIGHTS_HPP
#define JUJUBEHEAD_CORE_WEIGHTS_OLD_WEIGHTS_HPP

#include <cstddef>  // for size_t
#include <cstdint>  // for uint64_t
#include <map>      // for map
#include <optional> // for optional
#include <string>   // for string

#include "jujubehead/core/ids.hpp"                       // for ModelId
#include "jujubehead/core/membership/store_absences.hpp" // for StoreAbsences
#include "jujubehead/core/remote_clock.hpp"              // for RemoteMs
#include "jujubehead/core/runtime_clock.hpp"             // for Instant
#include "jujubehead/core/weights/rollout.hpp"           // for WantedWeights

namespace jujubehead::core {

/// Versions that are named in quick succession overlap; the ends of those
/// before have passed.
inline constexpr std::size_t kMostNamings = 8;

/// @brief When versions of a model's weights were named, on the clock of the
/// operators' store. Instances keep it there, since their own ends must not
/// lose it.
using NamingRecord = std::map<std::uint64_t, RemoteMs>;

/// @return the record as text, and back; nothing is read from what is none.
std::string
ToText(const NamingRecord& aRecord);
NamingRecord
NamingRecordOf(const std::string& aText);

/// @brief Until when requests may begin on older weights, counted from when the
/// newer ones were named, over restarts and absences of the store.
///
/// @code
/// OldWeights weights({ seconds(10), seconds(14) });
/// weights.OnAnswer(asked, told);
/// weights.OnRead(model, 2, true, told);      // named nobody knows when
/// weights.OnRecorded(model, 2, named, now);  // until the record was read
/// weights.OnRecordRead();
/// weights.Wanted(now).at(model).BeginUntil(1);
/// @endcode
class OldWeights
{
public:
  explicit OldWeights(HeardTime aTime)
    : m_time(aTime)
  {
  }

  /// When a version was named, as far as is known.
  struct Naming
  {
    Instant when{};
    bool is_assumed = false; ///< Found at the start, with nothing recorded.
  };

  /// @brief A version was read; older ones than known are passed over.
  /// @param aIsAll it was read with all rows, not as a change; then it was
  /// named after the last answer before, or, at the start, nobody knows when.
  /// @return whether it is new.
  bool OnRead(const ModelId& aModel,
              std::uint64_t aVersion,
              bool aIsAll,
              Instant aTold);
  /// @brief Somebody recorded when a version was named. The earlier word
  /// counts; any counts more than an assumption. One that is ahead is of a
  /// clock that was replaced, and is passed over.
  /// @return whether that changes anything.
  bool OnRecorded(const ModelId& aModel,
                  std::uint64_t aVersion,
                  Instant aWhen,
                  Instant aNow);
  /// @brief All that is recorded was told. Until then a version that was found
  /// at the start may have been named any time before.
  void OnRecordRead() { m_is_record_read = true; }
  /// @brief The store answered. After OnRead() with what it answered.
  /// @return whether calls had failed before it.
  bool OnAnswer(Instant aAsked, Instant aTold);
  void OnFailure(Instant aNow) { m_absences.OnFailure(aNow); }

  /// @return all models' versions and ends, if the store is heard from now on.
  [[nodiscard]] std::map<ModelId, WantedWeights> Wanted(Instant aNow) const;
  /// @return the namings of a model, as far as they are known.
  [[nodiscard]] std::map<std::uint64_t, Naming> ToRecord(
    const ModelId& aModel) const;

private:
  struct Model
  {
    std::uint64_t newest = 0;                ///< As read of the operator.
    std::map<std::uint64_t, Naming> namings; ///< By version.
  };

  [[nodiscard]] Instant EndOf(const Naming& aNaming, Instant aNow) const;

  HeardTime m_time;
  StoreAbsences m_absences;
  std::optional<Instant> m_last_answer;
  bool m_is_record_read = false;
  std::map<ModelId, Model> m_models;
};

} // namespace jujubehead::core

#endif // JUJUBEHEAD_CORE_WEIGHTS_OLD_WEIGHTS_HPP
