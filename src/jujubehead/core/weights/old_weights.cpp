#include "jujubehead/core/weights/old_weights.hpp"

#include <algorithm> // for max

#include <nlohmann/json.hpp> // for json

namespace jujubehead::core {
namespace {

using nlohmann::json;

constexpr const char* kNamed = "named";

} // namespace

std::string
ToText(const NamingRecord& aRecord)
{
  json named = json::array();
  for (const auto& [version, when] : aRecord) {
    named.push_back(json::array({ version, when }));
  }
  return json{ { kNamed, named } }.dump();
}

NamingRecord
NamingRecordOf(const std::string& aText)
{
  NamingRecord record;
  try {
    const json parsed = json::parse(aText);
    for (const json& one : parsed.at(kNamed)) {
      record[one.at(0).get<std::uint64_t>()] = one.at(1).get<RemoteMs>();
    }
  } catch (const json::exception&) {
    // Another writer's row: nothing is known by it, and it is written anew.
    return {};
  }
  return record;
}

bool
OldWeights::OnRead(const ModelId& aModel,
                   std::uint64_t aVersion,
                   bool aIsAll,
                   Instant aTold)
{
  Model& model = m_models[aModel];
  if (aVersion <= model.newest) {
    return false;
  }
  model.newest = aVersion;
  Naming naming;
  if (!aIsAll) {
    naming.when = aTold;
  } else if (m_last_answer) {
    naming.when = *m_last_answer;
  } else {
    // All instances may have ended before any of them could record it. Half of
    // the time is left for the roll-out: it takes some seven seconds of ten.
    naming.when = aTold - m_time.in_one / 2;
    naming.is_assumed = true;
  }
  model.namings.emplace(aVersion, naming);
  while (model.namings.size() > kMostNamings) {
    model.namings.erase(model.namings.begin());
  }
  return true;
}

bool
OldWeights::OnRecorded(const ModelId& aModel,
                       std::uint64_t aVersion,
                       Instant aWhen,
                       Instant aNow)
{
  if (aWhen > aNow) {
    return false;
  }
  const auto [known, is_new] =
    m_models[aModel].namings.emplace(aVersion, Naming{ aWhen, false });
  if (is_new) {
    return true;
  }
  Naming& naming = known->second;
  if (!naming.is_assumed && naming.when <= aWhen) {
    return false;
  }
  naming = { aWhen, false };
  return true;
}

bool
OldWeights::OnAnswer(Instant aAsked, Instant aTold)
{
  m_last_answer = std::max(m_last_answer.value_or(aTold), aTold);
  return m_absences.OnAnswer(aAsked);
}

std::map<ModelId, WantedWeights>
OldWeights::Wanted(Instant aNow) const
{
  std::map<ModelId, WantedWeights> wanted;
  for (const auto& [id, model] : m_models) {
    for (const auto& [version, naming] : model.namings) {
      // A record may be ahead of what was read of the operator.
      if (version <= model.newest) {
        wanted[id].Add(version, EndOf(naming, aNow));
      }
    }
  }
  return wanted;
}

Instant
OldWeights::EndOf(const Naming& aNaming, Instant aNow) const
{
  return aNaming.is_assumed && !m_is_record_read
           ? aNaming.when
           : m_absences.EndOf(aNaming.when, m_time, aNow);
}

std::map<std::uint64_t, OldWeights::Naming>
OldWeights::ToRecord(const ModelId& aModel) const
{
  const auto model = m_models.find(aModel);
  if (model == m_models.end()) {
    return {};
  }
  return model->second.namings;
}

} // namespace jujubehead::core
