#include "standin/engine_weights.hpp"

#include <algorithm> // for find
#include <utility>   // for move

namespace jujubehead::standin {
namespace {

bool
Contains(const std::vector<std::string>& aNames, const std::string& aName)
{
  return std::ranges::find(aNames, aName) != aNames.end();
}

} // namespace

EngineWeights::EngineWeights(std::vector<std::string> aVersions,
                             std::vector<std::string> aAdapters,
                             EpochMs aLoadMs)
  : m_versions(std::move(aVersions))
  , m_adapters(std::move(aAdapters))
  , m_load_ms(aLoadMs)
{
}

void
EngineWeights::LoadVersion(const std::string& aName, EpochMs aNow)
{
  m_loads.push_back({ false, aName, aNow + m_load_ms });
}

void
EngineWeights::LoadAdapter(const std::string& aName, EpochMs aNow)
{
  m_loads.push_back({ true, aName, aNow + m_load_ms });
}

void
EngineWeights::UnloadVersion(const std::string& aName)
{
  std::erase(m_versions, aName);
}

void
EngineWeights::Settle(EpochMs aNow)
{
  for (const PendingLoad& load : m_loads) {
    auto& names = load.is_adapter ? m_adapters : m_versions;
    if (load.ready_at <= aNow && !Contains(names, load.name)) {
      names.push_back(load.name);
    }
  }
  std::erase_if(m_loads, [aNow](const PendingLoad& aLoad) {
    return aLoad.ready_at <= aNow;
  });
}

bool
EngineWeights::Has(const std::string& aVersion,
                   const std::string& aAdapter) const
{
  return Contains(m_versions, aVersion) &&
         (aAdapter.empty() || Contains(m_adapters, aAdapter));
}

std::string
EngineWeights::Newest() const
{
  return m_versions.empty() ? std::string() : m_versions.back();
}

} // namespace jujubehead::standin
