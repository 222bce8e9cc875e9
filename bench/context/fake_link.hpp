#ifndef JUJUBEHEAD_BENCH_CONTEXT_FAKE_LINK_HPP
#define JUJUBEHEAD_BENCH_CONTEXT_FAKE_LINK_HPP

#include <cstdint> // for uint64_t
#include <vector>  // for vector

#include "bench/context/deployment.hpp" // for Instant

namespace jujubehead::bench::context {

/// @brief A link is a rate, shared evenly by the transfers that cross it.
class FakeLink
{
public:
  explicit FakeLink(double aBytesPerSecond);

  void Start(std::uint64_t aId, double aBytes, Instant aNow);
  /// @brief Takes a transfer off; unknown ids are ignored.
  void Stop(std::uint64_t aId, Instant aNow);
  /// @return when the next transfer ends; kNever when none runs.
  [[nodiscard]] Instant NextEnd() const;
  /// @return transfers that have ended by now; they are taken off.
  std::vector<std::uint64_t> TakeEnded(Instant aNow);
  [[nodiscard]] double MovedBytes() const { return m_moved; }

private:
  struct Active
  {
    std::uint64_t id;
    double bytes_left;
  };

  void Move(Instant aNow);

  double m_rate;
  double m_moved = 0;
  Instant m_at;
  std::vector<Active> m_active;
};

} // namespace jujubehead::bench::context

#endif // JUJUBEHEAD_BENCH_CONTEXT_FAKE_LINK_HPP
