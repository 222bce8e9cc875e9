// A model of instances before one service that is short of room: callers of
// three large and many small accounts, whose demand rises for a while as a part
// of the targets is lost. Decides with RoomAdmission and AccountShares; the
// queue is that of a fluid that is served at the targets' rate.

#include <algorithm> // for max, min
#include <cstddef>   // for size_t
#include <map>       // for map
#include <random>    // for mt19937
#include <string>    // for to_string
#include <vector>    // for vector

#include <CppUTest/TestHarness.h> // for TEST

#include "jujubehead/core/routing/account_shares.hpp" // for AccountShares
#include "jujubehead/core/routing/room_admission.hpp" // for AdmittedShare

using namespace jujubehead::core;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

constexpr Duration kStep = milliseconds(50);
constexpr int kStepsPerSecond = 20;
constexpr int kSeconds = 24;
constexpr int kBurstFrom = 6;
constexpr int kBurstUntil = 11;
constexpr double kBurst = 2.5;
constexpr double kLostTargets = 0.25;
constexpr std::size_t kLargeAccounts = 3;
constexpr std::size_t kAccounts = 24;
/// Of all demand, of the large accounts together.
constexpr double kLargeDemand = 0.7;
constexpr std::size_t kTargets = 90;
/// Requests of each kind per second, of all instances together, and the time
/// in which a target serves one.
constexpr double kUrgentPerSecond = 320;
constexpr double kLargePerSecond = 153;
constexpr double kUrgentTokens = 900;
constexpr double kLargeTokens = 12000;
/// Tokens that all targets serve in a second.
constexpr double kCapacity = 3.0e6;

enum class Variant
{
  kShares,
  kNoShares,    ///< All accounts alike.
  kOneView,     ///< Without the reports of other instances.
  kByCount,     ///< Requests of all sizes count as one.
  kOwnObjective ///< Urgency does not count.
};

/// Requests of some kind and account: asked for and admitted.
struct Served
{
  double asked = 0;
  double admitted = 0;

  [[nodiscard]] double Share() const
  {
    return asked > 0 ? admitted / asked : 1;
  }
};

struct Result
{
  std::vector<Served> accounts; ///< Of the less urgent kind, in the burst.
  std::vector<Served> urgent;   ///< By second.
  std::vector<Served> large;    ///< By second.
  double used = 1;              ///< Least use of the room in a second of it.
};

AccountId
AccountOf(std::size_t aIndex)
{
  return AccountId("account-" + std::to_string(aIndex));
}

class Model
{
public:
  Model(Variant aVariant, std::size_t aInstances, unsigned aSeed)
    : m_variant(aVariant)
    , m_random(aSeed)
    , m_instances(aInstances)
  {
    m_result.accounts.resize(kAccounts);
    m_result.urgent.resize(kSeconds);
    m_result.large.resize(kSeconds);
  }

  Result Run()
  {
    for (int step = 0; step < kSeconds * kStepsPerSecond; ++step) {
      m_now += kStep;
      const int second = step / kStepsPerSecond;
      const bool is_burst = second >= kBurstFrom && second < kBurstUntil;
      Arrive(second, is_burst);
      Serve(is_burst);
      if (step % kStepsPerSecond == 0) {
        Report();
      }
    }
    return m_result;
  }

private:
  void Arrive(int aSecond, bool aIsBurst)
  {
    const double factor = aIsBurst ? kBurst : 1;
    const auto draw = [&](double aPerSecond) {
      std::poisson_distribution<int> count(aPerSecond / kStepsPerSecond);
      return count(m_random);
    };
    const int urgent = draw(kUrgentPerSecond);
    for (int i = 0; i < urgent; ++i) {
      Ask(aSecond, aIsBurst, true);
    }
    const int large = draw(kLargePerSecond * factor);
    for (int i = 0; i < large; ++i) {
      Ask(aSecond, aIsBurst, false);
    }
  }

  std::size_t DrawAccount()
  {
    std::uniform_real_distribution<double> uniform(0, 1);
    if (uniform(m_random) < kLargeDemand) {
      return m_random() % kLargeAccounts;
    }
    return kLargeAccounts + m_random() % (kAccounts - kLargeAccounts);
  }

  void Ask(int aSecond, bool aIsBurst, bool aIsUrgent)
  {
    const std::size_t account = DrawAccount();
    AccountShares& shares = m_instances[m_random() % m_instances.size()];
    const double tokens = aIsUrgent ? kUrgentTokens : kLargeTokens;
    const double counted = m_variant == Variant::kByCount ? 1 : tokens;
    RoomRequest request;
    request.is_most_urgent = aIsUrgent && m_variant != Variant::kOwnObjective;
    double share = AdmittedShare(m_seen, request);
    if (!request.is_most_urgent) {
      shares.OnRequest(AccountOf(account), counted, m_now);
      if (m_variant != Variant::kNoShares) {
        share = shares.ShareFor(AccountOf(account), share, m_now);
      }
    }
    std::uniform_real_distribution<double> uniform(0, 1);
    const bool is_admitted = uniform(m_random) < share;
    const auto second = static_cast<std::size_t>(aSecond);
    Count((aIsUrgent ? m_result.urgent : m_result.large)[second], is_admitted);
    if (!aIsUrgent && aIsBurst) {
      Count(m_result.accounts[account], is_admitted);
    }
    m_queued += is_admitted ? tokens : 0;
  }

  static void Count(Served& aServed, bool aIsAdmitted)
  {
    aServed.asked += 1;
    aServed.admitted += aIsAdmitted ? 1 : 0;
  }

  void Serve(bool aIsBurst)
  {
    const double targets = kTargets * (aIsBurst ? 1 - kLostTargets : 1);
    const double room = kCapacity * targets / kTargets / kStepsPerSecond;
    const double served = std::min(room, m_queued);
    m_queued -= served;
    m_used.push_back(served / room);
    // What instances see is some 200 ms old.
    m_loads.push_back({ static_cast<std::size_t>(targets),
                        m_queued / kLargeTokens,
                        m_queued / kLargeTokens + targets });
    constexpr std::size_t kLag = 4;
    m_seen = m_loads.size() > kLag ? m_loads[m_loads.size() - 1 - kLag]
                                   : ServiceLoad{};
    m_burst_steps = aIsBurst ? m_burst_steps + 1 : 0;
    if (m_burst_steps < kStepsPerSecond) {
      return; // The demand was within the room a moment ago.
    }
    double sum = 0;
    for (std::size_t i = m_used.size() - kStepsPerSecond; i < m_used.size();
         ++i) {
      sum += m_used[i];
    }
    m_result.used = std::min(m_result.used, sum / kStepsPerSecond);
  }

  void Report()
  {
    if (m_variant == Variant::kOneView) {
      return;
    }
    std::vector<AccountDemand> all;
    for (std::size_t i = 0; i < m_instances.size(); ++i) {
      const InstanceId self("instance-" + std::to_string(i));
      for (const AccountDemand& demand : m_instances[i].Report(self, m_now)) {
        all.push_back(demand);
      }
    }
    for (AccountShares& shares : m_instances) {
      shares.Tick(m_now);
      for (const AccountDemand& demand : all) {
        if (m_random() % 10 != 0) { // A tenth is lost.
          shares.OnReport(demand, m_now);
        }
      }
    }
  }

  Variant m_variant;
  std::mt19937 m_random;
  Instant m_now{ seconds(1000) };
  std::vector<AccountShares> m_instances;
  ServiceLoad m_seen;
  std::vector<ServiceLoad> m_loads;
  double m_queued = 0; ///< Tokens.
  std::vector<double> m_used;
  int m_burst_steps = 0;
  Result m_result;
};

double
MeanOf(const std::vector<Served>& aServed, std::size_t aFrom, std::size_t aTo)
{
  Served all;
  for (std::size_t i = aFrom; i < aTo; ++i) {
    all.asked += aServed[i].asked;
    all.admitted += aServed[i].admitted;
  }
  return all.Share();
}

/// Shares of the requests that were admitted in the burst.
struct Fairness
{
  double small = 0; ///< Of the small accounts.
  double large = 0;
  double mean = 0; ///< Of all.
};

Fairness
FairnessOf(const Result& aResult)
{
  return { MeanOf(aResult.accounts, kLargeAccounts, kAccounts),
           MeanOf(aResult.accounts, 0, kLargeAccounts),
           MeanOf(aResult.accounts, 0, kAccounts) };
}

} // namespace

TEST_GROUP(AccountSharesModel){};

// A burst of large requests had urgent ones refused, and requests of small
// accounts as often as those of large ones.
TEST(AccountSharesModel, SmallAccountsAndUrgentRequestsAreServedInABurst)
{
  for (const std::size_t instances : { 9UL, 84UL, 370UL }) {
    const Result result = Model(Variant::kShares, instances, 1).Run();
    const Fairness fairness = FairnessOf(result);
    CHECK(fairness.mean < 0.7); // There is no room for all.
    CHECK(fairness.small > 0.9);
    CHECK(fairness.small > fairness.large);
    for (std::size_t second = 0; second < kSeconds; ++second) {
      CHECK(result.urgent[second].Share() >= result.large[second].Share());
    }
    CHECK(result.used >= 0.9);
    for (std::size_t second = kBurstUntil + 5; second < kSeconds; ++second) {
      CHECK(result.large[second].Share() > 0.9);
    }
  }
}

// Max-min fairness cuts large accounts to the same level, and no further.
TEST(AccountSharesModel, LargeAccountsGetWhatSmallOnesLeave)
{
  for (const std::size_t instances : { 9UL, 84UL, 370UL }) {
    const Result result = Model(Variant::kShares, instances, 2).Run();
    const Fairness fairness = FairnessOf(result);
    const double left =
      (fairness.mean - (1 - kLargeDemand) * fairness.small) / kLargeDemand;
    for (std::size_t i = 0; i < kLargeAccounts; ++i) {
      CHECK(result.accounts[i].Share() >= 0.8 * left);
    }
  }
}

TEST(AccountSharesModel, VariantsFail)
{
  constexpr std::size_t kInstances = 84;
  CHECK(FairnessOf(Model(Variant::kNoShares, kInstances, 1).Run()).small < 0.9);
  CHECK(FairnessOf(Model(Variant::kOneView, kInstances, 1).Run()).small < 0.9);
  CHECK(FairnessOf(Model(Variant::kByCount, kInstances, 1).Run()).small < 0.9);
  const Result own = Model(Variant::kOwnObjective, kInstances, 1).Run();
  CHECK(MeanOf(own.urgent, kBurstFrom, kBurstUntil) < 0.9);
}
