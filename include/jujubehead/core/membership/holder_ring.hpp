#ifndef JUJUBEHEAD_CORE_MEMBERSHIP_HOLDER_RING_HPP
#define JUJUBEHEAD_CORE_MEMBERSHIP_HOLDER_RING_HPP

#include <cstddef>     // for size_t
#include <cstdint>     // for uint32_t, uint64_t
#include <span>        // for span
#include <string>      // for string
#include <string_view> // for string_view
#include <vector>      // for vector

namespace jujubehead::core {

/// @brief Orders the instances for each target by consistent hashing: all that
/// know the same instances find the same order without a message, and one that
/// joins or leaves changes the order for few targets.
///
/// A rank costs as much in a fleet of any size.
///
/// @code
/// HolderRing ring(ids, "instance-1");
/// ring.RankOf(PlacementHash("target-1")); // 0: first for this target
/// @endcode
class HolderRing
{
public:
  /// Ranks from this one on are not told apart.
  static constexpr std::size_t kMaxRank = 64;

  HolderRing() = default;
  /// @param aIds the instances' ids, in any order.
  /// @param aSelf one of them.
  HolderRing(std::span<const std::string> aIds, std::string_view aSelf);

  /// @return this instance's rank for a target, at most kMaxRank.
  /// @param aTarget hash of the target's id.
  [[nodiscard]] std::size_t RankOf(std::uint64_t aTarget) const;
  /// @return the indexes of the first instances for a key among the ids given
  /// at construction; fewer if there are not as many.
  [[nodiscard]] std::vector<std::size_t> First(std::uint64_t aKey,
                                               std::size_t aCount) const;
  [[nodiscard]] std::size_t Size() const { return m_size; }

private:
  struct Point
  {
    std::uint64_t hash = 0;
    std::uint32_t instance = 0; ///< Index of its id.
  };

  std::vector<Point> m_points; ///< By hash.
  std::uint32_t m_self = 0;
  std::size_t m_size = 0; ///< Instances.
};

} // namespace jujubehead::core

#endif // JUJUBEHEAD_CORE_MEMBERSHIP_HOLDER_RING_HPP
