#include "standin/engine_model.hpp"

#include <algorithm>     // for find, min, max
#include <unordered_set> // for unordered_set
#include <utility>       // for exchange, move

namespace jujubehead::standin {
namespace {

Answer
AnswerOf(const RunRequest& aRequest)
{
  return MakeAnswer({ aRequest.prompt,
                      aRequest.version,
                      aRequest.adapter,
                      aRequest.seed,
                      aRequest.max_tokens,
                      aRequest.stop });
}

} // namespace

EngineModel::EngineModel(EngineOptions aOptions)
  : m_options(std::move(aOptions))
  , m_events(m_options.events)
  , m_cache(
      m_options.total_blocks,
      [this](BlockChange aChange, const CachedBlock& aBlock) {
        m_events.Add(
          m_now,
          { { "kind", aChange == BlockChange::kStored ? "stored" : "removed" },
            { "key", aBlock.key },
            { "bytes", aBlock.bytes } });
      })
  , m_weights(m_options.versions, m_options.adapters, m_options.load_ms)
{
}

std::variant<RunPtr, Refusal>
EngineModel::Submit(RunRequest aRequest, bool aImports, EpochMs aNow)
{
  m_weights.Settle(aNow);
  if (!AcceptFencing(aRequest.fencing)) {
    ++m_counters.refused_old_fencing;
    return Refusal::kOldFencing;
  }
  if (aRequest.version.empty()) {
    aRequest.version = m_weights.Newest();
  }
  if (!m_weights.Has(aRequest.version, aRequest.adapter)) {
    ++m_counters.refused_wrong_version;
    return Refusal::kWrongVersion;
  }
  if (m_running.size() + m_waiting.size() >= m_options.hard_limit) {
    ++m_counters.refused_full;
    return Refusal::kFull;
  }
  auto run = std::make_shared<Run>();
  run->answer = AnswerOf(aRequest);
  run->prompt_tokens = TokensOfBytes(aRequest.prompt.size());
  run->emitted = std::min(aRequest.resume_from, run->answer.tokens.size());
  run->request = std::move(aRequest);
  run->state = aImports ? RunState::kImporting : RunState::kWaiting;
  m_waiting.push_back(run);
  m_counters.max_held_seen =
    std::max(m_counters.max_held_seen, m_running.size() + m_waiting.size());
  return run;
}

void
EngineModel::FinishImport(const RunPtr& aRun,
                          std::span<const std::string> aKeys,
                          std::string_view aSalt,
                          EpochMs aNow)
{
  if (aRun->state != RunState::kImporting) {
    return;
  }
  m_now = aNow;
  aRun->state = RunState::kWaiting;
  const RunRequest& request = aRun->request;
  PinCached(*aRun);
  const std::size_t hit = aRun->pinned;
  std::size_t length = hit;
  if (aSalt == request.salt) {
    const std::unordered_set<std::string> stored(aKeys.begin(), aKeys.end());
    while (length < request.keys.size() &&
           stored.contains(request.keys[length])) {
      ++length;
    }
  }
  if (length == hit && hit < request.keys.size() && !aKeys.empty()) {
    ++m_counters.foreign_imports;
  }
  m_cache.Store(
    std::span(request.keys).first(length), request.salt, BlockBytes(*aRun));
  PinCached(*aRun);
  aRun->imported_tokens =
    TokensOfBlocks(*aRun, aRun->pinned) - TokensOfBlocks(*aRun, hit);
}

void
EngineModel::Cut(const RunPtr& aRun)
{
  if (aRun->state == RunState::kDone || aRun->state == RunState::kCut) {
    return;
  }
  std::erase(m_waiting, aRun);
  std::erase(m_running, aRun);
  std::erase(m_planned, aRun);
  Release(*aRun, RunState::kCut);
  ++m_counters.cut;
}

std::vector<RunPtr>
EngineModel::Abort(std::string_view aRequestId)
{
  std::vector<RunPtr> found;
  const auto collect = [&](const RunPtr& aRun) {
    if (aRun->request.request_id == aRequestId) {
      found.push_back(aRun);
    }
  };
  std::ranges::for_each(m_waiting, collect);
  std::ranges::for_each(m_running, collect);
  for (const RunPtr& run : found) {
    Cut(run);
  }
  return found;
}

bool
EngineModel::HasWork() const
{
  return !m_running.empty() ||
         std::ranges::any_of(m_waiting, [](const RunPtr& aRun) {
           return aRun->state == RunState::kWaiting;
         });
}

StepPlan
EngineModel::BeginStep(EpochMs aNow)
{
  m_now = aNow;
  m_weights.Settle(aNow);
  while (m_running.size() < m_options.batch) {
    const RunPtr run = TakeNextWaiting();
    if (run == nullptr) {
      break;
    }
    if (!Start(run)) {
      return { std::chrono::microseconds(0), true };
    }
  }
  std::size_t chunk = m_options.prefill_chunk_tokens;
  StepPlan plan;
  m_planned.clear();
  for (const RunPtr& run : m_running) {
    const std::size_t part = std::min(chunk, run->prefill_left);
    chunk -= part;
    run->prefill_left -= part;
    plan.cost += m_options.prefill_per_token * part;
    if (run->prefill_left == 0) {
      m_planned.push_back(run);
    }
  }
  plan.cost += m_options.decode_per_step;
  return plan;
}

std::vector<RunPtr>
EngineModel::EndStep(EpochMs aNow)
{
  m_now = aNow;
  for (const RunPtr& run : m_planned) {
    CompletePrefill(*run);
    if (run->emitted < run->answer.tokens.size()) {
      ++run->emitted;
      ++m_counters.answer_tokens;
    }
    if (run->emitted == run->answer.tokens.size()) {
      Release(*run, RunState::kDone);
      ++m_counters.done;
    }
  }
  std::erase_if(m_running, [](const RunPtr& aRun) {
    return aRun->state == RunState::kDone;
  });
  return std::exchange(m_planned, {});
}

std::vector<RunPtr>
EngineModel::Crash()
{
  std::vector<RunPtr> runs(m_running);
  runs.insert(runs.end(), m_waiting.begin(), m_waiting.end());
  for (const RunPtr& run : runs) {
    run->state = RunState::kCut;
    run->pinned = 0;
  }
  m_running.clear();
  m_waiting.clear();
  m_planned.clear();
  m_weights.Abandon();
  m_cache.Clear();
  m_events.Add(m_now, { { "kind", "cleared" }, { "key", "" }, { "bytes", 0 } });
  ++m_counters.crashes;
  return runs;
}

bool
EngineModel::AcceptFencing(std::int64_t aFencing)
{
  const bool old = aFencing < m_highest_fencing;
  m_highest_fencing = std::max(m_highest_fencing, aFencing);
  return !old || !m_options.checks_fencing;
}

bool
EngineModel::TakeOrder(const nlohmann::json& aOrder, EpochMs aNow)
{
  m_weights.Settle(aNow);
  const auto order = aOrder.value("order", std::string());
  const auto version = aOrder.value("version", std::string());
  if (order == "load_version") {
    m_weights.LoadVersion(version, aNow);
  } else if (order == "load_adapter") {
    m_weights.LoadAdapter(aOrder.value("adapter", std::string()), aNow);
  } else if (order == "unload_version") {
    m_weights.UnloadVersion(version);
  } else if (order == "set_role") {
    m_role = aOrder.value("role", std::string());
  } else {
    return order == "fence";
  }
  return true;
}

std::vector<std::string>
EngineModel::PinForExport(std::span<const std::string> aKeys)
{
  const CachedBlock* first = aKeys.empty() ? nullptr : Find(aKeys.front());
  if (first == nullptr) {
    return {};
  }
  const auto held = aKeys.first(m_cache.HitLength(aKeys, first->salt));
  m_cache.Pin(held);
  return { held.begin(), held.end() };
}

void
EngineModel::ObserveLoad(EpochMs aNow)
{
  m_weights.Settle(aNow);
  m_reports.push_back(LoadNow(aNow));
  while (m_reports.size() > 1 &&
         m_reports[1]["as_of_ms"] <= aNow - m_options.load_lag_ms) {
    m_reports.pop_front();
  }
}

nlohmann::json
EngineModel::Load(EpochMs aNow)
{
  ObserveLoad(aNow);
  return m_reports.front();
}

nlohmann::json
EngineModel::CacheEvents(std::uint64_t aAfter, EpochMs aNow) const
{
  return m_events.After(aAfter, aNow);
}

nlohmann::json
EngineModel::Stats() const
{
  nlohmann::json stats = m_counters;
  stats["running"] = m_running.size();
  stats["waiting"] = m_waiting.size();
  stats["cached_blocks"] = m_cache.Size();
  stats["order_seen"] = m_highest_fencing;
  stats["versions"] = m_weights.Versions();
  stats["role"] = m_role;
  return stats;
}

std::uint64_t
EngineModel::BlockBytes(const Run& aRun) const
{
  return TokensOfBytes(aRun.request.block_bytes) * m_options.kv_bytes_per_token;
}

std::size_t
EngineModel::TokensOfBlocks(const Run& aRun, std::size_t aBlocks) const
{
  return std::min(TokensOfBytes(aRun.request.block_bytes) * aBlocks,
                  aRun.prompt_tokens);
}

nlohmann::json
EngineModel::LoadNow(EpochMs aNow) const
{
  std::vector<std::string> running;
  for (const RunPtr& run : m_running) {
    running.push_back(run->request.request_id);
  }
  return { { "as_of_ms", aNow },
           { "order_seen", m_highest_fencing },
           { "running", std::move(running) },
           { "waiting", m_waiting.size() },
           { "free_blocks", m_cache.TotalBlocks() - m_cache.Size() },
           { "total_blocks", m_cache.TotalBlocks() },
           { "model", m_options.model },
           { "versions", m_weights.Versions() },
           { "adapters", m_weights.Adapters() },
           { "role", m_role },
           { "loading", m_weights.IsLoading() } };
}

RunPtr
EngineModel::TakeNextWaiting()
{
  auto best = m_waiting.end();
  for (auto it = m_waiting.begin(); it != m_waiting.end(); ++it) {
    const bool ready = (*it)->state == RunState::kWaiting;
    if (ready && (best == m_waiting.end() ||
                  (*it)->request.priority < (*best)->request.priority)) {
      best = it;
    }
  }
  if (best == m_waiting.end()) {
    return nullptr;
  }
  RunPtr run = *best;
  m_waiting.erase(best);
  return run;
}

bool
EngineModel::Start(const RunPtr& aRun)
{
  Run& run = *aRun;
  ++m_counters.runs_started[run.request.request_id];
  run.state = RunState::kRunning;
  m_running.push_back(aRun);
  m_counters.max_running_seen =
    std::max(m_counters.max_running_seen, m_running.size());
  if (!m_crash_text.empty() &&
      run.request.prompt.find(m_crash_text) != std::string::npos) {
    return false;
  }
  PinCached(run);
  run.cached_tokens = TokensOfBlocks(run, run.pinned);
  run.recomputed_tokens = run.prompt_tokens - run.cached_tokens;
  run.prefill_left = run.recomputed_tokens + run.emitted;
  m_counters.prompt_tokens += run.prompt_tokens;
  m_counters.cached_tokens += run.cached_tokens;
  m_counters.imported_tokens += run.imported_tokens;
  m_counters.recomputed_tokens += run.recomputed_tokens;
  return true;
}

void
EngineModel::CompletePrefill(Run& aRun)
{
  if (std::exchange(aRun.stored, true)) {
    return;
  }
  m_cache.Store(aRun.request.keys, aRun.request.salt, BlockBytes(aRun));
  PinCached(aRun);
}

void
EngineModel::PinCached(Run& aRun)
{
  const RunRequest& request = aRun.request;
  const std::size_t length = m_cache.HitLength(request.keys, request.salt);
  if (length > aRun.pinned) {
    m_cache.Pin(
      std::span(request.keys).subspan(aRun.pinned, length - aRun.pinned));
    aRun.pinned = length;
  }
}

void
EngineModel::Release(Run& aRun, RunState aState)
{
  aRun.state = aState;
  m_cache.Unpin(std::span(aRun.request.keys).first(aRun.pinned));
  aRun.pinned = 0;
}

} // namespace jujubehead::standin
