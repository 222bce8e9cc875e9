#include "bench/agreement/schedule.hpp"

#include <array> // for array

namespace jujubehead::bench {

namespace {

using namespace std::chrono_literals;

constexpr std::array<const char*, kFaultKinds> kNames{
  "crash",       "pause",         "cut link",     "isolate",
  "cut service", "service down",  "service slow", "lose answers",
  "land late",   "lose messages", "hide",         "leave",
};

constexpr double kMost = 0.5;
constexpr core::Duration kSlow = 1500ms;

void
Isolate(World& aWorld, std::uint32_t aIndex, bool aCut)
{
  for (std::uint32_t i = 0; i < aWorld.Options().instances; ++i) {
    if (i != aIndex) {
      aWorld.Cut(aIndex, i, aCut);
    }
  }
}

void
Begin(World& aWorld, const Fault& aFault)
{
  FakeTable::Faults& service = aWorld.Table().Fault();
  switch (aFault.kind) {
    case FaultKind::kCrash:
      return aWorld.Crash(aFault.instance);
    case FaultKind::kPause:
      return aWorld.Pause(aFault.instance, aFault.time);
    case FaultKind::kCutLink:
      return aWorld.Cut(aFault.instance, aFault.other, true);
    case FaultKind::kIsolate:
      return Isolate(aWorld, aFault.instance, true);
    case FaultKind::kCutService:
      return aWorld.CutService(aFault.instance, true);
    case FaultKind::kServiceDown:
      service.down = true;
      return;
    case FaultKind::kServiceSlow:
      service.slow = kSlow;
      return;
    case FaultKind::kLoseAnswers:
      service.lose_answer = kMost;
      return;
    case FaultKind::kLandLate:
      service.land_late = kMost;
      return;
    case FaultKind::kLoseMessages:
      return aWorld.LoseMessages(kMost);
    case FaultKind::kHide:
      return aWorld.HideFromList(aFault.instance, true);
    case FaultKind::kLeave:
      return aWorld.Leave(aFault.instance);
  }
}

void
End(World& aWorld, const Fault& aFault)
{
  FakeTable::Faults& service = aWorld.Table().Fault();
  switch (aFault.kind) {
    case FaultKind::kPause:
      return;
    case FaultKind::kCrash:
      return aWorld.Start(aFault.instance);
    case FaultKind::kLeave:
      aWorld.Crash(aFault.instance);
      return aWorld.Start(aFault.instance);
    case FaultKind::kCutLink:
      return aWorld.Cut(aFault.instance, aFault.other, false);
    case FaultKind::kIsolate:
      return Isolate(aWorld, aFault.instance, false);
    case FaultKind::kCutService:
      return aWorld.CutService(aFault.instance, false);
    case FaultKind::kServiceDown:
      service.down = false;
      return;
    case FaultKind::kServiceSlow:
      service.slow = {};
      return;
    case FaultKind::kLoseAnswers:
      service.lose_answer = 0;
      return;
    case FaultKind::kLandLate:
      service.land_late = 0;
      return;
    case FaultKind::kLoseMessages:
      return aWorld.LoseMessages(0);
    case FaultKind::kHide:
      return aWorld.HideFromList(aFault.instance, false);
  }
}

} // namespace

std::string
Describe(const Fault& aFault)
{
  const auto ms = [](core::Duration aTime) {
    return std::to_string(aTime / 1ms);
  };
  return std::string(kNames.at(static_cast<std::size_t>(aFault.kind))) + "(" +
         std::to_string(aFault.instance) + "," + std::to_string(aFault.other) +
         ") after " + ms(aFault.after) + " ms for " + ms(aFault.time) + " ms";
}

void
Apply(World& aWorld, const Fault& aFault)
{
  Begin(aWorld, aFault);
  aWorld.Queue().After(aFault.time, [&aWorld, aFault] { End(aWorld, aFault); });
}

void
RunThrough(World& aWorld, const std::vector<Fault>& aFaults)
{
  constexpr core::Duration kBefore = 12s;
  constexpr core::Duration kLongest = 40s;
  constexpr core::Duration kSettle = 150s;
  aWorld.RunFor(kBefore);
  for (const Fault& fault : aFaults) {
    aWorld.RunFor(fault.after);
    Apply(aWorld, fault);
  }
  aWorld.RunFor(kLongest);
  aWorld.Table().Fault() = {};
  aWorld.HealLinks();
  for (std::uint32_t i = 0; i < aWorld.Options().instances; ++i) {
    aWorld.Start(i);
  }
  aWorld.RunFor(kSettle);
}

} // namespace jujubehead::bench
