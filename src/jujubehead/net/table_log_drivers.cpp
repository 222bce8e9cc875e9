#include "jujubehead/net/table_follow.hpp"
#include "jujubehead/net/table_log.hpp"

#include <algorithm> // for min
#include <cstdint>   // for uint8_t
#include <span>      // for span
#include <stdexcept> // for runtime_error
#include <utility>   // for move

#include "jujubehead/core/runtime_clock.hpp" // for RuntimeClock

namespace jujubehead::net {
namespace {

using boost::asio::awaitable;
using core::PublishStep;
using core::RuntimeClock;

constexpr core::Duration kFirstWait = std::chrono::milliseconds(50);
constexpr unsigned kMaxDoublings = 6;

awaitable<core::PublishAnswer>
ReadForPublish(TableLog& aLog, std::uint64_t aAfter)
{
  try {
    co_return co_await aLog.ReadAfter(aAfter);
  } catch (const std::runtime_error& error) {
    co_return core::Unavailable{ error.what() };
  }
}

/// Does what a publisher asks for; a step that asks for nothing is the end.
awaitable<std::optional<core::PublishAnswer>>
AnswerTo(TableLog& aLog, const PublishStep& aStep, const SleepFor& aSleep)
{
  if (const auto* read = std::get_if<core::ReadEntries>(&aStep)) {
    co_return co_await ReadForPublish(aLog, read->after);
  }
  if (const auto* commit = std::get_if<core::CommitEntry>(&aStep)) {
    co_return co_await aLog.Commit(commit->entry);
  }
  if (const auto* wait = std::get_if<core::BackOff>(&aStep)) {
    const unsigned doublings = std::min(wait->failures - 1, kMaxDoublings);
    co_await aSleep(kFirstWait * (1U << doublings));
    co_return core::Continue{};
  }
  co_return std::nullopt;
}

/// A snapshot is a convenience of later readers: not worth an error.
awaitable<void>
TryKeepSnapshot(TableLog& aLog, std::uint64_t aVersion)
{
  try {
    co_await aLog.KeepSnapshot(aVersion);
  } catch (const std::runtime_error&) {
  }
}

awaitable<void>
FollowService(TableLog& aLog,
              core::TableFollower& aFollower,
              std::uint64_t aAfter)
{
  std::string why;
  try {
    const core::EntriesRead read = co_await aLog.ReadAfter(aAfter);
    aFollower.OnEntries(RuntimeClock::now(), read.entries, read.at_head);
    co_return;
  } catch (const std::runtime_error& error) {
    why = error.what();
  }
  aFollower.OnServiceFailed(RuntimeClock::now(), std::move(why));
}

awaitable<void>
FollowStore(TableLog& aLog, core::TableFollower& aFollower)
{
  std::string why;
  try {
    auto snapshot = co_await aLog.ReadSnapshot();
    aFollower.OnStoredSnapshot(RuntimeClock::now(), std::move(snapshot));
    co_return;
  } catch (const std::runtime_error& error) {
    why = error.what();
  }
  aFollower.OnServiceFailed(RuntimeClock::now(), std::move(why));
}

std::optional<core::TableSnapshot>
SnapshotOf(const std::optional<std::string>& aCbor)
{
  if (!aCbor) {
    return std::nullopt;
  }
  return core::SnapshotFromCbor(std::span(
    reinterpret_cast<const std::uint8_t*>(aCbor->data()), aCbor->size()));
}

awaitable<void>
AskPeer(core::TableFollower& aFollower,
        core::InstanceId aPeer,
        const AskPeerSnapshot& aAskPeer)
{
  const std::optional<std::string> cbor = co_await aAskPeer(aPeer);
  aFollower.OnPeerSnapshot(RuntimeClock::now(), aPeer, SnapshotOf(cbor));
}

} // namespace

awaitable<PublishStep>
Publish(TableLog& aLog, core::TablePublish aPublish, const SleepFor& aSleep)
{
  PublishStep step = aPublish.Start();
  while (auto answer = co_await AnswerTo(aLog, step, aSleep)) {
    step = aPublish.On(std::move(*answer));
  }
  if (const auto* published = std::get_if<core::Published>(&step)) {
    co_await TryKeepSnapshot(aLog, published->version);
  }
  co_return step;
}

awaitable<core::Instant>
FollowOnce(TableLog& aLog,
           core::TableFollower& aFollower,
           const AskPeerSnapshot& aAskPeer)
{
  const core::FollowStep step = aFollower.Next(RuntimeClock::now());
  if (const auto* idle = std::get_if<core::FollowIdle>(&step)) {
    co_return idle->until;
  }
  if (const auto* entries = std::get_if<core::FetchEntries>(&step)) {
    co_await FollowService(aLog, aFollower, entries->after);
  } else if (std::holds_alternative<core::FetchStoredSnapshot>(step)) {
    co_await FollowStore(aLog, aFollower);
  } else if (const auto* ask = std::get_if<core::FetchPeerSnapshot>(&step)) {
    co_await AskPeer(aFollower, ask->peer, aAskPeer);
  }
  co_return RuntimeClock::now();
}

} // namespace jujubehead::net
