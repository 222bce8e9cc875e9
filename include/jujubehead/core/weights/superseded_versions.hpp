#ifndef JUJUBEHEAD_CORE_WEIGHTS_SUPERSEDED_VERSIONS_HPP
#define JUJUBEHEAD_CORE_WEIGHTS_SUPERSEDED_VERSIONS_HPP

#include <cstddef>     // for size_t
#include <cstdint>     // for uint64_t
#include <functional>  // for less
#include <map>         // for map
#include <optional>    // for optional
#include <string>      // for string
#include <string_view> // for string_view

#include "jujubehead/core/ids.hpp"           // for ModelId
#include "jujubehead/core/runtime_clock.hpp" // for Instant

namespace jujubehead::core {

/// @brief Since when each weight version of a model is superseded, as far as
/// this process knows.
///
/// A version is superseded by the first newer one. Later versions do not
/// restart its time: otherwise several roll-outs in a row would keep the KV
/// cache of the first version until the last of them.
class SupersededVersions
{
public:
  /// @brief A version is requested; ignored unless newer than all known ones.
  void OnWanted(const ModelId& aModel, std::uint64_t aVersion, Instant aNow);
  /// @return when this process first learned of a newer version; nothing if it
  /// knows of none.
  [[nodiscard]] std::optional<Instant> Since(const ModelId& aModel,
                                             std::uint64_t aVersion) const;
  /// @return how many requested versions were first requested at least that
  /// long ago. It grows whenever one more version has been superseded for that
  /// long.
  [[nodiscard]] std::size_t CountSupersededFor(Duration aFor,
                                               Instant aNow) const;

private:
  /// By model, then by version: when it was first requested.
  std::map<ModelId, std::map<std::uint64_t, Instant>> m_wanted;
};

/// @brief Recognizes the cache scopes of versions that were superseded by an
/// instant. Many parts share few scopes, so the result for each is memoized.
class SupersededScopes
{
public:
  SupersededScopes(SupersededVersions aVersions, Instant aBefore);

  [[nodiscard]] bool Contains(std::string_view aScope);

private:
  SupersededVersions m_versions;
  Instant m_before;
  std::map<std::string, bool, std::less<>> m_results; ///< By scope.
};

} // namespace jujubehead::core

#endif // JUJUBEHEAD_CORE_WEIGHTS_SUPERSEDED_VERSIONS_HPP
