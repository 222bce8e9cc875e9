#ifndef JUJUBEHEAD_NODE_METRICS_HPP
#define JUJUBEHEAD_NODE_METRICS_HPP

#include <cstdint>     // for uint64_t, uint8_t
#include <memory>      // for unique_ptr
#include <mutex>       // for mutex
#include <span>        // for span
#include <string>      // for string
#include <string_view> // for string_view
#include <vector>      // for vector

#include "jujubehead/core/runtime_clock.hpp" // for Duration
#include "jujubehead/core/table.hpp"         // for Table, TableRow

namespace jujubehead::node {

/// @brief What is recorded as a histogram, per account class and per target.
enum class Timing : std::uint8_t
{
  kTimeToFirstToken, ///< From the caller's request to its first token.
  kBetweenTokens,
  kQueueWait, ///< For the owner's permit.
};

/// @brief What is counted.
enum class Counter : std::uint8_t
{
  kRequests,           ///< Taken from callers.
  kAnswers,            ///< Answered whole.
  kCallersGone,        ///< Callers that left before their answer's end.
  kUnauthenticated,    ///< Requests without a valid key.
  kBadRequests,        ///< Requests with a 4xx answer for their content.
  kTokens,             ///< Sent to callers.
  kPromptTokens,       ///< Of prompts, as the engines count them.
  kCachedTokens,       ///< Of prompts: found in the engine's cache.
  kImportedTokens,     ///< Of prompts: imported from a store.
  kRecomputedTokens,   ///< Of prompts: computed again or for the first time.
  kLinkBytes,          ///< Moved over the links of stores.
  kRetries,            ///< Runs begun again elsewhere.
  kResumes,            ///< Streams that went on elsewhere.
  kClaims,             ///< Claims written for non-idempotent requests.
  kDuplicates,         ///< Requests that found another's claim.
  kTableChanges,       ///< Versions of the table that came in force here.
  kServiceReads,       ///< Calls to the table service that read.
  kServiceWrites,      ///< Calls to the table service that write.
  kServiceFailures,    ///< Calls to the table service that failed.
  kPassedOverTokens,   ///< Of the recomputed: a store's link was too busy.
  kTargetRefusals,     ///< Requests that targets refused as not run.
  kBrokenReplies,      ///< Replies of targets that broke off or were invalid.
  kTargetCrashes,      ///< Targets that this instance found crashed.
  kPushbacks,          ///< Refusals by targets that requested backoff.
  kLimitedRefusals,    ///< Requests refused as all their targets are limited.
  kBrittleRefusals,    ///< Requests refused as no share of brittle targets is
                       ///< left.
  kStreamsFound,       ///< Streams whose version another instance knew.
  kStreamsUnknown,     ///< Streams refused as nobody knew their version.
  kStreamsCut,         ///< Streams that ended within the response.
  kSilentTargets,      ///< Requests whose target did not respond in time.
  kDrainingReplies,    ///< Replies of targets that say that they are leaving.
  kTunnels,            ///< Connections to targets through other instances.
  kTunnelsServed,      ///< The same, opened for other instances.
  kPathChecks,         ///< Checks of paths to targets that did not respond.
  kRoomRefusals,       ///< Requests refused as more urgent ones need the room.
  kColdSends,          ///< Requests sent to cold targets.
  kSecondSends,        ///< Slow requests sent to a second target.
  kSecondSendsWon,     ///< Of these, the second target responded first.
  kSecondSendsDenied,  ///< Slow requests that were not sent again.
  kMemoryRefusals,     ///< Requests refused for want of memory.
  kConnectionsClosed,  ///< Idle connections closed to make room for others.
  kConnectionsRefused, ///< Connections of callers beyond the limit.
  kTakeovers,          ///< Targets and stores that came to this instance.
};

/// @brief A value as of now, for the metrics page.
struct Gauge
{
  std::string name; ///< With the prefix `jujubehead_`.
  std::string help;
  std::string label; ///< Name of the only label; may be empty.
  std::string label_value;
  double value = 0;
};

/// @return the class whose histograms an account's requests go to: the account
/// itself in a table of few accounts, else the decade of its weight.
std::string
AccountClass(const core::Table& aTable, const core::TableRow& aRow);

/// @brief What one thread records. Recording never waits for other recorders,
/// only for a page that is being read, and then for a copy.
class ThreadMetrics
{
public:
  virtual ~ThreadMetrics() = default;

  virtual void Record(Timing aTiming,
                      std::string_view aAccountClass,
                      std::string_view aTarget,
                      core::Duration aTime) = 0;
  virtual void Add(Counter aCounter, std::uint64_t aCount = 1) = 0;
  /// @param aReason in `lower_case`, one of few.
  /// @param aNotRun whether the refusal said `not_run`.
  virtual void Refuse(std::string_view aReason, bool aNotRun) = 0;
};

/// @brief The metrics of one instance.
class Metrics
{
public:
  static std::unique_ptr<Metrics> Create();
  virtual ~Metrics() = default;

  /// @return a recorder for one thread, valid as long as this; thread-safe.
  virtual ThreadMetrics& ForThread() = 0;
  /// @return all threads' records together, as Prometheus text; thread-safe.
  [[nodiscard]] virtual std::string Render(
    std::span<const Gauge> aGauges = {}) const = 0;
  /// @return a counter over all threads; thread-safe.
  [[nodiscard]] virtual std::uint64_t Total(Counter aCounter) const = 0;
};

} // namespace jujubehead::node

#endif // JUJUBEHEAD_NODE_METRICS_HPP
