#include "jujubehead/core/weights/stale_weights_deadlines.hpp"

#include <algorithm> // for max

#include <nlohmann/json.hpp> // for json

namespace jujubehead::core {
namespace {

using nlohmann::json;

constexpr const char* kNamed = "named";

} // namespace

std::string
ToText(const AnnouncementRecord& aRecord)
{
  json named = json::array();
  for (const auto& [version, when] : aRecord) {
    named.push_back(json::array({ version, when }));
  }
  return json{ { kNamed, named } }.dump();
}

AnnouncementRecord
AnnouncementRecordOf(const std::string& aText)
{
  AnnouncementRecord record;
  try {
    const json parsed = json::parse(aText);
    for (const json& entry : parsed.at(kNamed)) {
      record[entry.at(0).get<std::uint64_t>()] = entry.at(1).get<RemoteMs>();
    }
  } catch (const json::exception&) {
    // Not in this format: treated as no record, and overwritten.
    return {};
  }
  return record;
}

bool
StaleWeightsDeadlines::OnRead(const ModelId& aModel,
                              std::uint64_t aVersion,
                              bool aIsSnapshot,
                              Instant aAnswered)
{
  Model& model = m_models[aModel];
  if (aVersion <= model.newest) {
    return false;
  }
  model.newest = aVersion;
  Announcement announcement;
  if (!aIsSnapshot) {
    announcement.when = aAnswered;
  } else if (m_last_answer) {
    announcement.when = *m_last_answer;
  } else {
    // All instances may have stopped before any of them recorded it. Half of
    // the time is left for the roll-out, which takes some seven seconds of ten.
    announcement.when = aAnswered - m_time.max_continuous / 2;
    announcement.is_assumed = true;
  }
  model.announcements.emplace(aVersion, announcement);
  while (model.announcements.size() > kMaxAnnouncements) {
    model.announcements.erase(model.announcements.begin());
  }
  return true;
}

bool
StaleWeightsDeadlines::OnRecorded(const ModelId& aModel,
                                  std::uint64_t aVersion,
                                  Instant aWhen,
                                  Instant aNow)
{
  if (aWhen > aNow) {
    return false;
  }
  const auto [known, is_new] = m_models[aModel].announcements.emplace(
    aVersion, Announcement{ aWhen, false });
  if (is_new) {
    return true;
  }
  Announcement& announcement = known->second;
  if (!announcement.is_assumed && announcement.when <= aWhen) {
    return false;
  }
  announcement = { aWhen, false };
  return true;
}

bool
StaleWeightsDeadlines::OnAnswer(Instant aAsked, Instant aAnswered)
{
  m_last_answer = std::max(m_last_answer.value_or(aAnswered), aAnswered);
  return m_absences.OnAnswer(aAsked);
}

std::map<ModelId, DesiredWeights>
StaleWeightsDeadlines::Wanted(Instant aNow) const
{
  std::map<ModelId, DesiredWeights> wanted;
  for (const auto& [id, model] : m_models) {
    for (const auto& [version, announcement] : model.announcements) {
      // The record may be newer than the operator's rows that were read.
      if (version <= model.newest) {
        wanted[id].Add(version, DeadlineOf(announcement, aNow));
      }
    }
  }
  return wanted;
}

Instant
StaleWeightsDeadlines::DeadlineOf(const Announcement& aAnnouncement,
                                  Instant aNow) const
{
  return aAnnouncement.is_assumed && !m_is_record_read
           ? aAnnouncement.when
           : m_absences.EndOf(aAnnouncement.when, m_time, aNow);
}

std::map<std::uint64_t, StaleWeightsDeadlines::Announcement>
StaleWeightsDeadlines::AnnouncementsOf(const ModelId& aModel) const
{
  const auto model = m_models.find(aModel);
  if (model == m_models.end()) {
    return {};
  }
  return model->second.announcements;
}

} // namespace jujubehead::core
