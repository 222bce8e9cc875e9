#ifndef JUJUBEHEAD_NODE_REQUEST_CLAIM_HPP
#define JUJUBEHEAD_NODE_REQUEST_CLAIM_HPP

#include <optional> // for optional

#include <boost/asio/awaitable.hpp> // for awaitable

#include "jujubehead/core/ids.hpp"         // for AccountId, ModelId
#include "jujubehead/net/api_error.hpp"    // for ApiError
#include "jujubehead/net/claim_store.hpp"  // for Claim
#include "jujubehead/net/http_message.hpp" // for HttpRequest

namespace jujubehead::node {

struct TrafficThread;

/// @brief The claim of a request that its caller marked with an
/// `Idempotency-Key`: it runs at most once, whatever instance gets it again.
class RequestClaim
{
public:
  /// @param aThread outlives this.
  explicit RequestClaim(TrafficThread& aThread)
    : m_thread(aThread)
  {
  }

  /// @brief Claims, if the request is marked.
  /// @return why it must not run; nothing when it may.
  boost::asio::awaitable<std::optional<net::ApiError>> Take(
    const net::HttpRequest& aRequest,
    core::AccountId aAccount,
    core::ModelId aModel);

  /// @return whether the request holds a claim.
  [[nodiscard]] bool IsHeld() const { return m_claim.has_value(); }

  /// @brief The request ended without an answer. One that was not run gives
  /// its claim back.
  boost::asio::awaitable<void> Refused(net::RunState aRunState);

private:
  TrafficThread& m_thread;
  std::optional<net::Claim> m_claim;
};

} // namespace jujubehead::node

#endif // JUJUBEHEAD_NODE_REQUEST_CLAIM_HPP
