#ifndef JUJUBEHEAD_CORE_MEMBERSHIP_HUBS_HPP
#define JUJUBEHEAD_CORE_MEMBERSHIP_HUBS_HPP

#include <cstddef>     // for size_t
#include <cstdint>     // for uint8_t
#include <span>        // for span
#include <string>      // for string
#include <string_view> // for string_view
#include <utility>     // for move
#include <vector>      // for vector

#include "jujubehead/core/membership/instance_directory.hpp" // for KnownInstance
#include "jujubehead/core/runtime_clock.hpp" // for Instant, Duration

namespace jujubehead::core {

/// @brief Shape of the tree by which updates reach all instances.
struct HubOptions
{
  /// Up to this many instances, each one is a reader: a store accepts a watch
  /// call of each.
  std::size_t max_without_hubs = 12;
  /// Instances that read the operators' store and watch the stores for all. Two
  /// of them, so that the loss of one is no gap.
  std::size_t readers = 2;
  /// Relays that become readers when no reader answers.
  std::size_t standbys = 2;
  /// Followers of one relay. At four polls a second each, a relay answers 250
  /// polls a second from memory.
  std::size_t followers_per_relay = 64;
  /// Data centres with more instances than this have two relays, so that the
  /// loss of one leaves no crossing of data centres.
  std::size_t max_with_one_relay = 16;
};

/// @brief An instance's place in the tree.
enum class HubLevel : std::uint8_t
{
  kReader,  ///< Reads the operators' store and watches the stores.
  kStandby, ///< A relay that becomes a reader when no reader answers.
  /// The first one of a data centre polls a reader, the others poll that one;
  /// followers of the data centre poll any of them.
  kRelay,
  kFollower, ///< Polls a relay.
};

/// @return the level's name, for logs.
std::string_view
NameOf(HubLevel aLevel);

/// @brief An instance's place in the tree, and its neighbours.
struct HubPlan
{
  HubLevel level = HubLevel::kReader;
  /// The instances that it polls, in the order in which it tries them.
  std::vector<KnownInstance> upstreams;
  std::vector<KnownInstance> other_readers; ///< Of a reader.
  bool is_tree = false;    ///< False: all instances are readers.
  std::size_t readers = 1; ///< In the fleet.
  std::size_t relays = 0;  ///< In the fleet, standbys included.
};

/// @brief Plans the tree through which updates reach all instances: the
/// operators' store, readers, relays of each data centre, followers.
///
/// An instance's neighbours, and so what it sends and receives, do not grow
/// with the fleet, and updates cross to a data centre once, and once to each
/// standby. Instances with a large capacity are preferred as readers and
/// relays, which answer dozens of others (hot spot). All instances that know
/// the same rows plan the same tree, without coordination.
HubPlan
PlanHubs(std::vector<KnownInstance> aInstances,
         std::string_view aSelf,
         const HubOptions& aOptions = {});

/// @return an instance's rank, from 0, in an order of all instances that
/// depends on a seed. Instances that know the same rows compute the same order.
std::size_t
RankOf(std::span<const KnownInstance> aInstances,
       std::string_view aSelf,
       std::string_view aSeed);

/// Time after a start until all instances have written their rows and have
/// polled the hubs that result. An operator's change has to be in force within
/// three seconds after a start.
inline constexpr Duration kHubSettleTime = std::chrono::milliseconds(2300);

/// A standby that got no answer for this long becomes a reader: two polls of
/// each reader that time out.
inline constexpr Duration kStandbyDelay = std::chrono::milliseconds(900);

/// @brief This instance's present place in the tree. Until other instances are
/// known it is a reader of its own.
class HubRole
{
public:
  explicit HubRole(std::string aSelf)
    : m_self(std::move(aSelf))
  {
  }

  /// @param aInstances all instances, including this one.
  void Update(std::vector<KnownInstance> aInstances,
              const HubOptions& aOptions = {});
  /// @brief Marks the start of this instance; if never called, IsSettling() is
  /// false.
  void OnStart(Instant aNow) { m_started = aNow; }
  /// @brief All rows were read. A row of its own means that this instance has
  /// restarted, and that the rows of the others were written long before.
  void OnAllRows(bool aHasOwnRow)
  {
    m_is_restart |= aHasOwnRow && !m_has_read;
    m_has_read = true;
  }
  /// @brief An upstream answered a poll with current rows.
  void OnUpstreamAnswer(Instant aNow) { m_upstream_answered = aNow; }

  [[nodiscard]] HubLevel Level() const { return m_plan.level; }
  /// @return whether the other instances' rows may still be missing. All
  /// instances may have started at once, and while they know too few for a tree
  /// each one would act as a reader (thundering herd).
  [[nodiscard]] bool IsSettling(Instant aNow) const
  {
    return !m_plan.is_tree && !m_is_restart &&
           aNow - m_started < kHubSettleTime;
  }
  /// @return whether this instance watches the stores.
  [[nodiscard]] bool Watches(Instant aNow) const;
  /// @return whether other instances poll this one.
  [[nodiscard]] bool HasFollowers() const
  {
    return m_plan.level != HubLevel::kFollower && m_plan.is_tree;
  }
  [[nodiscard]] const std::vector<KnownInstance>& Upstreams() const
  {
    return m_plan.upstreams;
  }
  [[nodiscard]] const std::vector<KnownInstance>& OtherReaders() const
  {
    return m_plan.other_readers;
  }
  [[nodiscard]] std::size_t Readers() const { return m_plan.readers; }
  [[nodiscard]] std::size_t Relays() const { return m_plan.relays; }
  /// @return the number of known instances, this one included.
  [[nodiscard]] std::size_t Known() const { return m_known; }
  /// @return how long rows count as fresh after the operators' store confirmed
  /// them; then they are not passed on, and the store is read directly.
  /// Instances further down wait longer, so that the upstream gets there first
  /// and they need not all read the store (thundering herd).
  [[nodiscard]] Duration RowsLifetime() const;

  /// @return whether this instance has left it to a hub for long enough to send
  /// it all rows of the operators' store, and now reads the store itself.
  /// @param aRandom as in DirectReadDelay().
  [[nodiscard]] bool MayReadDirectly(Instant aNow, double aRandom) const;
  /// @return how long that is, from the start. All may have started at once,
  /// and the bytes of reading the store directly grow with the square of the
  /// fleet, while a small one serves again soonest by reading it.
  /// @param aRandom uniform in 0 to 1; spreads the reads of instances that
  /// start together.
  [[nodiscard]] Duration DirectReadDelay(double aRandom) const;

private:
  std::string m_self;
  HubPlan m_plan;
  std::size_t m_known = 1;
  bool m_has_read = false;   ///< All rows, once.
  bool m_is_restart = false; ///< Its own row was among them.
  Instant m_started{};
  Instant m_upstream_answered{};
};

} // namespace jujubehead::core

#endif // JUJUBEHEAD_CORE_MEMBERSHIP_HUBS_HPP
