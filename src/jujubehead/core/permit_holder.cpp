#include "jujubehead/core/permit_holder.hpp"

#include <algorithm> // for max
#include <utility>   // for move

namespace jujubehead::core {

PermitHolder::PermitHolder(InstanceId aSelf,
                           PermitRules aRules,
                           std::uint64_t aProcess)
  : m_self(std::move(aSelf))
  , m_rules(aRules)
  , m_process(aProcess)
{
}

PermitHolder
PermitHolder::For(InstanceId aSelf, PermitRules aRules, std::uint64_t aProcess)
{
  return { std::move(aSelf), aRules, aProcess };
}

void
PermitHolder::RegisterRequest(const RequestId& aRequest,
                              const AccountId& aAccount)
{
  m_waiting.try_emplace(aRequest, Waiting{ aAccount, {} });
}

bool
PermitHolder::RemoveRequest(const RequestId& aRequest)
{
  return m_waiting.erase(aRequest) != 0;
}

GrantOutcome
PermitHolder::OnGranted(const PermitGranted& aGrant,
                        Instant aSentAt,
                        Instant aNow)
{
  const PermitId permit = aGrant.permit;
  if (m_held.contains(permit) || permit <= m_answered) {
    return IgnoreGrant{};
  }
  const auto waiting = m_waiting.find(aGrant.request);
  if (waiting == m_waiting.end()) {
    return ReleasePermit{ permit };
  }
  const bool late = aNow >= aSentAt + m_rules.start_window;
  if (late || permit <= waiting->second.last_returned) {
    waiting->second.last_returned =
      std::max(waiting->second.last_returned, permit);
    return ReleasePermit{ permit };
  }
  m_held.emplace(
    permit,
    HeldPermit{
      permit, aGrant.request, m_self, waiting->second.account, m_process });
  m_waiting.erase(waiting);
  return StartRun{ permit };
}

void
PermitHolder::OnRunEnded(const PermitId& aPermit)
{
  m_held.erase(aPermit);
}

HoldingsReply
PermitHolder::AnswerQuery(const HoldingsQuery& aQuery)
{
  m_answered = std::max(m_answered, aQuery.up_to);
  HoldingsReply answer{ m_self, aQuery.up_to, {}, m_process };
  for (const auto& [permit, held] : m_held) {
    if (permit <= aQuery.up_to) {
      answer.held.push_back(held);
    }
  }
  return answer;
}

std::vector<HeldPermit>
PermitHolder::Held() const
{
  std::vector<HeldPermit> held;
  held.reserve(m_held.size());
  for (const auto& [permit, entry] : m_held) {
    held.push_back(entry);
  }
  return held;
}

} // namespace jujubehead::core
