#ifndef JUJUBEHEAD_CORE_CONTEXT_PART_USES_HPP
#define JUJUBEHEAD_CORE_CONTEXT_PART_USES_HPP

#include <string>        // for string
#include <string_view>   // for string_view
#include <unordered_map> // for unordered_map

#include "jujubehead/core/runtime_clock.hpp" // for Instant

namespace jujubehead::core {

/// @brief How often this instance's requests use each part of a prompt of late.
/// Parts that are seldom used are forgotten, so its size follows the traffic of
/// some ten seconds.
class PartUses
{
public:
  /// @brief A request uses a part.
  /// @return uses a second, this one included.
  double OnUse(std::string_view aPart, Instant aNow);
  [[nodiscard]] std::size_t Size() const { return m_parts.size(); }

private:
  struct Use
  {
    double rate = 0; ///< A second, at `last`.
    Instant last{};
  };

  void Forget(Instant aNow);

  std::unordered_map<std::string, Use> m_parts;
  Instant m_forgot{};
};

} // namespace jujubehead::core

#endif // JUJUBEHEAD_CORE_CONTEXT_PART_USES_HPP
