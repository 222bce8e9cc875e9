#include "jujubehead/net/claim_store.hpp"

#include <algorithm> // for min
#include <random>    // for mt19937_64, random_device
#include <utility>   // for move
#include <vector>    // for vector

#include <boost/asio/co_spawn.hpp>       // for co_spawn
#include <boost/asio/detached.hpp>       // for detached
#include <boost/asio/redirect_error.hpp> // for redirect_error
#include <boost/asio/use_awaitable.hpp>  // for use_awaitable

#include <nlohmann/json.hpp> // for json

#include "jujubehead/net/table_service.hpp" // for TableService, Transaction
#include "jujubehead/net/timer.hpp"         // for Timer

namespace jujubehead::net {
namespace {

namespace asio = boost::asio;
using Json = nlohmann::json;

constexpr const char* kClaimPk = "claim";
constexpr int kTries = 3;
// The service keeps numbers exactly up to here.
constexpr std::uint64_t kMaxToken = (1ULL << 53U) - 1;

ItemKey
KeyOf(const ClaimKey& aKey)
{
  // As JSON, so that no account can spell another's key.
  return { kClaimPk,
           Json::array({ aKey.account.Text(), aKey.model.Text(), aKey.key })
             .dump(-1, ' ', false, Json::error_handler_t::replace) };
}

/// One claim on its way.
struct Pending
{
  explicit Pending(asio::io_context& aContext)
    : done(aContext, core::Instant::max())
  {
  }

  Claim claim;
  Condition condition = ItemAbsent{};
  int tries = 0;
  Timer done; ///< Cancelled when the outcome is known.
  bool settled = false;
};

using PendingPtr = std::shared_ptr<Pending>;

class TableClaims : public ClaimStore
{
public:
  TableClaims(asio::io_context& aContext,
              TableService& aService,
              ClaimStoreOptions aOptions)
    : m_context(aContext)
    , m_service(aService)
    , m_options(std::move(aOptions))
    , m_random(std::random_device{}())
  {
  }

  asio::awaitable<Claim> Take(ClaimKey aKey) override
  {
    const auto pending = std::make_shared<Pending>(m_context);
    pending->claim.key = std::move(aKey);
    pending->claim.token = 1 + m_random() % kMaxToken;
    m_waiting.push_back(pending);
    StartWriter();
    if (!pending->settled) {
      boost::system::error_code ignored;
      co_await pending->done.async_wait(
        asio::redirect_error(asio::use_awaitable, ignored));
    }
    co_return pending->claim;
  }

  asio::awaitable<void> GiveBack(Claim aClaim) override
  {
    Transaction transaction;
    transaction.token = "back-" + std::to_string(aClaim.token);
    // The token is the row's rev: nobody else's claim can be deleted.
    transaction.items.emplace_back(
      DeleteItem{ KeyOf(aClaim.key), RevIs{ aClaim.token } });
    co_await TransactSettled(m_service, std::move(transaction));
  }

private:
  void StartWriter()
  {
    if (!m_writing) {
      m_writing = true;
      asio::co_spawn(m_context, WriteAll(), asio::detached);
    }
  }

  asio::awaitable<void> WriteAll()
  {
    while (!m_waiting.empty()) {
      const std::size_t count = std::min(m_options.batch, m_waiting.size());
      const auto end = m_waiting.begin() + static_cast<std::ptrdiff_t>(count);
      const std::vector<PendingPtr> batch(m_waiting.begin(), end);
      m_waiting.erase(m_waiting.begin(), end);
      co_await WriteBatch(batch);
    }
    m_writing = false;
  }

  asio::awaitable<void> WriteBatch(const std::vector<PendingPtr>& aBatch)
  {
    Transaction transaction = TransactionOf(aBatch);
    const TransactOutcome outcome =
      co_await TransactSettled(m_service, std::move(transaction));
    const auto* failed = std::get_if<ConditionFailed>(&outcome);
    for (std::size_t i = 0; i < aBatch.size(); ++i) {
      if (std::holds_alternative<Committed>(outcome)) {
        Settle(*aBatch[i], ClaimOutcome::kClaimed);
      } else if (failed != nullptr && !Contains(failed->indices, i)) {
        m_waiting.push_back(aBatch[i]); // Nothing was written of it.
      } else {
        co_await ReadBackOne(aBatch[i]);
      }
    }
  }

  [[nodiscard]] static bool Contains(const std::vector<std::size_t>& aIndices,
                                     std::size_t aIndex)
  {
    return std::find(aIndices.begin(), aIndices.end(), aIndex) !=
           aIndices.end();
  }

  [[nodiscard]] Transaction TransactionOf(
    const std::vector<PendingPtr>& aBatch) const
  {
    const std::int64_t expires = m_options.now_ms() + m_options.keep_ms;
    const std::string body = Json{ { "expires_ms", expires } }.dump();
    Transaction transaction;
    const Pending& first = *aBatch.front();
    transaction.token = "claim-" + std::to_string(first.claim.token) + "-" +
                        std::to_string(first.tries);
    for (const PendingPtr& one : aBatch) {
      Item item{ KeyOf(one->claim.key), one->claim.token, body };
      transaction.items.emplace_back(
        PutItem{ std::move(item), one->condition });
    }
    return transaction;
  }

  /// The write's answer does not tell; the row does.
  asio::awaitable<void> ReadBackOne(PendingPtr aPending)
  {
    try {
      const auto item = co_await m_service.Get(KeyOf(aPending->claim.key));
      if (item && item->rev == aPending->claim.token) {
        Settle(*aPending, ClaimOutcome::kClaimed);
      } else if (item && !IsExpired(*item)) {
        Settle(*aPending, ClaimOutcome::kDuplicate);
      } else {
        TryAgain(aPending, item);
      }
    } catch (const TableServiceError&) {
      Settle(*aPending, ClaimOutcome::kUnavailable);
    }
  }

  void TryAgain(const PendingPtr& aPending, const std::optional<Item>& aExpired)
  {
    if (++aPending->tries >= kTries) {
      Settle(*aPending, ClaimOutcome::kUnavailable);
      return;
    }
    if (aExpired) {
      aPending->condition = RevIs{ aExpired->rev };
    } else {
      aPending->condition = ItemAbsent{};
    }
    m_waiting.push_back(aPending);
  }

  [[nodiscard]] bool IsExpired(const Item& aItem) const
  {
    const Json body = Json::parse(aItem.body, nullptr, false);
    return body.is_object() &&
           body.value("expires_ms", std::int64_t{ 0 }) <= m_options.now_ms();
  }

  static void Settle(Pending& aPending, ClaimOutcome aOutcome)
  {
    aPending.claim.outcome = aOutcome;
    aPending.settled = true;
    aPending.done.cancel();
  }

  asio::io_context& m_context;
  TableService& m_service;
  ClaimStoreOptions m_options;
  std::mt19937_64 m_random;
  std::vector<PendingPtr> m_waiting;
  bool m_writing = false;
};

} // namespace

std::unique_ptr<ClaimStore>
ClaimStore::Create(asio::io_context& aContext,
                   TableService& aService,
                   ClaimStoreOptions aOptions)
{
  return std::make_unique<TableClaims>(aContext, aService, std::move(aOptions));
}

} // namespace jujubehead::net
