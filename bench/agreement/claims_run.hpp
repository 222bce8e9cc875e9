#ifndef JUJUBEHEAD_BENCH_AGREEMENT_CLAIMS_RUN_HPP
#define JUJUBEHEAD_BENCH_AGREEMENT_CLAIMS_RUN_HPP

#include <cstdint> // for uint64_t

namespace jujubehead::bench {

/// @brief Requests that must run at most once, each sent to two instances at
/// about the same time, at a rate near the service's limit of writes.
struct ClaimsFigures
{
  std::uint64_t requests = 0;
  std::uint64_t ran = 0;
  std::uint64_t doubled = 0;
  double transactions_per_second = 0;
  double rows_per_second = 0;
};

ClaimsFigures
RunClaims(std::uint64_t aSeed);

} // namespace jujubehead::bench

#endif // JUJUBEHEAD_BENCH_AGREEMENT_CLAIMS_RUN_HPP
