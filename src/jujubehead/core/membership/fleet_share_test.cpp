#include "jujubehead/core/membership/fleet_share.hpp"

#include <algorithm> // for max
#include <deque>     // for deque
#include <map>       // for map
#include <random>    // for mt19937
#include <set>       // for set
#include <vector>    // for vector

#include <CppUTest/TestHarness.h> // for TEST

#include "jujubehead/core/routing/windowed_retry_budget.hpp" // for WindowedRetryBudget

using namespace jujubehead::core;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

constexpr Duration kStep = milliseconds(250);
const Instant kStart = Instant(std::chrono::hours(1));

/// How the instances of the model take their shares.
enum class Rule
{
  kAsBuilt,
  kWithoutWait,      ///< From the moment at which the own row is visible.
  kWithStaleViews,   ///< Whatever the age of the view.
  kDividedByMaximum, ///< The allowance divided by 400.
};

FleetShareOptions
OptionsOf(Rule aRule)
{
  const FleetShareOptions built;
  FleetShareOptions options;
  if (aRule == Rule::kWithoutWait) {
    options.window = -built.view_lifetime;
  } else if (aRule == Rule::kWithStaleViews) {
    options.view_lifetime = std::chrono::minutes(10);
    options.window = built.window + built.view_lifetime - options.view_lifetime;
  }
  return options;
}

/// One instance of the model: it reads the rows with a delay, and tries to
/// retry all the time, as when the targets of a service refuse everything.
struct Instance
{
  Instance(std::size_t aId, double aWhole, Rule aRule)
    : id(aId)
    , share(OptionsOf(aRule))
    , budget(WindowedRetryBudgetOptions{ seconds(10), 0, aWhole }, Instant{})
  {
  }

  std::size_t id;
  FleetShare share;
  WindowedRetryBudget budget;
  Instant cut_until{};
  Instant paused_until{};
};

/// A fleet on simulated time whose instances join in crowds, are cut off from
/// the rows, pause and restart.
class Model
{
public:
  Model(Rule aRule, std::uint32_t aSeed, std::size_t aInstances)
    : m_rule(aRule)
    , m_random(aSeed)
  {
    Join(aInstances);
  }

  /// @return the most retries in any window.
  std::size_t Run(Duration aTime)
  {
    for (m_now = kStart; m_now < kStart + aTime; m_now += kStep) {
      Disturb();
      m_history.emplace_back(m_now, m_rows);
      while (m_now - m_history.front().first > seconds(30)) {
        m_history.pop_front();
      }
      for (Instance& one : m_instances) {
        if (m_now < one.paused_until) {
          continue;
        }
        Read(one);
        Retry(one);
      }
      while (!m_sent.empty() && m_now - m_sent.front() >= seconds(10)) {
        m_sent.pop_front();
      }
      m_most = std::max(m_most, m_sent.size());
    }
    return m_most;
  }

  /// Many an instance, so that whole retries hide no excess.
  static constexpr double kWhole = 20000;

private:
  bool Happens(unsigned aOneIn) { return m_random() % aOneIn == 0; }

  void Join(std::size_t aCount)
  {
    for (std::size_t i = 0; i < aCount; ++i) {
      m_instances.emplace_back(m_next_id, kWhole, m_rule);
      m_unwritten.insert(m_next_id);
      ++m_next_id;
    }
  }

  void Disturb()
  {
    // Rows appear at the pace at which one partition takes writes.
    for (int i = 0; i < 50 && !m_unwritten.empty(); ++i) {
      m_rows.insert(*m_unwritten.begin());
      m_unwritten.erase(m_unwritten.begin());
    }
    if (Happens(200)) {
      Join(m_instances.size() / 2);
    }
    // A data centre is cut off from the rows.
    if (Happens(100)) {
      for (std::size_t i = 0; i < m_instances.size(); i += 3) {
        m_instances[i].cut_until = m_now + seconds(40);
      }
    }
    for (Instance& one : m_instances) {
      if (Happens(400)) {
        one.cut_until = m_now + milliseconds(m_random() % 45000);
      }
      if (Happens(400)) {
        one.paused_until = m_now + milliseconds(m_random() % 15000);
      }
      if (Happens(800)) { // restarts under its id
        one = Instance(one.id, kWhole, m_rule);
      }
    }
  }

  void Read(Instance& aOne)
  {
    if (m_now < aOne.cut_until) {
      return;
    }
    const Duration delay = milliseconds(m_random() % 4000);
    for (auto view = m_history.rbegin(); view != m_history.rend(); ++view) {
      if (m_now - view->first >= delay) {
        aOne.share.OnView(view->second.size(),
                          view->second.contains(aOne.id),
                          view->first,
                          m_now);
        return;
      }
    }
  }

  [[nodiscard]] double ShareOf(const Instance& aOne) const
  {
    constexpr double kMaximum = 400;
    return m_rule == Rule::kDividedByMaximum ? 1 / kMaximum
                                             : aOne.share.At(m_now);
  }

  void Retry(Instance& aOne)
  {
    aOne.budget.SetFixedShare(ShareOf(aOne), m_now + kStep);
    while (aOne.budget.TryToRetry(m_now)) {
      m_sent.push_back(m_now);
    }
  }

  Rule m_rule;
  std::mt19937 m_random;
  std::vector<Instance> m_instances;
  std::set<std::size_t> m_rows; ///< Ids of the instances with a row.
  std::set<std::size_t> m_unwritten;
  std::deque<std::pair<Instant, std::set<std::size_t>>> m_history;
  std::deque<Instant> m_sent;
  std::size_t m_next_id = 0;
  std::size_t m_most = 0;
  Instant m_now = kStart;
};

std::size_t
MostRetries(Rule aRule, std::uint32_t aSeed, std::size_t aInstances)
{
  return Model(aRule, aSeed, aInstances).Run(seconds(70));
}

} // namespace

TEST_GROUP(FleetShare){};

TEST(FleetShare, IsOneOfTheInstancesOnceTheOwnRowIsKnownToAll)
{
  FleetShare share;
  share.OnView(3, false, kStart, kStart);
  DOUBLES_EQUAL(0, share.At(kStart), 0);
  share.OnView(4, true, kStart, kStart + seconds(1));
  DOUBLES_EQUAL(0, share.At(kStart + seconds(2)), 0);
  const Instant later = kStart + seconds(17);
  share.OnView(4, true, later, later);
  DOUBLES_EQUAL(0.25, share.At(later), 1e-9);
  DOUBLES_EQUAL(0.25, share.At(later + milliseconds(5999)), 1e-9);
  DOUBLES_EQUAL(0, share.At(later + seconds(6)), 0);
}

TEST(FleetShare, StartsAnewWhenTheOwnRowIsGone)
{
  FleetShare share;
  share.OnView(4, true, kStart, kStart);
  const Instant later = kStart + seconds(20);
  share.OnView(3, false, later, later);
  DOUBLES_EQUAL(0, share.At(later), 0);
  share.OnView(4, true, later + seconds(1), later + seconds(1));
  DOUBLES_EQUAL(0, share.At(later + seconds(2)), 0);
}

// Retry storm: plain targets that refuse everything, while crowds of instances
// join. The fixed number was divided by 400, the most instances expected.
TEST(FleetShare, NeverExceedsTheWholeHoweverTheFleetChanges)
{
  for (std::uint32_t seed = 1; seed <= 24; ++seed) {
    for (const std::size_t instances : { 8U, 90U, 500U }) {
      const std::size_t most = MostRetries(Rule::kAsBuilt, seed, instances);
      CHECK(static_cast<double>(most) <= Model::kWhole);
    }
  }
}

TEST(FleetShare, ModelCatchesSharesThatAreNotSafe)
{
  for (const Rule rule :
       { Rule::kWithoutWait, Rule::kWithStaleViews, Rule::kDividedByMaximum }) {
    std::size_t most = 0;
    constexpr std::uint32_t kMaxSeeds = 60;
    for (std::uint32_t seed = 1;
         seed <= kMaxSeeds && static_cast<double>(most) <= Model::kWhole;
         ++seed) {
      most = std::max(most, MostRetries(rule, seed, 500));
    }
    CHECK(static_cast<double>(most) > Model::kWhole);
  }
}

// Each instance sees one request a second there, so its share of requests alone
// allows two or three retries in a window.
TEST(FleetShare, IsOfUseAtAnySize)
{
  for (const std::size_t instances : { 512U, 1024U, 2048U }) {
    FleetShare share;
    share.OnView(instances, true, kStart, kStart);
    const Instant later = kStart + seconds(20);
    share.OnView(instances, true, later, later);
    DOUBLES_EQUAL(Model::kWhole,
                  Model::kWhole * share.At(later) *
                    static_cast<double>(instances),
                  1e-6);
  }
}
