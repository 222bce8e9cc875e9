#ifndef JUJUBEHEAD_NODE_HELD_RUN_HPP
#define JUJUBEHEAD_NODE_HELD_RUN_HPP

#include <string> // for string

#include "jujubehead/node/entry_service.hpp" // for Admitted

namespace jujubehead::node {

struct TrafficThread;

/// @brief How a run at a target ended, as far as its entry knows.
enum class RunEnd
{
  kNotStarted, ///< No byte of it reached the target.
  kComplete,   ///< The target's reply came whole.
  kCut,        ///< It may still run: the target must be told to end it.
};

/// @brief One permit in use; gives it back exactly once, on destruction.
///
/// A run that was cut off is first aborted at the target, so that its place is
/// given to nobody else while it may still run. For one traffic thread.
class HeldRun
{
public:
  /// @param aThread outlives the abort of the run.
  HeldRun(TrafficThread& aThread, core::RequestId aAttempt, Admitted aAdmitted);
  ~HeldRun();
  HeldRun(const HeldRun&) = delete;
  HeldRun& operator=(const HeldRun&) = delete;

  [[nodiscard]] const Admitted& Place() const { return m_admitted; }
  /// @return whether the permit may still be used to dispatch now.
  [[nodiscard]] bool MayStart() const;
  /// @brief The request is on its way: from now on it may run.
  void Dispatched();
  /// @brief Without this the run counts as cut once dispatched.
  void SetEnd(RunEnd aEnd) { m_end = aEnd; }
  /// @brief What the run showed of the target, for its owner.
  void NoteFirstToken();
  void NoteRecomputed(std::uint32_t aTokens);
  /// @brief Whether the target now holds the request's context.
  void NoteCached() { m_cached = true; }

private:
  void Release();

  TrafficThread& m_thread;
  core::RequestId m_attempt;
  Admitted m_admitted;
  RunEnd m_end = RunEnd::kNotStarted;
  core::Instant m_dispatched_at{};
  wire::PermitRelease m_release;
  bool m_cached = false;
};

} // namespace jujubehead::node

#endif // JUJUBEHEAD_NODE_HELD_RUN_HPP
