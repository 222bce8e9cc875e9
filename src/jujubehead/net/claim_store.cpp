#include "jujubehead/net/claim_store.hpp"

#include <map>      // for map
#include <optional> // for optional
#include <random>   // for mt19937_64, random_device
#include <utility>  // for move
#include <vector>   // for vector

#include <boost/asio/co_spawn.hpp>       // for co_spawn
#include <boost/asio/detached.hpp>       // for detached
#include <boost/asio/redirect_error.hpp> // for redirect_error
#include <boost/asio/use_awaitable.hpp>  // for use_awaitable

#include <nlohmann/json.hpp> // for json

#include "jujubehead/net/random_text.hpp"   // for RandomText
#include "jujubehead/net/table_service.hpp" // for TableService, Transaction
#include "jujubehead/net/timer.hpp"         // for Sleep, Timer

namespace jujubehead::net {
namespace {

namespace asio = boost::asio;
using Json = nlohmann::json;

constexpr const char* kClaimPk = "claim";
// The service keeps numbers exactly up to here.
constexpr std::uint64_t kMaxToken = (1ULL << 53U) - 1;
constexpr std::int64_t kMillisecondsPerDay = 24LL * 60 * 60 * 1000;
constexpr core::Duration kTick = std::chrono::milliseconds(2);

ItemKey
KeyOf(const core::ClaimKey& aKey)
{
  // As JSON, so that no account can spell another's key.
  return { kClaimPk,
           Json::array({ aKey.account.Text(), aKey.idempotency_key })
             .dump(-1, ' ', false, Json::error_handler_t::replace) };
}

/// A token is a number in the service, as the row's rev, so that giving a claim
/// back can be made to depend on it.
std::uint64_t
NumberOf(const std::string& aToken)
{
  return std::stoull(aToken);
}

/// One caller that waits for its claim.
struct Waiting
{
  explicit Waiting(asio::io_context& aContext)
    : done(aContext, core::Instant::max())
  {
  }

  Timer done; ///< Cancelled when the outcome is known.
  std::optional<ClaimOutcome> outcome;
};

class TableClaims : public ClaimStore
{
public:
  TableClaims(asio::io_context& aContext,
              TableService& aService,
              EpochClock aEpochClock,
              core::ClaimRules aRules)
    : m_context(aContext)
    , m_service(aService)
    , m_epoch_clock(std::move(aEpochClock))
    , m_claims(core::Claims::Create(aRules))
    , m_random(std::random_device{}())
  {
  }

  asio::awaitable<Claim> Take(core::ClaimKey aKey) override
  {
    Claim claim;
    claim.key = std::move(aKey);
    claim.token = 1 + m_random() % kMaxToken;
    core::ClaimRow row{ claim.key, std::to_string(claim.token), Today() };
    const std::string token = row.token;
    const auto waiting = std::make_shared<Waiting>(m_context);
    m_waiting.emplace(token, waiting);
    m_claims.Claim(std::move(row), core::RuntimeClock::now());
    TakeActions();
    StartTicking();
    if (!waiting->outcome) {
      boost::system::error_code ignored;
      co_await waiting->done.async_wait(
        asio::redirect_error(asio::use_awaitable, ignored));
    }
    m_waiting.erase(token);
    claim.outcome = waiting->outcome.value_or(ClaimOutcome::kUnavailable);
    co_return claim;
  }

  asio::awaitable<void> GiveBack(Claim aClaim) override
  {
    co_await DeleteRow(aClaim.key, aClaim.token);
  }

private:
  [[nodiscard]] std::int64_t Today() const
  {
    return m_epoch_clock() / kMillisecondsPerDay;
  }

  void StartTicking()
  {
    if (!m_ticking) {
      m_ticking = true;
      asio::co_spawn(m_context, Ticking(), asio::detached);
    }
  }

  asio::awaitable<void> Ticking()
  {
    while (m_claims.Pending() > 0) {
      co_await Sleep(kTick);
      m_claims.Tick(core::RuntimeClock::now());
      TakeActions();
    }
    m_ticking = false;
  }

  struct CarryOut
  {
    TableClaims& self;

    void operator()(core::WriteClaims& aWrite) const
    {
      asio::co_spawn(
        self.m_context, self.Write(std::move(aWrite)), asio::detached);
    }
    void operator()(core::ReadClaim& aRead) const
    {
      asio::co_spawn(
        self.m_context, self.Read(std::move(aRead)), asio::detached);
    }
    void operator()(const core::ClaimWon& aWon) const
    {
      self.Settle(aWon.token, ClaimOutcome::kClaimed);
    }
    void operator()(const core::ClaimTaken& aTaken) const
    {
      self.Settle(aTaken.token, ClaimOutcome::kDuplicate);
    }
    void operator()(const core::ClaimFailed& aFailed) const
    {
      self.Settle(aFailed.token, ClaimOutcome::kUnavailable);
    }
  };

  void TakeActions()
  {
    for (core::ClaimAction& action : m_claims.TakeActions()) {
      std::visit(CarryOut{ *this }, action);
    }
  }

  void Settle(const std::string& aToken, ClaimOutcome aOutcome)
  {
    const auto found = m_waiting.find(aToken);
    if (found != m_waiting.end()) {
      found->second->outcome = aOutcome;
      found->second->done.cancel();
    }
  }

  asio::awaitable<void> Write(core::WriteClaims aWrite)
  {
    Transaction transaction;
    transaction.token = RandomText(kTransactionTokenBytes);
    for (const core::ClaimRow& row : aWrite.rows) {
      Item item{ KeyOf(row.key),
                 NumberOf(row.token),
                 Json{ { "day", row.day } }.dump() };
      transaction.items.emplace_back(PutItem{ std::move(item), ItemAbsent{} });
    }
    const TransactOutcome outcome =
      co_await m_service.Transact(std::move(transaction));
    m_claims.OnWritten(
      aWrite.transaction, OutcomeOf(outcome), core::RuntimeClock::now());
    TakeActions();
  }

  [[nodiscard]] static core::ClaimsOutcome OutcomeOf(
    const TransactOutcome& aOutcome)
  {
    struct ToClaims
    {
      core::ClaimsOutcome operator()(const Committed&) const
      {
        return core::ClaimsCommitted{};
      }
      core::ClaimsOutcome operator()(const ConditionFailed& aFailed) const
      {
        return core::ClaimsConflict{ aFailed.indices };
      }
      core::ClaimsOutcome operator()(const UnknownOutcome&) const
      {
        return core::ClaimsUnknown{};
      }
      core::ClaimsOutcome operator()(const Throttled&) const
      {
        return core::ClaimsNotWritten{};
      }
      core::ClaimsOutcome operator()(const NotWritten&) const
      {
        return core::ClaimsNotWritten{};
      }
    };
    return std::visit(ToClaims{}, aOutcome);
  }

  asio::awaitable<void> Read(core::ReadClaim aRead)
  {
    core::ClaimRead read;
    try {
      const auto item = co_await m_service.Get(KeyOf(aRead.key));
      read.found = item.has_value();
      read.token = item ? std::to_string(item->rev) : "";
      if (item && IsExpired(aRead.key, *item)) {
        co_await DeleteRow(aRead.key, item->rev);
        read.found = false;
      }
    } catch (const TableServiceError&) {
      read.failed = true;
    }
    m_claims.OnRead(aRead.transaction, read, core::RuntimeClock::now());
    TakeActions();
  }

  [[nodiscard]] bool IsExpired(const core::ClaimKey& aKey,
                               const Item& aItem) const
  {
    const Json body = Json::parse(aItem.body, nullptr, false);
    if (!body.is_object()) {
      return false;
    }
    const core::ClaimRow row{ aKey,
                              std::to_string(aItem.rev),
                              body.value("day", Today()) };
    return core::IsClaimExpired(row, Today());
  }

  /// Only the row of that token: nobody else's claim can be deleted.
  asio::awaitable<void> DeleteRow(core::ClaimKey aKey, std::uint64_t aToken)
  {
    Transaction transaction;
    transaction.token = RandomText(kTransactionTokenBytes);
    transaction.items.emplace_back(DeleteItem{ KeyOf(aKey), RevIs{ aToken } });
    co_await TransactSettled(m_service, std::move(transaction));
  }

  static constexpr std::size_t kTransactionTokenBytes = 18;

  asio::io_context& m_context;
  TableService& m_service;
  EpochClock m_epoch_clock;
  core::Claims m_claims;
  std::mt19937_64 m_random;
  std::map<std::string, std::shared_ptr<Waiting>> m_waiting; ///< By token.
  bool m_ticking = false;
};

} // namespace

std::unique_ptr<ClaimStore>
ClaimStore::Create(asio::io_context& aContext,
                   TableService& aService,
                   EpochClock aEpochClock,
                   core::ClaimRules aRules)
{
  return std::make_unique<TableClaims>(
    aContext, aService, std::move(aEpochClock), aRules);
}

} // namespace jujubehead::net
