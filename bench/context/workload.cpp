#include "bench/context/workload.hpp"

#include <algorithm>     // for clamp, sort
#include <cmath>         // for exp, log
#include <cstring>       // for memcpy
#include <random>        // for mt19937_64
#include <unordered_map> // for unordered_map

namespace jujubehead::bench::context {
namespace {

/// Contexts are born this long before the run, so that it starts among many.
constexpr double kHistory = 14.0 * 24 * 3600;
constexpr double kGapSigma = 0.8;
/// Runs of the generator that find the rate which makes the load.
constexpr int kCalibrations = 2;

using Random = std::mt19937_64;

double
Uniform(Random& aRandom)
{
  return std::generate_canonical<double, 53>(aRandom);
}

double
LogNormal(Random& aRandom, double aMedian, double aSigma)
{
  std::normal_distribution<double> normal;
  return aMedian * std::exp(aSigma * normal(aRandom));
}

double
Exponential(Random& aRandom, double aMean)
{
  return -aMean * std::log(1 - Uniform(aRandom));
}

/// Work of all requests if each were computed whole, as a share of capacity.
double
LoadOf(const std::vector<Request>& aRequests,
       const Deployment& aDeployment,
       const Hardware& aHardware,
       double aLength)
{
  double seconds = 0;
  for (const Request& request : aRequests) {
    const double tokens =
      request.blocks * aHardware.tokens_per_block + aDeployment.tail_tokens;
    seconds += tokens / aHardware.prefill_tokens_per_second +
               aDeployment.answer_tokens * aHardware.decode_seconds_per_token;
  }
  return seconds / (aLength * static_cast<double>(aHardware.targets));
}

core::ContextKey
KeyOf(std::uint64_t aSeed, std::uint64_t aContext, std::uint64_t aBlock)
{
  Random random(aSeed ^ (aContext << 20U) ^ aBlock);
  core::ContextKey::Bytes bytes{};
  const std::uint64_t high = random();
  const std::uint64_t low = random();
  std::memcpy(bytes.data(), &high, sizeof high);
  std::memcpy(bytes.data() + sizeof high, &low, sizeof low);
  return core::ContextKey(bytes);
}

class Generator
{
public:
  /// @param aRate requests a second.
  Generator(const Deployment& aDeployment,
            double aRate,
            double aLength,
            std::uint64_t aSeed)
    : m_deployment(aDeployment)
    , m_length(aLength)
    , m_rate(aRate)
    , m_random(aSeed)
  {
  }

  std::vector<Request> Generate()
  {
    for (std::uint32_t i = 0; i < m_deployment.accounts.size(); ++i) {
      GenerateAccount(i);
    }
    std::sort(m_requests.begin(),
              m_requests.end(),
              [](const Request& aLeft, const Request& aRight) {
                return std::tie(aLeft.at, aLeft.context) <
                       std::tie(aRight.at, aRight.context);
              });
    return std::move(m_requests);
  }

private:
  void GenerateAccount(std::uint32_t aAccount)
  {
    const AccountShape& shape = m_deployment.accounts[aAccount];
    const double births = m_rate * shape.share * shape.end_chance;
    double born = -kHistory + Exponential(m_random, 1 / births);
    while (born < m_length) {
      GenerateContext(aAccount, born);
      born += Exponential(m_random, 1 / births);
    }
  }

  void GenerateContext(std::uint32_t aAccount, double aBorn)
  {
    const AccountShape& shape = m_deployment.accounts[aAccount];
    std::uint32_t blocks = FirstBlocks();
    const std::uint32_t context = m_contexts++;
    double at = aBorn;
    while (at < m_length) {
      if (at >= 0) {
        Request request;
        request.at = Instant(ToDuration(at));
        request.context = context;
        request.account = aAccount;
        request.blocks = blocks;
        m_requests.push_back(request);
      }
      if (Uniform(m_random) < shape.end_chance) {
        return;
      }
      at += Gap(shape);
      blocks = Grown(blocks);
    }
  }

  std::uint32_t FirstBlocks()
  {
    const double blocks = LogNormal(
      m_random, m_deployment.blocks_median, m_deployment.blocks_sigma);
    return std::clamp(static_cast<std::uint32_t>(blocks),
                      m_deployment.blocks_min,
                      m_deployment.blocks_max);
  }

  std::uint32_t Grown(std::uint32_t aBlocks)
  {
    if (Uniform(m_random) >= m_deployment.grow_chance) {
      return aBlocks;
    }
    const double more = Uniform(m_random) * m_deployment.grow_blocks;
    return std::min(aBlocks + 1 + static_cast<std::uint32_t>(more),
                    m_deployment.blocks_max);
  }

  double Gap(const AccountShape& aShape)
  {
    const bool soon = Uniform(m_random) < aShape.burst_chance;
    return LogNormal(
      m_random, soon ? aShape.burst_gap : aShape.long_gap, kGapSigma);
  }

  const Deployment& m_deployment;
  double m_length;
  double m_rate;
  Random m_random;
  std::uint32_t m_contexts = 0;
  std::vector<Request> m_requests;
};

/// Numbers contexts from 0, fills in what each request's context had before
/// and when it comes next.
void
LinkUses(Workload& aWorkload, std::uint64_t aSeed)
{
  std::unordered_map<std::uint32_t, std::uint32_t> numbers;
  std::vector<std::size_t> last;
  std::vector<std::uint32_t> most;
  for (std::size_t i = 0; i < aWorkload.requests.size(); ++i) {
    Request& request = aWorkload.requests[i];
    const auto next = static_cast<std::uint32_t>(numbers.size());
    const auto [place, isNew] = numbers.try_emplace(request.context, next);
    request.context = place->second;
    request.measured = request.at >= aWorkload.measured_from;
    request.next = kNever;
    if (isNew) {
      last.push_back(i);
      most.push_back(request.blocks);
      continue;
    }
    request.seen_blocks = most[request.context];
    aWorkload.requests[last[request.context]].next = request.at;
    last[request.context] = i;
    most[request.context] = request.blocks;
  }
  for (std::uint32_t context = 0; context < most.size(); ++context) {
    auto& keys = aWorkload.keys.emplace_back();
    for (std::uint32_t block = 0; block < most[context]; ++block) {
      keys.push_back(KeyOf(aSeed, context, block));
    }
  }
}

/// Blocks of contexts between two uses, averaged over time.
double
WorkingSet(const Workload& aWorkload)
{
  double blockSeconds = 0;
  for (const Request& request : aWorkload.requests) {
    if (request.next != kNever) {
      blockSeconds += request.blocks * ToSeconds(request.next - request.at);
    }
  }
  return blockSeconds / ToSeconds(aWorkload.end.time_since_epoch());
}

} // namespace

Workload
MakeWorkload(const Deployment& aDeployment,
             const Hardware& aHardware,
             double aLoad,
             Duration aWarmUp,
             Duration aMeasured,
             std::uint64_t aSeed)
{
  Workload workload;
  workload.measured_from = Instant(aWarmUp);
  workload.end = Instant(aWarmUp + aMeasured);
  const double length = ToSeconds(aWarmUp + aMeasured);
  double rate = 1;
  for (int i = 0; i < kCalibrations; ++i) {
    workload.requests = Generator(aDeployment, rate, length, aSeed).Generate();
    rate *= aLoad / LoadOf(workload.requests, aDeployment, aHardware, length);
  }
  workload.requests = Generator(aDeployment, rate, length, aSeed).Generate();
  LinkUses(workload, aSeed);
  workload.working_set_blocks = WorkingSet(workload);
  return workload;
}

} // namespace jujubehead::bench::context
