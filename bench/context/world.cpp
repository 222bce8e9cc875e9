#include "bench/context/world.hpp"

#include <algorithm> // for max, min
#include <chrono>    // for seconds, minutes
#include <string>    // for to_string
#include <utility>   // for move

namespace jujubehead::bench::context {
namespace {

using core::TransferKind;

constexpr Duration kPollEvery = std::chrono::seconds(1);
constexpr Duration kMinute = std::chrono::minutes(1);

} // namespace

World::World(const Hardware& aHardware,
             const Deployment& aDeployment,
             const Condition& aCondition,
             const Workload& aWorkload,
             Policy& aPolicy,
             std::uint64_t aSeed)
  : m_hardware(aHardware)
  , m_deployment(aDeployment)
  , m_condition(aCondition)
  , m_workload(aWorkload)
  , m_policy(aPolicy)
  , m_random(aSeed)
  , m_losses(aSeed + 1)
  , m_serving(aHardware.targets)
  , m_reports(aHardware.targets)
  , m_copy_events(aHardware.stores)
  , m_ever_kept(aWorkload.keys.size())
{
  const double rate = aHardware.link_bytes_per_second * aCondition.link_factor;
  for (std::size_t i = 0; i < aHardware.targets; ++i) {
    m_targets.push_back(std::make_unique<FakeTarget>(aHardware, aWorkload));
  }
  for (std::size_t i = 0; i < aHardware.stores; ++i) {
    m_stores.emplace_back(aHardware.memory_blocks, aHardware.disk_blocks);
    m_links.emplace_back(rate);
    m_schedules.emplace_back(
      core::LinkSettings{ aHardware.link_bytes_per_second, 1, 1, 1024 });
  }
}

Figures
World::Run()
{
  Arrive(0);
  At(Instant(kPollEvery), [this] { Poll(); });
  At(Instant(kMinute), [this] { Report(); });
  if (m_condition.quote_age > Duration::zero()) {
    At(Instant(m_condition.quote_age), [this] { RefreshQuotes(); });
  }
  if (m_condition.store_lost) {
    At(m_workload.Halfway(), [this] { LoseStore(m_stores.size() - 1); });
  }
  bool measuring = false;
  double movedBefore = 0;
  while (!m_events.empty() && m_events.top().at < m_workload.end) {
    const Event event = m_events.top();
    m_events.pop();
    m_now = event.at;
    event.action();
    if (!measuring && m_figures.returning_tokens > 0) {
      measuring = true;
      movedBefore = MovedBytes();
    }
  }
  m_figures.link_bytes = MovedBytes() - movedBefore;
  return std::move(m_figures);
}

Duration
World::Backlog(std::size_t aTarget) const
{
  return m_condition.quote_age > Duration::zero()
           ? m_reports[aTarget]
           : m_targets[aTarget]->Backlog(m_now);
}

double
World::ServiceSeconds(std::uint32_t aBlocks) const
{
  const double tokens =
    static_cast<double>(aBlocks) * m_hardware.tokens_per_block +
    m_deployment.tail_tokens;
  return tokens / m_hardware.prefill_tokens_per_second +
         m_deployment.answer_tokens * m_hardware.decode_seconds_per_token;
}

void
World::At(Instant aWhen, std::function<void()> aAction)
{
  m_events.push({ aWhen, m_events_made++, std::move(aAction) });
}

FakeTarget&
World::Target(std::size_t aTarget)
{
  m_targets[aTarget]->SetTime(m_now);
  return *m_targets[aTarget];
}

void
World::Arrive(std::size_t aIndex)
{
  if (aIndex >= m_workload.requests.size()) {
    return;
  }
  const Request& request = m_workload.requests[aIndex];
  At(request.at, [this, aIndex, &request] {
    const Placement placement = std::visit(
      [&](auto& aPolicy) { return aPolicy.Route(*this, request); }, m_policy);
    context::Run run;
    run.id = ++m_ids;
    run.request = &request;
    run.planned_seconds = placement.planned_seconds;
    run.ready = !placement.import.has_value();
    run.early = placement.import.has_value() && placement.import->early;
    if (placement.hinted_blocks) {
      m_hinted[run.id] = *placement.hinted_blocks;
    }
    Target(placement.target).Enqueue(run);
    if (placement.import) {
      const ImportPlan& plan = *placement.import;
      const std::uint64_t id = ++m_ids;
      m_moving[id] = { TransferKind::kImport,
                       placement.target,
                       plan.store,
                       request.context,
                       plan.from,
                       plan.blocks,
                       run.id,
                       0,
                       false,
                       false };
      const auto cached =
        Target(placement.target).Cache().Blocks(request.context);
      const auto from = std::max(plan.from, cached);
      const auto blocks = plan.blocks - std::min(plan.blocks, from);
      m_import_of[run.id] = id;
      Submit(plan.store,
             id,
             TransferKind::kImport,
             request.account,
             blocks * m_hardware.bytes_per_block,
             plan.give_up);
    }
    Serve(placement.target);
    Arrive(aIndex + 1);
  });
}

void
World::Export(const ExportPlan& aPlan)
{
  const std::uint64_t id = ++m_ids;
  m_moving[id] = { TransferKind::kExport,
                   aPlan.target,
                   aPlan.store,
                   aPlan.context,
                   0,
                   aPlan.blocks,
                   0,
                   0,
                   aPlan.only_missing,
                   false };
  Submit(aPlan.store,
         id,
         aPlan.kind,
         aPlan.account,
         aPlan.blocks * m_hardware.bytes_per_block,
         kNever);
}

void
World::Submit(std::size_t aStore,
              std::uint64_t aId,
              TransferKind aKind,
              std::uint32_t aAccount,
              double aBytes,
              Instant aGiveUp)
{
  const bool fair =
    std::visit([](const auto& aPolicy) { return aPolicy.kFairLink; }, m_policy);
  const auto account = fair ? std::to_string(aAccount) : std::string();
  const core::Transfer transfer{ aId,
                                 aKind,
                                 core::AccountId(account),
                                 1,
                                 static_cast<std::uint64_t>(aBytes),
                                 aGiveUp };
  if (m_stores[aStore].IsLost() || !m_schedules[aStore].Submit(transfer)) {
    DropTransfer(aId);
    return;
  }
  if (aGiveUp != kNever) {
    At(aGiveUp, [this, aStore] { PumpLink(aStore); });
  }
  PumpLink(aStore);
}

void
World::PumpLink(std::size_t aStore)
{
  for (const auto& late : m_schedules[aStore].Expire(m_now)) {
    DropTransfer(late.id);
  }
  for (const auto& started : m_schedules[aStore].Start(m_now)) {
    StartTransfer(started.id);
  }
  WatchLink(aStore);
}

void
World::WatchLink(std::size_t aStore)
{
  const Instant end = m_links[aStore].NextEnd();
  if (end == kNever) {
    return;
  }
  At(end, [this, aStore] {
    const auto ended = m_links[aStore].TakeEnded(m_now);
    for (const std::uint64_t id : ended) {
      EndTransfer(id);
    }
    if (!ended.empty()) {
      PumpLink(aStore);
    }
  });
}

void
World::StartTransfer(std::uint64_t aId)
{
  Moving& moving = m_moving.at(aId);
  const bool started = moving.kind == TransferKind::kImport && moving.run != 0
                         ? StartImport(aId, moving)
                         : StartExport(aId, moving);
  if (!started) {
    const std::size_t store = moving.store;
    m_schedules[store].Cancel(aId, m_now);
    DropTransfer(aId);
    At(m_now, [this, store] { PumpLink(store); });
  }
}

bool
World::StartImport(std::uint64_t aId, Moving& aMoving)
{
  FakeStore& store = m_stores[aMoving.store];
  const StoredContext* copy = store.Find(aMoving.context);
  PrefixCache& cache = Target(aMoving.target).Cache();
  const std::uint32_t cached = cache.Blocks(aMoving.context);
  if (copy == nullptr || copy->blocks < aMoving.blocks ||
      cached >= aMoving.blocks) {
    return false;
  }
  aMoving.from = std::max(aMoving.from, cached);
  aMoving.generation = copy->generation;
  aMoving.started = true;
  cache.Pin(aMoving.context);
  const double bytes =
    (aMoving.blocks - aMoving.from) * m_hardware.bytes_per_block;
  const Duration latency =
    copy->in_memory ? Duration::zero() : m_hardware.disk_latency;
  store.Use(aMoving.context, m_now);
  std::visit([&](auto& aPolicy) { aPolicy.FitMemory(*this, aMoving.store); },
             m_policy);
  const std::size_t link = aMoving.store;
  At(m_now + latency, [this, aId, link, bytes] {
    if (m_moving.contains(aId)) {
      m_links[link].Start(aId, bytes, m_now);
      WatchLink(link);
    }
  });
  return true;
}

bool
World::StartExport(std::uint64_t aId, Moving& aMoving)
{
  FakeStore& store = m_stores[aMoving.store];
  PrefixCache& cache = Target(aMoving.target).Cache();
  const std::uint32_t blocks =
    std::min(aMoving.blocks, cache.Blocks(aMoving.context));
  const StoredContext* copy = store.Find(aMoving.context);
  const std::uint32_t kept = copy == nullptr ? 0 : copy->blocks;
  if (blocks <= kept) {
    return false;
  }
  aMoving.only_missing = aMoving.only_missing && kept > 0;
  const std::uint32_t moved = aMoving.only_missing ? blocks - kept : blocks;
  const bool room = std::visit(
    [&](auto& aPolicy) {
      return aPolicy.MakeRoom(*this, aMoving.store, aMoving.context, moved);
    },
    m_policy);
  if (!room || store.Missing(moved) > 0) {
    return false;
  }
  aMoving.blocks = blocks;
  aMoving.generation = store.Begin(moved);
  aMoving.started = true;
  cache.Pin(aMoving.context);
  m_links[aMoving.store].Start(aId, moved * m_hardware.bytes_per_block, m_now);
  if (m_figures.returning_tokens > 0) {
    ++m_figures.exports;
    m_figures.export_bytes += moved * m_hardware.bytes_per_block;
  }
  return true;
}

void
World::EndTransfer(std::uint64_t aId)
{
  const auto found = m_moving.find(aId);
  if (found == m_moving.end()) {
    return;
  }
  const Moving moving = found->second;
  m_moving.erase(found);
  m_schedules[moving.store].Finish(aId, m_now);
  if (moving.run != 0) {
    const StoredContext* copy = m_stores[moving.store].Find(moving.context);
    EndImport(moving, copy != nullptr && copy->generation == moving.generation);
  } else {
    EndExport(moving);
  }
}

void
World::EndImport(const Moving& aMoving, bool aArrived)
{
  PrefixCache& cache = Target(aMoving.target).Cache();
  m_import_of.erase(aMoving.run);
  if (aArrived) {
    ++m_figures.imports;
  } else {
    ++m_figures.failed_imports;
    if (aMoving.started) {
      cache.Unpin(aMoving.context);
    }
  }
  if (context::Run* run = Target(aMoving.target).Find(aMoving.run)) {
    run->ready = true;
    run->pinned = aArrived;
    if (aArrived) {
      run->import_from = aMoving.from;
      run->import_to = aMoving.blocks;
    }
  } else if (aArrived) {
    TakeArrival(aMoving.target, aMoving);
  }
  Serve(aMoving.target);
}

void
World::EndExport(const Moving& aMoving)
{
  Target(aMoving.target).Cache().Unpin(aMoving.context);
  FakeStore& store = m_stores[aMoving.store];
  if (!store.Commit(
        aMoving.context, aMoving.generation, aMoving.only_missing, m_now)) {
    return;
  }
  std::visit([&](auto& aPolicy) { aPolicy.FitMemory(*this, aMoving.store); },
             m_policy);
  std::uint32_t& ever = m_ever_kept[aMoving.context];
  ever = std::max(ever, aMoving.blocks);
  const auto& keys = m_workload.keys[aMoving.context];
  const core::CacheEvent event{ ++m_copy_events[aMoving.store],
                                core::CacheEventKind::kStored,
                                { keys.begin(), keys.begin() + aMoving.blocks },
                                core::CopyId{ std::to_string(aMoving.context),
                                              aMoving.generation } };
  At(m_now + m_hardware.event_lag, [this, event, index = aMoving.store] {
    std::visit([&](auto& aPolicy) { aPolicy.OnCopy(index, event); }, m_policy);
  });
}

void
World::DropTransfer(std::uint64_t aId)
{
  const auto found = m_moving.find(aId);
  if (found == m_moving.end()) {
    return;
  }
  const Moving moving = found->second;
  m_moving.erase(found);
  if (moving.run != 0) {
    EndImport(moving, false);
  } else if (moving.started) {
    Target(moving.target).Cache().Unpin(moving.context);
  }
}

void
World::CancelTransfer(std::uint64_t aId)
{
  const std::size_t store = m_moving.at(aId).store;
  m_links[store].Stop(aId, m_now);
  m_schedules[store].Cancel(aId, m_now);
  DropTransfer(aId);
  PumpLink(store);
}

void
World::Serve(std::size_t aTarget)
{
  FakeTarget& target = Target(aTarget);
  const auto run = target.TakeNext();
  if (!run) {
    return;
  }
  const Request& request = *run->request;
  Service& service = m_serving[aTarget];
  service.run = *run;
  service.started = m_now;
  service.cached =
    std::min(target.Cache().Blocks(request.context), request.blocks);
  target.Cache().Pin(request.context);
  const std::uint32_t from = std::max(run->import_from, service.cached);
  const std::uint32_t to = std::min(run->import_to, request.blocks);
  const std::uint32_t arrived = to > from ? to - from : 0;
  service.computed = request.blocks - service.cached - arrived;
  PlanEnd(aTarget);
}

void
World::PlanEnd(std::size_t aTarget)
{
  Service& service = m_serving[aTarget];
  const Instant end = std::max(
    m_now, service.started + ToDuration(ServiceSeconds(service.computed)));
  m_targets[aTarget]->SetBusyUntil(end);
  const std::uint64_t version = ++service.version;
  At(end, [this, aTarget, version] {
    if (m_serving[aTarget].version == version) {
      Finish(aTarget);
    }
  });
}

/// An import arrives while its target computes: what is computed already, or
/// lies before the import, has been or will be computed; the rest is there.
void
World::TakeArrival(std::size_t aTarget, const Moving& aMoving)
{
  Service& service = m_serving[aTarget];
  const Request& request = *service.run.request;
  service.run.pinned = true;
  const double rate =
    m_hardware.prefill_tokens_per_second / m_hardware.tokens_per_block;
  const auto done =
    service.cached +
    static_cast<std::uint32_t>(ToSeconds(m_now - service.started) * rate);
  const std::uint32_t from = std::max(aMoving.from, done + 1);
  const std::uint32_t to = std::min(aMoving.blocks, request.blocks);
  if (to > from) {
    service.computed -= to - from;
    PlanEnd(aTarget);
  }
}

void
World::Finish(std::size_t aTarget)
{
  FakeTarget& target = Target(aTarget);
  Service& service = m_serving[aTarget];
  ++service.version;
  const context::Run run = service.run;
  const Request& request = *run.request;
  CountRun(service);
  target.Cache().Put(request.context, request.blocks);
  target.Cache().Unpin(request.context);
  if (run.pinned) {
    target.Cache().Unpin(request.context);
  }
  target.SetIdle();
  const auto import = m_import_of.find(run.id);
  if (import != m_import_of.end()) {
    CancelTransfer(import->second);
  }
  std::visit([&](auto& aPolicy) { aPolicy.OnRan(*this, request, aTarget); },
             m_policy);
  Serve(aTarget);
}

void
World::CountRun(const Service& aService)
{
  const Request& request = *aService.run.request;
  if (request.measured) {
    const double answer =
      m_deployment.answer_tokens * m_hardware.decode_seconds_per_token;
    const std::uint32_t reused =
      std::min(request.blocks - aService.computed, request.seen_blocks);
    m_figures.first_token_seconds.push_back(ToSeconds(m_now - request.at) -
                                            answer);
    m_figures.target_seconds += ToSeconds(m_now - aService.started);
    m_figures.returning_tokens +=
      request.seen_blocks * m_hardware.tokens_per_block;
    m_figures.recomputed_tokens +=
      (request.seen_blocks - reused) * m_hardware.tokens_per_block;
    CountMissed(request, reused);
  }
  CountHint(aService);
}

void
World::CountHint(const Service& aService)
{
  const auto hinted = m_hinted.find(aService.run.id);
  if (hinted == m_hinted.end()) {
    return;
  }
  if (aService.run.request->measured) {
    const double error = static_cast<double>(hinted->second) -
                         static_cast<double>(aService.cached);
    ++m_figures.hints;
    m_figures.true_hints += error == 0 ? 1 : 0;
    m_figures.cached_blocks += aService.cached;
    m_figures.hint_error_blocks += std::abs(error);
  }
  m_hinted.erase(hinted);
}

void
World::CountMissed(const Request& aRequest, std::uint32_t aReused)
{
  std::uint32_t kept = 0;
  for (const FakeStore& store : m_stores) {
    if (const StoredContext* copy = store.Find(aRequest.context)) {
      kept = std::max(kept, copy->blocks);
    }
  }
  for (std::uint32_t i = aReused; i < aRequest.seen_blocks; ++i) {
    double& tokens = i < kept ? m_figures.passed_over_tokens
                     : i < m_ever_kept[aRequest.context]
                       ? m_figures.dropped_tokens
                       : m_figures.never_kept_tokens;
    tokens += m_hardware.tokens_per_block;
  }
}

void
World::Poll()
{
  const bool follows = std::visit(
    [](const auto& aPolicy) { return aPolicy.kFollowsEvents; }, m_policy);
  for (std::size_t i = 0; i < m_targets.size(); ++i) {
    for (const auto& timed :
         m_targets[i]->TakeEvents(m_now - m_hardware.event_lag)) {
      const double draw = std::generate_canonical<double, 53>(m_losses);
      if (follows && draw >= m_condition.event_gap) {
        std::visit([&](auto& aPolicy) { aPolicy.OnCacheEvent(i, timed.event); },
                   m_policy);
      }
    }
  }
  At(m_now + kPollEvery, [this] { Poll(); });
}

void
World::RefreshQuotes()
{
  for (std::size_t i = 0; i < m_targets.size(); ++i) {
    m_reports[i] = m_targets[i]->Backlog(m_now);
  }
  At(m_now + m_condition.quote_age, [this] { RefreshQuotes(); });
}

void
World::Report()
{
  std::visit([&](auto& aPolicy) { aPolicy.OnMinute(*this); }, m_policy);
  At(m_now + kMinute, [this] { Report(); });
}

void
World::LoseStore(std::size_t aStore)
{
  m_stores[aStore].Lose();
  std::visit([&](auto& aPolicy) { aPolicy.OnStoreLost(aStore); }, m_policy);
  std::vector<std::uint64_t> ids;
  for (const auto& [id, moving] : m_moving) {
    if (moving.store == aStore) {
      ids.push_back(id);
    }
  }
  std::sort(ids.begin(), ids.end());
  for (const std::uint64_t id : ids) {
    m_links[aStore].Stop(id, m_now);
    m_schedules[aStore].Cancel(id, m_now);
    DropTransfer(id);
  }
}

double
World::MovedBytes() const
{
  double bytes = 0;
  for (const FakeLink& link : m_links) {
    bytes += link.MovedBytes();
  }
  return bytes;
}

} // namespace jujubehead::bench::context
