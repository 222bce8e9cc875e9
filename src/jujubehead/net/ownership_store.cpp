#include "jujubehead/net/ownership_store.hpp"

#include <charconv> // for from_chars
#include <optional> // for optional
#include <utility>  // for move
#include <variant>  // for visit

#include <nlohmann/json.hpp> // for json

#include "jujubehead/net/table_service.hpp" // for TableService, Transaction

namespace jujubehead::net {
namespace {

namespace asio = boost::asio;
using Json = nlohmann::json;

constexpr const char* kLeasePk = "lease";
constexpr const char* kGroupPk = "group";
constexpr char kNumberMark = '#';
constexpr std::size_t kPage = 500;

Json
ToJson(const core::Incarnation& aIncarnation)
{
  return Json::array({ aIncarnation.instance.Text(), aIncarnation.number });
}

core::Incarnation
IncarnationFrom(const Json& aJson)
{
  return { core::InstanceId(aJson.at(0).get<std::string>()),
           aJson.at(1).get<std::uint64_t>() };
}

ItemKey
KeyOf(const core::LeaseRow& aRow)
{
  return { kLeasePk,
           aRow.lease.instance.Text() + kNumberMark +
             std::to_string(aRow.lease.number) };
}

ItemKey
KeyOf(const core::GroupRow& aRow)
{
  return { kGroupPk, aRow.group.Text() };
}

std::string
BodyOf(const core::LeaseRow& aRow)
{
  Json witnesses = Json::array();
  for (const core::Incarnation& witness : aRow.witnesses) {
    witnesses.push_back(ToJson(witness));
  }
  return Json{ { "witnesses", std::move(witnesses) } }.dump();
}

std::string
BodyOf(const core::GroupRow& aRow)
{
  return Json{
    { "owner", ToJson(aRow.owner) }, { "epoch", aRow.epoch }
  }.dump();
}

std::optional<core::LeaseRow>
LeaseFrom(const Item& aItem)
{
  const std::string& sk = aItem.key.sk;
  const std::size_t mark = sk.rfind(kNumberMark);
  core::LeaseRow row;
  row.rev = aItem.rev;
  if (mark == std::string::npos) {
    return std::nullopt;
  }
  row.lease.instance = core::InstanceId(sk.substr(0, mark));
  const auto parsed = std::from_chars(
    sk.data() + mark + 1, sk.data() + sk.size(), row.lease.number);
  if (parsed.ec != std::errc()) {
    return std::nullopt;
  }
  try {
    const Json body = Json::parse(aItem.body);
    for (const Json& witness : body.at("witnesses")) {
      row.witnesses.push_back(IncarnationFrom(witness));
    }
  } catch (const Json::exception&) {
    return std::nullopt;
  }
  return row;
}

std::optional<core::GroupRow>
GroupFrom(const Item& aItem)
{
  core::GroupRow row;
  row.group = core::GroupId(aItem.key.sk);
  row.rev = aItem.rev;
  try {
    const Json body = Json::parse(aItem.body);
    row.owner = IncarnationFrom(body.at("owner"));
    row.epoch = body.at("epoch").get<std::uint64_t>();
  } catch (const Json::exception&) {
    return std::nullopt;
  }
  return row;
}

/// The row must be as it was read, or absent when it has no rev yet.
Condition
Unchanged(std::uint64_t aRev)
{
  if (aRev == 0) {
    return ItemAbsent{};
  }
  return RevIs{ aRev };
}

class TableOwnershipStore : public OwnershipStore
{
public:
  TableOwnershipStore(TableService& aService, std::string aTokenPrefix)
    : m_service(aService)
    , m_token_prefix(std::move(aTokenPrefix))
  {
  }

  asio::awaitable<core::WriteOutcome> Write(core::WriteRows aWrite) override
  {
    struct ToOutcome
    {
      core::WriteOutcome operator()(const Committed&) const
      {
        return core::WriteOutcome::kCommitted;
      }
      core::WriteOutcome operator()(const ConditionFailed&) const
      {
        return core::WriteOutcome::kConflict;
      }
      core::WriteOutcome operator()(const UnknownOutcome&) const
      {
        return core::WriteOutcome::kUnknown;
      }
      core::WriteOutcome operator()(const Throttled&) const
      {
        return core::WriteOutcome::kFailed;
      }
      core::WriteOutcome operator()(const NotWritten&) const
      {
        return core::WriteOutcome::kFailed;
      }
    };
    const TransactOutcome outcome =
      co_await TransactSettled(m_service, TransactionOf(aWrite));
    co_return std::visit(ToOutcome{}, outcome);
  }

  asio::awaitable<core::RowsRead> Read(core::ReadRows aRead) override
  {
    core::RowsRead rows;
    rows.token = aRead.token;
    try {
      for (const Item& item : co_await ReadAll(kLeasePk)) {
        if (auto lease = LeaseFrom(item)) {
          rows.leases.push_back(std::move(*lease));
        }
      }
      rows.groups = co_await ReadGroups(aRead);
    } catch (const TableServiceError&) {
      rows.failed = true;
    }
    co_return rows;
  }

private:
  [[nodiscard]] Transaction TransactionOf(const core::WriteRows& aWrite) const
  {
    Transaction transaction;
    transaction.token = m_token_prefix + "-" + std::to_string(aWrite.token);
    for (const core::RowPut& put : aWrite.puts) {
      std::visit(
        [&transaction](const auto& aRow) {
          transaction.items.emplace_back(PutItem{
            { KeyOf(aRow), aRow.rev + 1, BodyOf(aRow) }, Unchanged(aRow.rev) });
        },
        put);
    }
    for (const core::LeaseRow& row : aWrite.deletes) {
      transaction.items.emplace_back(
        DeleteItem{ KeyOf(row), RevIs{ row.rev } });
    }
    for (const core::LeaseRow& row : aWrite.checks) {
      transaction.items.emplace_back(
        CheckItem{ KeyOf(row), Unchanged(row.rev) });
    }
    return transaction;
  }

  asio::awaitable<std::vector<Item>> ReadAll(std::string aPk)
  {
    std::vector<Item> all;
    std::string after;
    for (;;) {
      std::vector<Item> page = co_await m_service.Query(aPk, after, kPage);
      const bool last = page.size() < kPage;
      if (!page.empty()) {
        after = page.back().key.sk;
      }
      all.insert(all.end(),
                 std::make_move_iterator(page.begin()),
                 std::make_move_iterator(page.end()));
      if (last) {
        co_return all;
      }
    }
  }

  asio::awaitable<std::vector<core::GroupRow>> ReadGroups(
    const core::ReadRows& aRead)
  {
    std::vector<Item> items;
    if (aRead.all_groups) {
      items = co_await ReadAll(kGroupPk);
    }
    for (const core::GroupId& group : aRead.groups) {
      // Named: g++ 12 destroys an aggregate made in the call itself twice.
      ItemKey key{ kGroupPk, group.Text() };
      if (auto item = co_await m_service.Get(std::move(key))) {
        items.push_back(std::move(*item));
      }
    }
    std::vector<core::GroupRow> rows;
    for (const Item& item : items) {
      if (auto row = GroupFrom(item)) {
        rows.push_back(std::move(*row));
      }
    }
    co_return rows;
  }

  TableService& m_service;
  std::string m_token_prefix;
};

} // namespace

std::unique_ptr<OwnershipStore>
OwnershipStore::Create(TableService& aService, std::string aTokenPrefix)
{
  return std::make_unique<TableOwnershipStore>(aService,
                                               std::move(aTokenPrefix));
}

} // namespace jujubehead::net
