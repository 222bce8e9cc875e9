#ifndef JUJUBEHEAD_CORE_CONTEXT_PREFIX_POPULARITY_HPP
#define JUJUBEHEAD_CORE_CONTEXT_PREFIX_POPULARITY_HPP

#include <string>        // for string
#include <string_view>   // for string_view
#include <unordered_map> // for unordered_map

#include "jujubehead/core/runtime_clock.hpp" // for Instant

namespace jujubehead::core {

/// @brief Decaying rate at which this instance's requests use each prompt part.
/// Parts that are no longer used are evicted, so the size follows the traffic
/// of some ten seconds.
class PrefixPopularity
{
public:
  /// Memory of the parts that are counted at once: some 30,000 usual ones. The
  /// header of one request may name thousands that nobody uses again.
  static constexpr std::size_t kMaxBytes = 4UL * 1024 * 1024;

  /// @brief Counts a use by a request. A part that is not counted, as too many
  /// are, has only this one.
  /// @return uses per second, this one included.
  double CountUse(std::string_view aPart, Instant aNow);
  [[nodiscard]] std::size_t Size() const { return m_parts.size(); }
  [[nodiscard]] std::size_t Bytes() const { return m_bytes; }

private:
  struct Use
  {
    double rate = 0; ///< Uses per second at `last`.
    Instant last{};
  };

  void EvictUnused(Instant aNow);

  std::unordered_map<std::string, Use> m_parts;
  std::size_t m_bytes = 0; ///< Memory of m_parts.
  Instant m_last_eviction{};
};

} // namespace jujubehead::core

#endif // JUJUBEHEAD_CORE_CONTEXT_PREFIX_POPULARITY_HPP
