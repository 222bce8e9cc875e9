#ifndef JUJUBEHEAD_NET_TABLE_SERVICE_HPP
#define JUJUBEHEAD_NET_TABLE_SERVICE_HPP

#include <cstddef>     // for size_t
#include <cstdint>     // for uint64_t
#include <memory>      // for unique_ptr
#include <optional>    // for optional
#include <stdexcept>   // for runtime_error
#include <string>      // for string
#include <string_view> // for string_view
#include <variant>     // for variant, monostate
#include <vector>      // for vector

#include <boost/asio/awaitable.hpp> // for awaitable

#include "jujubehead/core/runtime_clock.hpp" // for Duration

namespace jujubehead::net {

class HttpClient;

/// @brief The key of an item.
struct ItemKey
{
  std::string pk;
  std::string sk;

  // NOLINTNEXTLINE(modernize-use-nullptr)
  friend auto operator<=>(const ItemKey&, const ItemKey&) = default;
};

/// @brief An item of the table service.
struct Item
{
  ItemKey key;
  std::uint64_t rev = 0;
  std::string body; ///< JSON text.

  friend bool operator==(const Item&, const Item&) = default;
};

/// @brief Holds when there is no such item.
struct ItemAbsent
{};

/// @brief Holds when the item's `rev` is this one.
struct RevIs
{
  std::uint64_t rev = 0;
};

using Condition = std::variant<std::monostate, ItemAbsent, RevIs>;

/// @brief Writes an item.
struct PutItem
{
  Item item;
  Condition condition;
};

/// @brief Deletes an item.
struct DeleteItem
{
  ItemKey key;
  Condition condition;
};

/// @brief Only checks.
struct CheckItem
{
  ItemKey key;
  Condition condition;
};

using TransactItem = std::variant<PutItem, DeleteItem, CheckItem>;

/// @brief What is written all or not at all.
struct Transaction
{
  std::string token; ///< Unique; a repeat within 10 minutes writes no more.
  std::vector<TransactItem> items; ///< At most kMaxTransactItems.
};

inline constexpr std::size_t kMaxTransactItems = 100;

/// @brief All of it was written.
struct Committed
{};

/// @brief Nothing was written: the conditions of these items failed.
struct ConditionFailed
{
  std::vector<std::size_t> indices; ///< Into Transaction::items.
};

/// @brief It may have been written or not: the answer did not come. Repeat
/// it with the same token, or read back.
struct UnknownOutcome
{
  std::string why;
};

/// @brief Nothing was written: the service asks for a slower pace.
struct Throttled
{};

/// @brief Nothing was written: the call never reached the service, or it
/// refused it for another reason.
struct NotWritten
{
  std::string why;
};

using TransactOutcome = std::
  variant<Committed, ConditionFailed, UnknownOutcome, Throttled, NotWritten>;

/// @brief A read of the table service failed.
class TableServiceError : public std::runtime_error
{
public:
  using std::runtime_error::runtime_error;
};

/// @brief The platform's transactional table service.
class TableService
{
public:
  /// @param aClient outlives this.
  /// @param aAuthority `address:port`.
  static std::unique_ptr<TableService> Create(
    HttpClient& aClient,
    std::string aAuthority,
    core::Duration aTimeout = std::chrono::seconds(2));
  virtual ~TableService() = default;

  /// @return the item, or nothing. @throws TableServiceError.
  virtual boost::asio::awaitable<std::optional<Item>> Get(ItemKey aKey) = 0;
  /// @return up to `aLimit` items of `aPk` with a greater `sk`, in its order.
  /// @throws TableServiceError.
  virtual boost::asio::awaitable<std::vector<Item>>
  Query(std::string aPk, std::string aAfterSk, std::size_t aLimit) = 0;
  /// @brief Writes; never throws for what the service or the network does.
  virtual boost::asio::awaitable<TransactOutcome> Transact(
    Transaction aTransaction) = 0;
};

/// @brief Writes, and settles an unknown outcome: repeats under the same token,
/// which does not write twice, up to `aTries` times.
/// @return what the last try told; UnknownOutcome only if all tries did.
boost::asio::awaitable<TransactOutcome>
TransactSettled(TableService& aService,
                Transaction aTransaction,
                std::size_t aTries = 3);

/// @brief Settles an unknown outcome by reading back: the item that the
/// transaction put has exactly this body.
///
/// A later overwrite hides one's own: put a token in the body of an item that
/// nobody overwrites. A write still under way may land after this: NotWritten
/// is final only once another item that the transaction's conditions named has
/// moved on.
/// @return Committed, or NotWritten when another or no item is there.
/// @throws TableServiceError.
boost::asio::awaitable<TransactOutcome>
ReadBack(TableService& aService, Item aOwn);

} // namespace jujubehead::net

#endif // JUJUBEHEAD_NET_TABLE_SERVICE_HPP
