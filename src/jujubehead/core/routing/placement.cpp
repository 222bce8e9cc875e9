#include "jujubehead/core/routing/placement.hpp"

#include <cmath> // for log, ldexp

#include <boost/container_hash/hash.hpp> // for hash_combine

#include "jujubehead/core/rendezvous.hpp" // for HashName

namespace jujubehead::core {
namespace {

constexpr int kMantissaBits = 53;
constexpr int kDroppedBits = 11;

std::uint64_t
Combine(std::uint64_t aOne, std::uint64_t aOther)
{
  std::size_t seed = aOne;
  boost::hash_combine(seed, aOther);
  return seed;
}

double
Score(std::uint64_t aKey, const PlacementCandidate& aCandidate)
{
  return WeightedScore(aKey, aCandidate.name_hash, aCandidate.capacity);
}

double
LoadLimit(std::span<const PlacementCandidate> aCandidates,
          const PlacementOptions& aOptions)
{
  double load = 0;
  double capacity = 0;
  for (const PlacementCandidate& candidate : aCandidates) {
    load += candidate.load;
    capacity += candidate.capacity;
  }
  return capacity > 0 ? aOptions.bound * load / capacity : 0;
}

/// @return the load relative to the capacity, with the penalty of distance.
double
RelativeLoad(const PlacementCandidate& aCandidate,
             const PlacementOptions& aOptions)
{
  const double penalty = aCandidate.is_near ? 0 : aOptions.far_penalty;
  return (aCandidate.load + penalty) / aCandidate.capacity;
}

} // namespace

std::uint64_t
PlacementHash(std::string_view aName)
{
  return Combine(0, detail::HashName(aName));
}

// Weighted rendezvous hashing: -capacity / ln(u), u uniform in (0, 1).
double
WeightedScore(std::uint64_t aKey, std::uint64_t aNameHash, double aCapacity)
{
  const std::uint64_t hash = Combine(aKey, aNameHash);
  const double uniform =
    std::ldexp(static_cast<double>(hash >> kDroppedBits) + 0.5, -kMantissaBits);
  return -aCapacity / std::log(uniform);
}

std::optional<std::size_t>
PlacePrompt(std::uint64_t aPrompt,
            std::span<const PlacementCandidate> aCandidates,
            const PlacementOptions& aOptions)
{
  const double limit = LoadLimit(aCandidates, aOptions);
  std::optional<std::size_t> best;
  bool best_is_at_store = false;
  double best_score = 0;
  for (std::size_t i = 0; i < aCandidates.size(); ++i) {
    const PlacementCandidate& candidate = aCandidates[i];
    const double allowed = limit * candidate.capacity + aOptions.bound_extra;
    if (candidate.load > allowed) {
      continue;
    }
    const double score = Score(aPrompt, candidate);
    const bool is_same = best && candidate.is_near_store == best_is_at_store;
    if (!best || (is_same ? score > best_score : candidate.is_near_store)) {
      best_is_at_store = candidate.is_near_store;
      best = i;
      best_score = score;
    }
  }
  return best ? best : PlaceByLoad(aPrompt, aCandidates, aOptions);
}

std::optional<std::size_t>
PlaceByLoad(std::uint64_t aSalt,
            std::span<const PlacementCandidate> aCandidates,
            const PlacementOptions& aOptions)
{
  std::optional<std::size_t> best;
  double best_load = 0;
  double best_score = 0;
  for (std::size_t i = 0; i < aCandidates.size(); ++i) {
    const double load = RelativeLoad(aCandidates[i], aOptions);
    const double score = Score(aSalt, aCandidates[i]);
    if (!best || load < best_load ||
        (load == best_load && score > best_score)) {
      best = i;
      best_load = load;
      best_score = score;
    }
  }
  return best;
}

std::optional<std::size_t>
PlaceByTwoChoices(std::uint64_t aSalt,
                  std::span<const PlacementCandidate> aCandidates,
                  const PlacementOptions& aOptions)
{
  std::optional<std::size_t> first;
  std::optional<std::size_t> second;
  double first_score = 0;
  double second_score = 0;
  for (std::size_t i = 0; i < aCandidates.size(); ++i) {
    const double score = Score(aSalt, aCandidates[i]);
    if (!first || score > first_score) {
      second = first;
      second_score = first_score;
      first = i;
      first_score = score;
    } else if (!second || score > second_score) {
      second = i;
      second_score = score;
    }
  }
  if (!second) {
    return first;
  }
  const bool is_second_less = RelativeLoad(aCandidates[*second], aOptions) <
                              RelativeLoad(aCandidates[*first], aOptions);
  return is_second_less ? second : first;
}

std::optional<std::size_t>
WeightedOwner(std::uint64_t aKey,
              std::span<const PlacementCandidate> aCandidates)
{
  std::optional<std::size_t> best;
  double best_score = 0;
  for (std::size_t i = 0; i < aCandidates.size(); ++i) {
    const double score = Score(aKey, aCandidates[i]);
    if (!best || score > best_score) {
      best = i;
      best_score = score;
    }
  }
  return best;
}

} // namespace jujubehead::core
