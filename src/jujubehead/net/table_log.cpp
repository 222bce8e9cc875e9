#include "jujubehead/net/table_log.hpp"

#include <utility> // for move

#include "jujubehead/net/object_store.hpp"  // for ObjectStore
#include "jujubehead/net/table_service.hpp" // for TableService, Transaction
#include "table_layout.hpp"                 // for ChangeKey, HeadIs
#include "table_retention.hpp"              // for ForgetBefore

namespace jujubehead::net {
namespace {

using boost::asio::awaitable;

/// An item of the service may have 400 KB; JSON in JSON grows by its quotes.
constexpr std::size_t kMaxInlineBytes = std::size_t{ 128 } * 1024;

struct ToAnswer
{
  core::PublishAnswer operator()(const Committed& /*aOutcome*/) const
  {
    return core::CommitDone{};
  }
  core::PublishAnswer operator()(const ConditionFailed& /*aOutcome*/) const
  {
    return core::HeadMoved{};
  }
  core::PublishAnswer operator()(const UnknownOutcome& aOutcome) const
  {
    return core::CommitUnknown{ aOutcome.why };
  }
  core::PublishAnswer operator()(const Throttled& /*aOutcome*/) const
  {
    return core::Unavailable{ "the table service asks for a slower pace" };
  }
  core::PublishAnswer operator()(const NotWritten& aOutcome) const
  {
    return core::Unavailable{ aOutcome.why };
  }
};

class ServiceTableLog : public TableLog
{
public:
  ServiceTableLog(TableService& aService, ObjectStore& aStore)
    : m_service(aService)
    , m_store(aStore)
  {
  }

  awaitable<core::EntriesRead> ReadAfter(std::uint64_t aVersion) override
  {
    const std::vector<Item> items =
      co_await m_service.Query(std::string(detail::kChangePk),
                               detail::VersionText(aVersion),
                               detail::kTablePage);
    core::EntriesRead read;
    read.at_head = items.size() < detail::kTablePage;
    for (const Item& item : items) {
      read.entries.push_back(co_await EntryOf(item));
    }
    co_return read;
  }

  awaitable<std::optional<core::TableSnapshot>> ReadSnapshot() override
  {
    const std::optional<Item> newest =
      co_await m_service.Get(detail::TableKey(detail::kSnapshotSk));
    if (!newest) {
      co_return std::nullopt;
    }
    co_return co_await SnapshotAt(newest->rev);
  }

  awaitable<std::optional<core::TableView>> ReadAt(
    std::uint64_t aVersion) override
  {
    core::TableView view;
    if (auto snapshot = co_await SnapshotBefore(aVersion)) {
      view.Replace(std::move(*snapshot));
    }
    while (view.Version() < aVersion) {
      core::EntriesRead read = co_await ReadAfter(view.Version());
      std::erase_if(read.entries, [&](const core::ChangeEntry& aEntry) {
        return aEntry.version > aVersion;
      });
      if (view.Apply(read.entries) != core::ApplyResult::kAdvanced) {
        co_return std::nullopt;
      }
    }
    co_return view;
  }

  awaitable<core::TableView> ReadCurrent() override
  {
    core::TableView view;
    if (auto snapshot = co_await ReadSnapshot()) {
      view.Replace(std::move(*snapshot));
    }
    bool at_head = false;
    while (!at_head) {
      const core::EntriesRead read = co_await ReadAfter(view.Version());
      if (view.Apply(read.entries) == core::ApplyResult::kGap) {
        throw TableServiceError("entries after version " +
                                std::to_string(view.Version()) +
                                " are missing in the table service");
      }
      at_head = read.at_head;
    }
    co_return view;
  }

  awaitable<core::PublishAnswer> Commit(core::ChangeEntry aEntry) override
  {
    std::string body = core::ToJson(aEntry);
    if (body.size() > kMaxInlineBytes) {
      try {
        co_await m_store.Put(detail::ChangesObject(aEntry), std::move(body));
      } catch (const ObjectStoreError& error) {
        co_return core::Unavailable{ error.what() };
      }
      body = BodyInObject(aEntry);
    }
    Transaction transaction;
    // The service remembers a token with its content, and the content differs
    // from version to version.
    transaction.token = aEntry.token + '.' + std::to_string(aEntry.version);
    transaction.items = {
      PutItem{
        { detail::TableKey(detail::kHeadSk), aEntry.version, HeadBody(aEntry) },
        detail::HeadIs(aEntry.version - 1) },
      PutItem{
        { detail::ChangeKey(aEntry.version), aEntry.version, std::move(body) },
        ItemAbsent{} },
    };
    const TransactOutcome outcome =
      co_await m_service.Transact(std::move(transaction));
    co_return std::visit(ToAnswer(), outcome);
  }

  awaitable<bool> KeepSnapshot(std::uint64_t aVersion) override
  {
    const std::optional<Item> newest =
      co_await m_service.Get(detail::TableKey(detail::kSnapshotSk));
    const std::uint64_t kept = newest ? newest->rev : 0;
    if (aVersion < kept + detail::kSnapshotEvery) {
      co_return false;
    }
    const core::TableView view = co_await ReadCurrent();
    const std::uint64_t version = view.Version();
    co_await m_store.Put(detail::SnapshotObject(version),
                         core::ToJson(*view.Current()));
    Transaction transaction;
    transaction.token = "snapshot." + std::to_string(version);
    transaction.items = {
      PutItem{ { detail::TableKey(detail::kSnapshotSk), version, "{}" },
               newest ? Condition(RevIs{ kept }) : Condition(ItemAbsent{}) },
      PutItem{ { detail::SnapshotKey(version), version, "{}" }, {} },
    };
    const TransactOutcome outcome =
      co_await m_service.Transact(std::move(transaction));
    if (version > detail::kVersionsKept) {
      co_await detail::ForgetBefore(
        m_service, m_store, version - detail::kVersionsKept);
    }
    co_return std::holds_alternative<Committed>(outcome);
  }

private:
  static std::string BodyInObject(const core::ChangeEntry& aEntry)
  {
    core::ChangeEntry without_changes = aEntry;
    without_changes.changes.clear();
    return core::ToJson(without_changes);
  }

  static std::string HeadBody(const core::ChangeEntry& aEntry)
  {
    return BodyInObject(aEntry);
  }

  awaitable<core::ChangeEntry> EntryOf(const Item& aItem)
  {
    auto entry = core::ChangeEntryFromJson(aItem.body);
    if (entry && entry->changes.empty()) {
      const auto whole = co_await m_store.Get(detail::ChangesObject(*entry));
      auto stored = whole ? core::ChangeEntryFromJson(*whole) : std::nullopt;
      if (stored) {
        entry->changes = std::move(stored->changes);
      } else {
        entry.reset();
      }
    }
    if (!entry || detail::VersionText(entry->version) != aItem.key.sk) {
      throw TableServiceError("the entry of version " + aItem.key.sk +
                              " is not understood");
    }
    co_return std::move(*entry);
  }

  /// @return the newest snapshot at or before a version.
  awaitable<std::optional<core::TableSnapshot>> SnapshotBefore(
    std::uint64_t aVersion)
  {
    // One lies in this range, unless some were missed.
    const std::uint64_t reach = 2 * detail::kSnapshotEvery;
    const std::vector<Item> kept = co_await m_service.Query(
      std::string(detail::kSnapshotPk),
      detail::VersionText(aVersion < reach ? 0 : aVersion - reach),
      detail::kTablePage);
    std::uint64_t version = 0;
    for (const Item& item : kept) {
      version = item.rev <= aVersion ? item.rev : version;
    }
    if (version == 0) {
      co_return std::nullopt;
    }
    co_return co_await SnapshotAt(version);
  }

  awaitable<std::optional<core::TableSnapshot>> SnapshotAt(
    std::uint64_t aVersion)
  {
    const auto bytes = co_await m_store.Get(detail::SnapshotObject(aVersion));
    if (!bytes) {
      co_return std::nullopt;
    }
    auto snapshot = core::SnapshotFromJson(*bytes);
    if (!snapshot || snapshot->version != aVersion) {
      throw ObjectStoreError("the snapshot of version " +
                             std::to_string(aVersion) + " is not understood");
    }
    co_return snapshot;
  }

  TableService& m_service;
  ObjectStore& m_store;
};

} // namespace

std::unique_ptr<TableLog>
TableLog::Create(TableService& aService, ObjectStore& aStore)
{
  return std::make_unique<ServiceTableLog>(aService, aStore);
}

} // namespace jujubehead::net
