#ifndef JUJUBEHEAD_STANDIN_ENGINE_MODEL_HPP
#define JUJUBEHEAD_STANDIN_ENGINE_MODEL_HPP

#include <chrono>   // for microseconds
#include <cstddef>  // for size_t
#include <cstdint>  // for int64_t, uint64_t
#include <deque>    // for deque
#include <list>     // for list
#include <memory>   // for shared_ptr
#include <optional> // for optional
#include <span>     // for span
#include <string>   // for string
#include <variant>  // for variant
#include <vector>   // for vector

#include <nlohmann/json.hpp> // for json

#include "standin/answer.hpp"          // for Answer
#include "standin/engine_counters.hpp" // for EngineCounters
#include "standin/engine_weights.hpp"  // for EngineWeights
#include "standin/event_log.hpp"       // for EventLog, EpochMs
#include "standin/prefix_cache.hpp"    // for PrefixCache

namespace jujubehead::standin {

/// @brief How an engine behaves.
struct EngineOptions
{
  std::string model = "jujube-large";
  std::vector<std::string> versions{ "v1" };
  std::vector<std::string> adapters;
  std::size_t total_blocks = 4096;
  std::size_t batch = 16;                  ///< Most runs at once.
  std::size_t hard_limit = 64;             ///< Most runs and waiting requests.
  std::size_t prefill_chunk_tokens = 2048; ///< Most prompt tokens a step.
  std::chrono::microseconds prefill_per_token{ 20 };
  std::chrono::microseconds decode_per_step{ 5000 };
  std::uint64_t kv_bytes_per_token = 1024;
  bool checks_fencing = true;
  EpochMs load_ms = 500;    ///< Loading a version or an adapter.
  EpochMs load_lag_ms = 50; ///< Lateness of the load report.
  EventOptions events;
};

/// @brief A request as the engine takes it.
struct RunRequest
{
  std::string request_id;
  std::int64_t fencing = 0;
  std::int64_t priority = 0;
  std::string version; ///< Empty: the newest.
  std::string adapter;
  std::string prompt;
  std::int64_t seed = 0;
  std::optional<std::size_t> max_tokens;
  std::vector<std::string> stop;
  std::size_t resume_from = 0;
  std::string salt;
  std::size_t block_bytes = 0;
  std::vector<std::string> keys;
};

enum class RunState
{
  kImporting,
  kWaiting,
  kRunning,
  kDone,
  kCut, ///< Aborted, or lost in a crash.
};

/// @brief A request inside the engine.
struct Run
{
  RunRequest request;
  Answer answer;
  RunState state = RunState::kWaiting;
  std::size_t prompt_tokens = 0;
  std::size_t cached_tokens = 0; ///< Not computed again; imported ones too.
  std::size_t imported_tokens = 0;
  std::size_t recomputed_tokens = 0;
  std::size_t emitted = 0;      ///< Index after the last token made.
  std::size_t prefill_left = 0; ///< Prompt tokens still to compute.
  std::size_t pinned = 0;       ///< Leading keys that it holds in the cache.
  bool stored = false;          ///< Its prompt's blocks went to the cache.
};
using RunPtr = std::shared_ptr<Run>;

enum class Refusal
{
  kOldFencing,
  kWrongVersion,
  kFull,
};

/// @brief What a batching step costs, and whether a prompt crashed the engine.
struct StepPlan
{
  std::chrono::microseconds cost{ 0 };
  bool crashed = false;
};

/// @brief A model engine without its sockets: continuous batching over a
/// prefix cache of limited size. Time comes in as an argument.
class EngineModel
{
public:
  explicit EngineModel(EngineOptions aOptions);
  EngineModel(const EngineModel&) = delete;
  EngineModel& operator=(const EngineModel&) = delete;
  EngineModel(EngineModel&&) = delete;
  EngineModel& operator=(EngineModel&&) = delete;
  ~EngineModel() = default;

  /// @brief Takes a request; with `aImports` it waits for FinishImport().
  std::variant<RunPtr, Refusal> Submit(RunRequest aRequest,
                                       bool aImports,
                                       EpochMs aNow);
  /// @brief Ends a run's import. Of the store's blocks only those count that
  /// carry the run's own keys under its own salt.
  void FinishImport(const RunPtr& aRun,
                    std::span<const std::string> aKeys,
                    std::string_view aSalt,
                    EpochMs aNow);
  /// @brief Ends a run at once, wherever it is.
  void Cut(const RunPtr& aRun);
  /// @return the runs under that id, now cut.
  std::vector<RunPtr> Abort(std::string_view aRequestId);

  [[nodiscard]] bool HasWork() const;
  /// @brief Starts waiting runs and says what the next step costs.
  StepPlan BeginStep(EpochMs aNow);
  /// @brief Completes that step. @return the runs that got a token or ended.
  std::vector<RunPtr> EndStep(EpochMs aNow);
  /// @brief Loses the cache, all runs and loads. @return the runs, now cut.
  std::vector<RunPtr> Crash();
  /// @brief A prompt that holds this text crashes the engine; empty: none.
  void SetCrashText(std::string aText) { m_crash_text = std::move(aText); }

  /// @return whether a fencing number may act; remembers the highest.
  bool AcceptFencing(std::int64_t aFencing);
  /// @brief Takes an order; false when the order is unknown.
  bool TakeOrder(const nlohmann::json& aOrder, EpochMs aNow);
  /// @return leading keys that are cached, pinned until Unpin().
  std::vector<std::string> PinForExport(std::span<const std::string> aKeys);
  void Unpin(std::span<const std::string> aKeys) { m_cache.Unpin(aKeys); }
  [[nodiscard]] const CachedBlock* Find(const std::string& aKey) const
  {
    return m_cache.Find(aKey);
  }

  /// @brief Keeps a load report, for readers to see after the lag.
  void ObserveLoad(EpochMs aNow);
  [[nodiscard]] nlohmann::json Load(EpochMs aNow);
  [[nodiscard]] nlohmann::json CacheEvents(std::uint64_t aAfter,
                                           EpochMs aNow) const;
  [[nodiscard]] nlohmann::json Stats() const;
  [[nodiscard]] const EngineOptions& Options() const { return m_options; }
  [[nodiscard]] std::int64_t OrderSeen() const { return m_highest_fencing; }

private:
  [[nodiscard]] std::uint64_t BlockBytes(const Run& aRun) const;
  [[nodiscard]] std::size_t TokensOfBlocks(const Run& aRun,
                                           std::size_t aBlocks) const;
  [[nodiscard]] nlohmann::json LoadNow(EpochMs aNow) const;
  RunPtr TakeNextWaiting();
  bool Start(const RunPtr& aRun);
  void CompletePrefill(Run& aRun);
  void PinCached(Run& aRun);
  void Release(Run& aRun, RunState aState);

  EngineOptions m_options;
  EpochMs m_now = 0;
  EventLog m_events;
  PrefixCache m_cache;
  std::list<RunPtr> m_waiting; // In order of arrival, importing ones too.
  std::vector<RunPtr> m_running;
  std::vector<RunPtr> m_planned; // Runs that this step gives a token.
  EngineWeights m_weights;
  std::deque<nlohmann::json> m_reports;
  std::int64_t m_highest_fencing = 0;
  std::string m_role = "serve";
  std::string m_crash_text;
  EngineCounters m_counters;
};

} // namespace jujubehead::standin

#endif // JUJUBEHEAD_STANDIN_ENGINE_MODEL_HPP
