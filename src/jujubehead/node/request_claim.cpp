#include "jujubehead/node/request_claim.hpp"

#include <utility> // for move

#include "jujubehead/node/control.hpp"        // for Control, OnControl
#include "jujubehead/node/traffic_thread.hpp" // for TrafficThread

namespace jujubehead::node {
namespace {

namespace asio = boost::asio;

constexpr std::string_view kHeader = "Idempotency-Key";
// No header value can contain it.
constexpr char kSeparator = '\n';
constexpr std::size_t kMaxKeyBytes = 255;

net::ApiError
KeyTooLong()
{
  net::ApiError error;
  error.status = 400;
  error.message = "The Idempotency-Key is longer than 255 bytes";
  error.type = "invalid_request_error";
  error.param = kHeader;
  error.code = "invalid_value";
  error.run_state = net::RunState::kNotRun;
  return error;
}

net::ApiError
Duplicate()
{
  net::ApiError error;
  error.status = 409;
  error.message = "A request with this Idempotency-Key was taken before; it is "
                  "not run again";
  error.type = "invalid_request_error";
  error.code = "duplicate_request";
  // The first one may have run, and this is the same request.
  error.run_state = net::RunState::kUnknown;
  return error;
}

net::ApiError
Unavailable()
{
  net::ApiError error;
  error.status = 503;
  error.message = "Requests that may run only once cannot be taken now";
  error.code = "claims_unavailable";
  error.run_state = net::RunState::kNotRun;
  error.retry_after = std::chrono::seconds(5);
  return error;
}

} // namespace

asio::awaitable<std::optional<net::ApiError>>
RequestClaim::Take(const net::HttpRequest& aRequest,
                   core::AccountId aAccount,
                   core::ModelId aModel)
{
  const auto key = aRequest.headers.Find(kHeader);
  if (!key || key->empty()) {
    co_return std::nullopt;
  }
  if (key->size() > kMaxKeyBytes) {
    co_return KeyTooLong();
  }
  std::string scoped = aModel.Text() + kSeparator + std::string(*key);
  core::ClaimKey claim_key{ std::move(aAccount), std::move(scoped) };
  net::Claim claim = co_await OnControl(
    m_thread.control, m_thread.control.Claims().Take(std::move(claim_key)));
  if (claim.outcome == net::ClaimOutcome::kDuplicate) {
    m_thread.metrics.Add(Counter::kDuplicates);
    co_return Duplicate();
  }
  if (claim.outcome == net::ClaimOutcome::kUnavailable) {
    co_return Unavailable();
  }
  m_thread.metrics.Add(Counter::kClaims);
  m_claim = std::move(claim);
  co_return std::nullopt;
}

asio::awaitable<void>
RequestClaim::Refused(net::RunState aRunState)
{
  if (!m_claim || aRunState != net::RunState::kNotRun) {
    co_return;
  }
  co_await OnControl(m_thread.control,
                     m_thread.control.Claims().GiveBack(std::move(*m_claim)));
  m_claim.reset();
}

} // namespace jujubehead::node
