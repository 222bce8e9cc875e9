#include "jujubehead/core/weights/rollout.hpp"

#include <algorithm> // for min, max, min_element
#include <deque>     // for deque
#include <utility>   // for make_pair

#include <nlohmann/json.hpp> // for json

namespace jujubehead::core {
namespace {

using nlohmann::json;
/// Targets in the order of the span that they lie in.
using Queue = std::deque<const RolloutTarget*>;

/// A third of the targets load at once. Loading takes two to three seconds,
/// including the end of running requests, so three rounds complete within the
/// ten seconds that operators allow, while two thirds carry the traffic.
constexpr std::size_t kRounds = 3;

/// Adds names until the text would be longer than `aLeft`, which is reduced.
json
Names(const std::vector<TargetId>& aTargets, std::size_t& aLeft)
{
  constexpr std::size_t kQuotesAndComma = 3;
  json names = json::array();
  for (const TargetId& target : aTargets) {
    const std::size_t size = target.Text().size() + kQuotesAndComma;
    if (size > aLeft) {
      break;
    }
    aLeft -= size;
    names.push_back(target.Text());
  }
  return names;
}

std::vector<TargetId>
TargetsOf(const json& aNames)
{
  std::vector<TargetId> targets;
  for (const json& name : aNames) {
    targets.emplace_back(name.get<std::string>());
  }
  return targets;
}

} // namespace

bool
DesiredWeights::Add(std::uint64_t aVersion, Instant aOnlyNewerFrom)
{
  if (aVersion <= Newest()) {
    return false;
  }
  m_deadlines.emplace(aVersion, aOnlyNewerFrom);
  return true;
}

std::uint64_t
DesiredWeights::Newest() const
{
  return m_deadlines.empty() ? 0 : m_deadlines.rbegin()->first;
}

Instant
DesiredWeights::StartDeadline(std::uint64_t aVersion) const
{
  Instant until = Instant::max();
  for (const auto& [version, deadline] : m_deadlines) {
    if (version > aVersion) {
      until = std::min(until, deadline);
    }
  }
  return until;
}

std::uint64_t
DesiredWeights::OldestAllowed(Instant aWhen) const
{
  std::uint64_t oldest = 0;
  for (const auto& [version, deadline] : m_deadlines) {
    if (aWhen >= deadline) {
      oldest = version;
    }
  }
  return oldest;
}

std::size_t
RolloutWidth(std::size_t aTargets)
{
  return std::max<std::size_t>(1, (aTargets + kRounds - 1) / kRounds);
}

Duration
RolloutPollInterval(std::size_t aLoading)
{
  constexpr Duration kMinInterval = std::chrono::milliseconds(120);
  constexpr Duration kPerTarget = std::chrono::microseconds(150);
  return std::max(kMinInterval,
                  kPerTarget * static_cast<Duration::rep>(aLoading));
}

std::vector<TargetId>
NextToLoad(std::span<const RolloutTarget> aTargets,
           std::uint64_t aWanted,
           Instant aNow)
{
  std::map<DataCentreId, std::size_t> loading;
  std::size_t all_loading = 0;
  std::vector<TargetId> next;
  // By version, then by data centre, in the order of the targets.
  std::map<std::uint64_t, std::map<DataCentreId, Queue>> outdated;
  for (const RolloutTarget& target : aTargets) {
    if (target.is_loading) {
      ++loading[target.data_centre];
      ++all_loading;
    } else if (target.version < aWanted && !target.is_unanswered &&
               aNow >= target.not_before) {
      if (aNow >= target.serves_until) {
        next.push_back(target.id);
      } else {
        outdated[target.version][target.data_centre].push_back(&target);
      }
    }
  }
  const std::size_t width = RolloutWidth(aTargets.size());
  while (!outdated.empty() && all_loading + next.size() < width) {
    auto& by_data_centre = outdated.begin()->second;
    const auto best = std::min_element(
      by_data_centre.begin(),
      by_data_centre.end(),
      [&](const auto& aOne, const auto& aOther) {
        return std::make_pair(loading[aOne.first], aOne.second.front()) <
               std::make_pair(loading[aOther.first], aOther.second.front());
      });
    ++loading[best->first];
    next.push_back(best->second.front()->id);
    best->second.pop_front();
    if (best->second.empty()) {
      by_data_centre.erase(best);
    }
    if (by_data_centre.empty()) {
      outdated.erase(outdated.begin());
    }
  }
  return next;
}

std::string
ToText(const RolloutState& aState)
{
  constexpr std::size_t kFrame = 100; // Field names, version, brackets.
  std::size_t left = kMaxRolloutText - kFrame;
  const json loading = Names(aState.loading, left);
  const json done = Names(aState.done, left);
  return json{
    { "version", aState.version }, { "loading", loading }, { "done", done }
  }.dump();
}

RolloutState
RolloutStateOf(const std::string& aText)
{
  RolloutState state;
  try {
    const json parsed = json::parse(aText);
    state.version = parsed.at("version").get<std::uint64_t>();
    state.loading = TargetsOf(parsed.at("loading"));
    state.done = TargetsOf(parsed.at("done"));
  } catch (const json::exception&) {
    // Not in this format: treated as unknown state, which is always safe.
    return {};
  }
  return state;
}

} // namespace jujubehead::core
