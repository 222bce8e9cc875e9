#ifndef JUJUBEHEAD_NODE_ATTEMPTS_HPP
#define JUJUBEHEAD_NODE_ATTEMPTS_HPP

#include <memory>  // for unique_ptr, shared_ptr
#include <variant> // for variant

#include <boost/asio/awaitable.hpp> // for awaitable

#include "jujubehead/net/api_error.hpp"      // for ApiError
#include "jujubehead/net/call_cancel.hpp"    // for CallCancel
#include "jujubehead/net/http_server.hpp"    // for HttpExchange
#include "jujubehead/node/entry_service.hpp" // for AdmissionAsk
#include "jujubehead/node/held_run.hpp"      // for HeldRun

namespace jujubehead::node {

struct TrafficThread;

/// @brief The attempts to run one request: each gets a target and a permit.
///
/// Retries go to targets that have not failed the request yet, may wait as long
/// as the first attempt, and come out of the instance's retry budget. When the
/// caller goes away, waiting ends and the run is cancelled.
class Attempts
{
public:
  /// @param aThread, aExchange outlive this.
  Attempts(TrafficThread& aThread,
           net::HttpExchange& aExchange,
           AdmissionAsk aAsk,
           std::string aAccountClass);
  ~Attempts();
  Attempts(const Attempts&) = delete;
  Attempts& operator=(const Attempts&) = delete;

  using Next = std::variant<std::unique_ptr<HeldRun>, net::ApiError>;

  /// @return a place for the first attempt, or for one more after a failure;
  /// or why there is none. The error's run state covers all attempts.
  boost::asio::awaitable<Next> Start();
  /// @brief The attempt at that target failed.
  /// @param aMayHaveRun whether the target may have run any of it.
  /// @param aWhy what to tell the caller if there is no other attempt.
  void Failed(const core::TargetId& aTarget,
              bool aMayHaveRun,
              net::ApiError aWhy);

  /// @return cancels the call that is made under it when the caller goes.
  [[nodiscard]] const std::shared_ptr<net::CallCancel>& Cancel() const
  {
    return m_cancel;
  }
  [[nodiscard]] bool CallerGone() const { return m_cancel->IsCancelled(); }
  /// @brief Only one attempt may be made that could reach a target.
  void OnlyOnce() { m_only_once = true; }
  /// @return when the request came.
  [[nodiscard]] core::Instant Began() const { return m_began; }
  /// @return the class whose histograms the request goes to.
  [[nodiscard]] const std::string& AccountClass() const
  {
    return m_account_class;
  }
  [[nodiscard]] const core::RequestId& CurrentId() const
  {
    return m_ask.attempt;
  }

private:
  /// @brief Counts a refusal and says whether any attempt may have run.
  [[nodiscard]] net::ApiError Refusal(net::ApiError aError) const;
  [[nodiscard]] bool MayRetry();

  TrafficThread& m_thread;
  net::HttpExchange& m_exchange;
  AdmissionAsk m_ask;
  std::string m_account_class;
  core::Instant m_began;
  std::string m_request_id;
  std::uint32_t m_attempt = 0;
  bool m_only_once = false;
  bool m_may_have_run = false;
  net::ApiError m_last_failure;
  std::shared_ptr<net::CallCancel> m_cancel;
};

/// @return what a caller is told when no target took its request.
net::ApiError
ErrorOf(const NotAdmitted& aRefusal);

} // namespace jujubehead::node

#endif // JUJUBEHEAD_NODE_ATTEMPTS_HPP
