#ifndef JUJUBEHEAD_CORE_CONTEXT_PROMPT_HPP
#define JUJUBEHEAD_CORE_CONTEXT_PROMPT_HPP

#include <cstdint> // for uint64_t
#include <string>  // for string
#include <vector>  // for vector

#include "jujubehead/core/ids.hpp" // for ModelId

namespace jujubehead::core {

/// @brief A part of a prompt. Requests of one account share parts.
struct PromptPart
{
  std::string id;
  std::uint64_t tokens = 0;

  friend bool operator==(const PromptPart&, const PromptPart&) = default;
};

/// @brief A prompt as described by its request.
struct Prompt
{
  ModelId model;
  std::vector<PromptPart>
    parts;                  ///< In order; the last is unique to the request.
  std::uint64_t tokens = 0; ///< Of all parts.
  std::uint64_t max_output_tokens = 0;

  /// @return the id of the part that keys cache affinity: the last one shared
  /// with other requests; empty if there are no parts.
  [[nodiscard]] const std::string& AffinityPart() const
  {
    static const std::string kNone;
    if (parts.empty()) {
      return kNone;
    }
    return parts[parts.size() > 1 ? parts.size() - 2 : 0].id;
  }
};

} // namespace jujubehead::core

#endif // JUJUBEHEAD_CORE_CONTEXT_PROMPT_HPP
