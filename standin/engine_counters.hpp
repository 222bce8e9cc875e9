#ifndef JUJUBEHEAD_STANDIN_ENGINE_COUNTERS_HPP
#define JUJUBEHEAD_STANDIN_ENGINE_COUNTERS_HPP

#include <cstddef>       // for size_t
#include <cstdint>       // for uint64_t
#include <string>        // for string
#include <unordered_map> // for unordered_map

#include <nlohmann/json.hpp> // for json

namespace jujubehead::standin {

/// @brief What an engine counts for tests and benches.
struct EngineCounters
{
  std::size_t max_running_seen = 0;
  std::size_t max_held_seen = 0;
  std::uint64_t prompt_tokens = 0;
  std::uint64_t cached_tokens = 0;
  std::uint64_t imported_tokens = 0;
  std::uint64_t recomputed_tokens = 0;
  std::uint64_t answer_tokens = 0;
  std::uint64_t done = 0;
  std::uint64_t cut = 0;
  std::uint64_t crashes = 0;
  std::uint64_t refused_old_fencing = 0;
  std::uint64_t refused_wrong_version = 0;
  std::uint64_t refused_full = 0;
  std::uint64_t foreign_imports = 0;
  std::unordered_map<std::string, std::uint64_t> runs_started;
};

NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(EngineCounters,
                                   max_running_seen,
                                   max_held_seen,
                                   prompt_tokens,
                                   cached_tokens,
                                   imported_tokens,
                                   recomputed_tokens,
                                   answer_tokens,
                                   done,
                                   cut,
                                   crashes,
                                   refused_old_fencing,
                                   refused_wrong_version,
                                   refused_full,
                                   foreign_imports,
                                   runs_started)

} // namespace jujubehead::standin

#endif // JUJUBEHEAD_STANDIN_ENGINE_COUNTERS_HPP
