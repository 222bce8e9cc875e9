#include "table_retention.hpp"

#include <string>  // for string, to_string
#include <utility> // for move
#include <vector>  // for vector

#include "jujubehead/core/change_log.hpp"   // for ChangeEntryFromJson
#include "jujubehead/net/object_store.hpp"  // for ObjectStore
#include "jujubehead/net/table_service.hpp" // for TableService
#include "table_layout.hpp"                 // for kChangePk, kTablePage

namespace jujubehead::net::detail {
namespace {

using boost::asio::awaitable;

/// More than come anew from one snapshot to the next.
constexpr int kPagesAtOnce = 4;

/// @return the object that belongs to an item; empty: none.
std::string
ObjectOf(const Item& aItem)
{
  if (aItem.key.pk == kSnapshotPk) {
    return SnapshotObject(aItem.rev);
  }
  const auto entry = core::ChangeEntryFromJson(aItem.body);
  return entry && entry->changes.empty() ? ChangesObject(*entry)
                                         : std::string();
}

awaitable<void>
Delete(TableService& aService, ObjectStore& aStore, std::vector<Item> aItems)
{
  Transaction transaction;
  transaction.token =
    "forget." + aItems.front().key.pk + '.' + aItems.front().key.sk;
  for (const Item& item : aItems) {
    std::string object = ObjectOf(item);
    if (!object.empty()) {
      co_await aStore.Delete(std::move(object));
    }
    transaction.items.emplace_back(DeleteItem{ item.key, {} });
  }
  co_await aService.Transact(std::move(transaction));
}

awaitable<void>
ForgetItems(TableService& aService,
            ObjectStore& aStore,
            std::string aPk,
            std::uint64_t aVersion)
{
  for (int page = 0; page < kPagesAtOnce; ++page) {
    std::vector<Item> items =
      co_await aService.Query(aPk, std::string(), kTablePage);
    std::erase_if(items,
                  [&](const Item& aItem) { return aItem.rev >= aVersion; });
    if (items.empty()) {
      co_return;
    }
    co_await Delete(aService, aStore, std::move(items));
  }
}

} // namespace

awaitable<void>
ForgetBefore(TableService& aService,
             ObjectStore& aStore,
             std::uint64_t aVersion)
{
  co_await ForgetItems(aService, aStore, std::string(kChangePk), aVersion);
  co_await ForgetItems(aService, aStore, std::string(kSnapshotPk), aVersion);
}

} // namespace jujubehead::net::detail
