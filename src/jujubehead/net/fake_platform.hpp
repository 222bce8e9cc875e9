#ifndef JUJUBEHEAD_NET_FAKE_PLATFORM_HPP
#define JUJUBEHEAD_NET_FAKE_PLATFORM_HPP

#include <cstddef> // for size_t
#include <map>     // for map
#include <set>     // for set
#include <utility> // for move

#include "jujubehead/net/object_store.hpp"  // for ObjectStore
#include "jujubehead/net/table_service.hpp" // for TableService

namespace jujubehead::net {

/// @brief A table service in memory, with faults, for tests.
class FakeTableService : public TableService
{
public:
  bool down = false;
  std::size_t lose_answers = 0; ///< Of the next writes that take effect.
  std::size_t lose_writes = 0;  ///< Next writes that do not take effect.
  std::size_t reads = 0;
  std::size_t writes = 0;

  boost::asio::awaitable<std::optional<Item>> Get(ItemKey aKey) override
  {
    CountRead();
    const auto found = m_items.find(aKey);
    co_return found == m_items.end() ? std::nullopt
                                     : std::optional(found->second);
  }

  boost::asio::awaitable<std::vector<Item>> Query(std::string aPk,
                                                  std::string aAfterSk,
                                                  std::size_t aLimit) override
  {
    CountRead();
    std::vector<Item> found;
    for (auto item = m_items.upper_bound({ aPk, aAfterSk });
         item != m_items.end() && item->first.pk == aPk &&
         found.size() < aLimit;
         ++item) {
      found.push_back(item->second);
    }
    co_return found;
  }

  boost::asio::awaitable<TransactOutcome> Transact(
    Transaction aTransaction) override
  {
    ++writes;
    if (down) {
      co_return NotWritten{ "down" };
    }
    if (lose_writes != 0) {
      --lose_writes;
      co_return UnknownOutcome{ "lost" };
    }
    TransactOutcome outcome = Write(aTransaction);
    if (lose_answers != 0 && std::holds_alternative<Committed>(outcome)) {
      --lose_answers;
      co_return UnknownOutcome{ "lost" };
    }
    co_return outcome;
  }

private:
  void CountRead()
  {
    ++reads;
    if (down) {
      throw TableServiceError("down");
    }
  }

  bool Holds(const ItemKey& aKey, const Condition& aCondition) const
  {
    const auto found = m_items.find(aKey);
    if (std::holds_alternative<ItemAbsent>(aCondition)) {
      return found == m_items.end();
    }
    if (const auto* rev = std::get_if<RevIs>(&aCondition)) {
      return found != m_items.end() && found->second.rev == rev->rev;
    }
    return true;
  }

  TransactOutcome Write(const Transaction& aTransaction)
  {
    if (m_tokens.contains(aTransaction.token)) {
      return Committed{};
    }
    ConditionFailed failed;
    for (std::size_t i = 0; i < aTransaction.items.size(); ++i) {
      const bool holds = std::visit(
        [&](const auto& aItem) { return Holds(KeyOf(aItem), aItem.condition); },
        aTransaction.items[i]);
      if (!holds) {
        failed.indices.push_back(i);
      }
    }
    if (!failed.indices.empty()) {
      return failed;
    }
    m_tokens.insert(aTransaction.token);
    for (const TransactItem& item : aTransaction.items) {
      if (const auto* put = std::get_if<PutItem>(&item)) {
        m_items[put->item.key] = put->item;
      } else if (const auto* gone = std::get_if<DeleteItem>(&item)) {
        m_items.erase(gone->key);
      }
    }
    return Committed{};
  }

  static const ItemKey& KeyOf(const PutItem& aItem) { return aItem.item.key; }
  static const ItemKey& KeyOf(const DeleteItem& aItem) { return aItem.key; }
  static const ItemKey& KeyOf(const CheckItem& aItem) { return aItem.key; }

  std::map<ItemKey, Item> m_items;
  std::set<std::string> m_tokens;
};

/// @brief An object store in memory, for tests.
class FakeObjectStore : public ObjectStore
{
public:
  bool down = false;
  std::map<std::string, std::string> objects;

  boost::asio::awaitable<std::optional<std::string>> Get(
    std::string aKey) override
  {
    ThrowIfDown();
    const auto found = objects.find(aKey);
    co_return found == objects.end() ? std::nullopt
                                     : std::optional(found->second);
  }
  boost::asio::awaitable<void> Put(std::string aKey,
                                   std::string aBytes) override
  {
    ThrowIfDown();
    objects[aKey] = std::move(aBytes);
    co_return;
  }
  boost::asio::awaitable<PutOutcome> PutIfAbsent(std::string aKey,
                                                 std::string aBytes) override
  {
    ThrowIfDown();
    const bool written = objects.try_emplace(aKey, std::move(aBytes)).second;
    co_return written ? PutOutcome::kWritten : PutOutcome::kPresent;
  }
  boost::asio::awaitable<void> Delete(std::string aKey) override
  {
    ThrowIfDown();
    objects.erase(aKey);
    co_return;
  }

private:
  void ThrowIfDown() const
  {
    if (down) {
      throw ObjectStoreError("down");
    }
  }
};

} // namespace jujubehead::net

#endif // JUJUBEHEAD_NET_FAKE_PLATFORM_HPP
