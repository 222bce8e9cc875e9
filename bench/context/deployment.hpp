#ifndef JUJUBEHEAD_BENCH_CONTEXT_DEPLOYMENT_HPP
#define JUJUBEHEAD_BENCH_CONTEXT_DEPLOYMENT_HPP

#include <chrono>  // for duration
#include <cstddef> // for size_t
#include <cstdint> // for uint32_t
#include <string>  // for string
#include <vector>  // for vector

#include "jujubehead/core/runtime_clock.hpp" // for Duration

namespace jujubehead::bench::context {

using core::Duration;
using core::Instant;
using Seconds = std::chrono::duration<double>;

/// @return the duration as the runtime clock counts it.
Duration
ToDuration(double aSeconds);
/// @return the duration in seconds.
double
ToSeconds(Duration aDuration);

/// @brief What the platform has: the same for both deployments.
struct Hardware
{
  std::size_t targets = 18;
  std::size_t stores = 2;
  std::uint32_t tokens_per_block = 256;
  double bytes_per_block = 80.0 * 1024 * 1024; ///< 320 KiB a token.
  std::uint32_t target_blocks = 1200;          ///< 98 GB of KV cache.
  double prefill_tokens_per_second = 1500;
  double decode_seconds_per_token = 0.0004; ///< Of a target's time, batched.
  double link_bytes_per_second = 3.1e9;     ///< 25 Gbit/s a store.
  std::uint32_t memory_blocks = 3000;       ///< 250 GB of memory tier a store.
  std::uint32_t disk_blocks = 90000;        ///< 7.5 TB of disk tier a store.
  Duration disk_latency = std::chrono::milliseconds(100);
  Duration event_lag = std::chrono::seconds(2);
};

/// @brief How one client account's contexts come and go.
struct AccountShape
{
  double share;        ///< Of the deployment's requests.
  double burst_chance; ///< That the next return is soon.
  double burst_gap;    ///< Median seconds of a soon return.
  double long_gap;     ///< Median seconds of any other.
  double end_chance;   ///< That a context never returns after a use.
};

/// @brief One of the two users.
struct Deployment
{
  std::string name;
  double blocks_median;
  double blocks_sigma; ///< Of the logarithm.
  std::uint32_t blocks_min;
  std::uint32_t blocks_max;
  double grow_chance;        ///< That a returning context is longer.
  std::uint32_t grow_blocks; ///< At most, when it is.
  std::uint32_t tail_tokens; ///< After the last full block: the question.
  std::uint32_t answer_tokens;
  double recompute_price; ///< Seconds that a token not recomputed is worth.
  std::vector<AccountShape> accounts;
};

/// @brief One of the four conditions that a policy is measured under.
struct Condition
{
  std::string name;
  double load = 0.6; ///< Work without any reuse, as a share of capacity.
  double link_factor = 1.0;
  bool store_lost = false; ///< One store dies halfway.
  double event_gap = 0.0;  ///< Share of cache events that are lost.
  /// Age of the load figures that routing sees; 0: the owners' own quotes.
  Duration quote_age{};
};

/// @return the two users, Kuttanad first.
std::vector<Deployment>
Deployments();

/// @return the four conditions, the ordinary one first.
std::vector<Condition>
Conditions();

/// @return the ordinary condition with events lost, and with late quotes.
std::vector<Condition>
Probes();

} // namespace jujubehead::bench::context

#endif // JUJUBEHEAD_BENCH_CONTEXT_DEPLOYMENT_HPP
