#ifndef JUJUBEHEAD_CORE_PERMIT_HOLDER_HPP
#define JUJUBEHEAD_CORE_PERMIT_HOLDER_HPP

#include <cstdint> // for uint64_t
#include <map>     // for map
#include <variant> // for variant
#include <vector>  // for vector

#include "jujubehead/core/permit.hpp" // for PermitId, HeldPermit

namespace jujubehead::core {

/// @brief Dispatch immediately, without waiting for anything else.
struct StartRun
{
  PermitId permit;
};

/// @brief Too late, or the request was cancelled: release the permit. A request
/// that still waits is sent again.
struct ReleasePermit
{
  PermitId permit;
};

/// @brief Nothing to do: a duplicate, or a permit already returned.
struct IgnoreGrant
{};

using GrantOutcome = std::variant<StartRun, ReleasePermit, IgnoreGrant>;

/// @brief The holder's side of one target's permits: decides whether a grant
/// may still be used, and reports held permits to owners.
class PermitHolder
{
public:
  /// @param aProcess drawn at random when the process starts.
  static PermitHolder For(InstanceId aSelf,
                          PermitRules aRules = {},
                          std::uint64_t aProcess = 0);

  /// @brief Call before a request is sent or resent to the owner.
  void RegisterRequest(const RequestId& aRequest, const AccountId& aAccount);
  /// @brief The request was refused or its caller disconnected.
  /// @return whether it was waiting for a permit.
  bool RemoveRequest(const RequestId& aRequest);
  /// @param aSentAt when the message was sent that this grant answers.
  GrantOutcome OnGranted(const PermitGranted& aGrant,
                         Instant aSentAt,
                         Instant aNow);
  /// @brief The run under this permit is over.
  void OnRunEnded(const PermitId& aPermit);
  /// @brief Answers an owner's query. Grants up to `up_to` that the answer does
  /// not list are ignored from then on.
  [[nodiscard]] HoldingsReply AnswerQuery(const HoldingsQuery& aQuery);
  /// @return the permits of the active runs.
  [[nodiscard]] std::vector<HeldPermit> Held() const;

private:
  PermitHolder(InstanceId aSelf, PermitRules aRules, std::uint64_t aProcess);

  struct Waiting
  {
    AccountId account;
    PermitId last_returned; ///< Grants up to this one are invalid.
  };

  InstanceId m_self;
  PermitRules m_rules;
  std::uint64_t m_process;
  std::map<RequestId, Waiting> m_waiting;
  std::map<PermitId, HeldPermit> m_held;
  PermitId m_answered; ///< Grants up to this one are invalid unless held.
};

} // namespace jujubehead::core

#endif // JUJUBEHEAD_CORE_PERMIT_HOLDER_HPP
