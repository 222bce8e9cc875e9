#ifndef JUJUBEHEAD_BENCH_AGREEMENT_SIM_NODE_HPP
#define JUJUBEHEAD_BENCH_AGREEMENT_SIM_NODE_HPP

#include <cstdint>    // for uint32_t, uint64_t
#include <deque>      // for deque
#include <functional> // for function
#include <map>        // for map
#include <vector>     // for vector

#include "bench/agreement/world.hpp"            // for World
#include "jujubehead/core/ownership.hpp"        // for Ownership
#include "jujubehead/core/permit_holder.hpp"    // for PermitHolder
#include "jujubehead/core/permit_scheduler.hpp" // for PermitScheduler

namespace jujubehead::bench {

/// @brief One instance: the real decisions, joined as the node layer joins
/// them, and callers that offer requests.
class SimNode
{
public:
  SimNode(World& aWorld,
          std::uint32_t aIndex,
          core::InstanceId aId,
          core::DataCentreId aDataCentre,
          std::uint64_t aProcess);

  void Receive(const core::InstanceId& aFrom, const wire::Envelope& aEnvelope);
  void Written(std::uint64_t aToken, core::WriteOutcome aOutcome);
  void Read(const core::RowsRead& aRows);
  /// @param aMidStep stop within the next step: what it sends goes out only
  /// after the pause.
  void Pause(core::Duration aTime, bool aMidStep);
  void Leave();
  void Kill() { m_alive = false; }

  [[nodiscard]] bool IsAlive() const { return m_alive; }
  [[nodiscard]] bool IsPaused() const { return m_paused; }
  [[nodiscard]] bool IsLeaving() const { return m_leaving; }
  [[nodiscard]] const core::InstanceId& Id() const { return m_id; }
  [[nodiscard]] const core::DataCentreId& DataCentre() const { return m_dc; }
  [[nodiscard]] const core::Ownership& Own() const { return m_own; }
  [[nodiscard]] std::uint32_t Index() const { return m_index; }
  /// @return places of an owned target that are not reserved.
  [[nodiscard]] std::uint32_t OpenPlaces(const core::GroupId& aGroup) const;
  [[nodiscard]] std::string Describe() const;

private:
  struct Pending
  {
    core::GroupId group;
    core::Instant deadline;
    core::Instant ask_at;
  };

  struct Run
  {
    core::RequestId request;
    core::GroupId group;
  };

  struct Grant
  {
    core::Instant at;
    bool started = false;
  };

  using Step = std::function<void()>;

  void Do(const Step& aStep);
  void Out(Step aEffect);
  void Resume();
  void Tick();
  void Offer();
  void Post(const core::InstanceId& aTo, wire::Envelope aEnvelope);
  void Post(const core::InstanceId& aTo, wire::Message aMessage)
  {
    Post(aTo, wire::Envelope{ 0, false, std::move(aMessage) });
  }

  void CarryOut();
  void Act(const core::SendMessage& aAction);
  void Act(const core::WriteRows& aAction);
  void Act(const core::ReadRows& aAction);
  void Act(const core::StartOwning& aAction);
  void Act(const core::StopOwning& aAction);
  void Act(const core::HandOverGroup& aAction);

  template<typename Message>
  void On(const core::InstanceId& aFrom,
          std::uint64_t aCall,
          const Message& aMessage);
  void OnAsk(const core::InstanceId& aFrom, const wire::PermitAcquire& aAsk);
  void OnAnswer(const wire::PermitReply& aAnswer);
  void OnRelease(const wire::PermitRelease& aRelease);
  void Decide(const core::GroupId& aGroup);
  void Ask(const core::RequestId& aRequest, Pending& aPending);
  void Begin(const Run& aRun, const core::PermitId& aPermit);
  void OnRunEnded(const Run& aRun, const core::PermitId& aPermit);
  void SendRelease(const core::GroupId& aGroup, const core::PermitId& aPermit);
  void LookAfterBooks();
  void AskHolders(const core::GroupId& aGroup, core::PermitScheduler& aBook);
  void AskTarget(const core::GroupId& aGroup);
  void VoidByTime();
  core::PermitHolder& Holder(const core::GroupId& aGroup);

  World& m_world;
  std::uint32_t m_index;
  core::InstanceId m_id;
  core::DataCentreId m_dc;
  core::Ownership m_own;
  std::map<core::GroupId, core::PermitScheduler> m_books;
  std::map<core::GroupId, core::PermitHolder> m_holders;
  std::map<core::RequestId, Pending> m_pending;
  std::map<core::GroupId, std::map<core::PermitId, Grant>> m_grants;
  std::uint64_t m_offered = 0;
  core::Instant m_slow_tick_at;
  bool m_alive = true;
  bool m_paused = false;
  bool m_leaving = false;
  bool m_stop_after_step = false;
  bool m_holding = false;
  core::Duration m_pause_time{};
  std::deque<Step> m_inbox;
  std::deque<Step> m_outbox;
  std::uint64_t m_process;
};

} // namespace jujubehead::bench

#endif // JUJUBEHEAD_BENCH_AGREEMENT_SIM_NODE_HPP
