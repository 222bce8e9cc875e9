#ifndef JUJUBEHEAD_STANDIN_ENGINE_WEIGHTS_HPP
#define JUJUBEHEAD_STANDIN_ENGINE_WEIGHTS_HPP

#include <string> // for string
#include <vector> // for vector

#include "standin/event_log.hpp" // for EpochMs

namespace jujubehead::standin {

/// @brief The weight versions and adapters of an engine, loaded and loading.
class EngineWeights
{
public:
  EngineWeights(std::vector<std::string> aVersions,
                std::vector<std::string> aAdapters,
                EpochMs aLoadMs);

  void LoadVersion(const std::string& aName, EpochMs aNow);
  void LoadAdapter(const std::string& aName, EpochMs aNow);
  void UnloadVersion(const std::string& aName);
  /// @brief Makes loaded what has been loading long enough.
  void Settle(EpochMs aNow);
  /// @brief Forgets the loads that are under way.
  void Abandon() { m_loads.clear(); }

  /// @return whether both are loaded; an empty adapter always is.
  [[nodiscard]] bool Has(const std::string& aVersion,
                         const std::string& aAdapter) const;
  /// @return the version loaded last; empty without any.
  [[nodiscard]] std::string Newest() const;
  [[nodiscard]] bool IsLoading() const { return !m_loads.empty(); }
  [[nodiscard]] const std::vector<std::string>& Versions() const
  {
    return m_versions;
  }
  [[nodiscard]] const std::vector<std::string>& Adapters() const
  {
    return m_adapters;
  }

private:
  struct PendingLoad
  {
    bool is_adapter = false;
    std::string name;
    EpochMs ready_at = 0;
  };

  std::vector<std::string> m_versions;
  std::vector<std::string> m_adapters;
  EpochMs m_load_ms;
  std::vector<PendingLoad> m_loads;
};

} // namespace jujubehead::standin

#endif // JUJUBEHEAD_STANDIN_ENGINE_WEIGHTS_HPP
