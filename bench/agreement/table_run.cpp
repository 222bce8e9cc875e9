#include "bench/agreement/table_run.hpp"

#include <algorithm>  // for max, min, sort
#include <functional> // for function
#include <map>        // for map
#include <memory>     // for unique_ptr
#include <optional>   // for optional
#include <set>        // for set
#include <string>     // for string
#include <utility>    // for move
#include <vector>     // for vector

#include "bench/agreement/event_queue.hpp"    // for EventQueue, Random
#include "jujubehead/core/table_follower.hpp" // for TableFollower
#include "jujubehead/core/table_publish.hpp"  // for TablePublish

namespace jujubehead::bench {
namespace {

using core::ChangeEntry;
using core::Duration;
using core::Instant;
using namespace std::chrono_literals;

/// Head lines, keys and braces around what is counted, of one call.
constexpr std::size_t kCallBytes = 700;
/// Keys, head row and braces around an entry in a reply.
constexpr std::size_t kItemBytes = 150;
constexpr std::size_t kPage = 100;
constexpr std::size_t kGossipPeers = 2;

double
Seconds(Duration aTime)
{
  return std::chrono::duration<double>(aTime).count();
}

double
Percentile(std::vector<double> aValues, double aShare)
{
  if (aValues.empty()) {
    return 0;
  }
  std::sort(aValues.begin(), aValues.end());
  const auto last = static_cast<double>(aValues.size() - 1);
  return aValues[static_cast<std::size_t>(aShare * last)];
}

/// The sequence behind the service, with its faults.
struct FakeLog
{
  std::vector<ChangeEntry> entries;
  std::vector<std::size_t> sizes;
  std::vector<Instant> accepted_at;
  std::set<std::string> tokens;
  core::TableView view;
  core::TableSnapshot snapshot;
  bool down = false;

  bool Write(const ChangeEntry& aEntry, Instant aNow)
  {
    if (aEntry.version != entries.size() + 1) {
      return false;
    }
    entries.push_back(aEntry);
    sizes.push_back(core::ToJson(aEntry).size() + kItemBytes);
    accepted_at.push_back(aNow);
    view.Apply(aEntry);
    constexpr std::uint64_t kSnapshotEvery = 200;
    if (aEntry.version == 1 || aEntry.version % kSnapshotEvery == 0) {
      snapshot = *view.Current();
    }
    return true;
  }
};

class TableRun
{
public:
  explicit TableRun(const TableRunOptions& aOptions)
    : m_options(aOptions)
    , m_random(aOptions.seed)
    , m_nodes(aOptions.instances)
  {
  }

  TableRunFigures Run()
  {
    FillTable();
    for (std::size_t i = 0; i < m_nodes.size(); ++i) {
      Start(i);
    }
    m_queue.After(10s, [this] { MakeChange(); });
    const Duration before = (m_options.length - m_options.outage) / 2;
    m_queue.After(before, [this] { m_log.down = true; });
    m_queue.After(before + m_options.outage, [this] { m_log.down = false; });
    m_queue.RunFor(m_options.length);
    return Figures();
  }

private:
  struct Node
  {
    std::unique_ptr<core::TableFollower> follower;
    std::uint64_t life = 0;
    Instant started_at;
    bool started_in_outage = false;
    bool was_ready = false;
    std::uint64_t served = 0; ///< The newest version ever served by, any life.
  };

  void FillTable()
  {
    core::TableRow row;
    row.account = core::AccountId("*");
    row.model = core::ModelId("m");
    row.version = "v1";
    std::vector<core::Change> changes{ core::PutRow{ row } };
    for (std::size_t i = 0; i < m_options.accounts; ++i) {
      changes.emplace_back(core::PutRow{ AccountRow(i, 1) });
    }
    m_log.Write({ 1, "first", "first", std::move(changes) }, m_queue.Now());
  }

  static core::TableRow AccountRow(std::size_t aIndex, std::uint32_t aWeight)
  {
    core::TableRow row;
    row.account = core::AccountId("account-" + std::to_string(aIndex));
    row.model = core::ModelId("m");
    row.version = "v1";
    row.weight = aWeight;
    return row;
  }

  Duration Latency() { return m_random.Between(1ms, 12ms); }

  // Instances.

  void Start(std::size_t aNode)
  {
    Node& node = m_nodes[aNode];
    core::TableFollowerOptions options;
    options.jitter = static_cast<double>(m_random.Below(1000)) / 1000;
    node.follower = std::make_unique<core::TableFollower>(options);
    ++node.life;
    node.started_at = m_queue.Now();
    node.started_in_outage = m_log.down;
    node.was_ready = false;
    Follow(aNode, node.life);
    Gossip(aNode, node.life);
    const double hours = 1 / m_options.restarts_per_hour;
    const auto mean = std::chrono::duration_cast<Duration>(
      std::chrono::duration<double, std::ratio<3600>>(hours));
    At(aNode, m_random.Between(mean / 2, mean * 3 / 2), [this, aNode] {
      Start(aNode);
    });
  }

  /// Runs an event unless the instance was replaced meanwhile.
  void At(std::size_t aNode, Duration aDelay, std::function<void()> aEvent)
  {
    const std::uint64_t life = m_nodes[aNode].life;
    m_queue.After(aDelay, [this, aNode, life, event = std::move(aEvent)] {
      if (m_nodes[aNode].life == life) {
        event();
      }
    });
  }

  void Follow(std::size_t aNode, std::uint64_t aLife)
  {
    Node& node = m_nodes[aNode];
    if (node.life != aLife) {
      return;
    }
    const core::FollowStep step = node.follower->Next(m_queue.Now());
    Watch(node);
    Duration next = Latency();
    if (const auto* idle = std::get_if<core::FollowIdle>(&step)) {
      next = std::max<Duration>(idle->until - m_queue.Now(), 1ms);
    } else if (const auto* entries = std::get_if<core::FetchEntries>(&step)) {
      ReadEntries(aNode, entries->after, next);
    } else if (std::holds_alternative<core::FetchStoredSnapshot>(step)) {
      ReadSnapshot(aNode, next);
    } else if (const auto* ask = std::get_if<core::FetchPeerSnapshot>(&step)) {
      AskPeer(aNode, ask->peer, next);
    }
    At(aNode, next + 1us, [this, aNode, aLife] { Follow(aNode, aLife); });
  }

  bool ReadFails()
  {
    ++m_reads;
    m_bytes += kCallBytes;
    return m_log.down || m_random.Chance(m_options.fail_read);
  }

  void ReadEntries(std::size_t aNode, std::uint64_t aAfter, Duration aLatency)
  {
    const bool fails = ReadFails();
    std::vector<ChangeEntry> page;
    const std::size_t end =
      std::min(m_log.entries.size(), static_cast<std::size_t>(aAfter) + kPage);
    for (std::size_t i = aAfter; !fails && i < end; ++i) {
      page.push_back(m_log.entries[i]);
      m_bytes += m_log.sizes[i];
    }
    const bool at_head = page.size() < kPage;
    At(aNode, aLatency, [this, aNode, fails, at_head, page = std::move(page)] {
      Node& node = m_nodes[aNode];
      if (fails) {
        node.follower->OnServiceFailed(m_queue.Now(), "away");
      } else {
        node.follower->OnEntries(m_queue.Now(), page, at_head);
      }
      Watch(node);
    });
  }

  void ReadSnapshot(std::size_t aNode, Duration aLatency)
  {
    const bool fails = ReadFails();
    At(aNode, aLatency, [this, aNode, fails] {
      Node& node = m_nodes[aNode];
      if (fails) {
        node.follower->OnServiceFailed(m_queue.Now(), "away");
      } else {
        m_bytes += SnapshotBytes();
        node.follower->OnStoredSnapshot(m_queue.Now(), m_log.snapshot);
      }
      Watch(node);
    });
  }

  std::size_t SnapshotBytes()
  {
    if (m_snapshot_bytes == 0) {
      m_snapshot_bytes = core::ToJson(m_log.snapshot).size();
    }
    return m_snapshot_bytes;
  }

  static core::InstanceId NameOf(std::size_t aNode)
  {
    return core::InstanceId(std::to_string(aNode));
  }

  void AskPeer(std::size_t aNode,
               const core::InstanceId& aPeer,
               Duration aLatency)
  {
    const std::size_t peer = std::stoul(aPeer.Text());
    At(aNode, aLatency, [this, aNode, peer, id = aPeer] {
      std::optional<core::TableSnapshot> snapshot;
      if (m_nodes[peer].was_ready) {
        snapshot = *m_nodes[peer].follower->View().Current();
        m_bytes += SnapshotBytes();
      }
      m_nodes[aNode].follower->OnPeerSnapshot(
        m_queue.Now(), id, std::move(snapshot));
      Watch(m_nodes[aNode]);
    });
  }

  /// An instance tells some others its version, as messages between owners and
  /// entries do; it tells no version before it serves by one.
  void Gossip(std::size_t aNode, std::uint64_t aLife)
  {
    Node& node = m_nodes[aNode];
    if (node.life != aLife) {
      return;
    }
    for (std::size_t i = 0; node.was_ready && i < kGossipPeers; ++i) {
      const std::size_t peer = m_random.Below(m_nodes.size());
      const std::uint64_t version = node.follower->View().Version();
      if (peer != aNode) {
        At(peer, Latency(), [this, aNode, peer, version] {
          m_nodes[peer].follower->OnPeerVersion(NameOf(aNode), version);
        });
      }
    }
    At(aNode, 1s, [this, aNode, aLife] { Gossip(aNode, aLife); });
  }

  /// Looks at an instance after anything happened to it.
  void Watch(Node& aNode)
  {
    if (aNode.follower->NotReady()) {
      return;
    }
    const std::uint64_t version = aNode.follower->View().Version();
    if (!aNode.was_ready) {
      const double took = Seconds(m_queue.Now() - aNode.started_at);
      (aNode.started_in_outage ? m_ready_out : m_ready).push_back(took);
      aNode.was_ready = true;
      m_reverts += version < aNode.served ? 1 : 0;
    } else {
      m_reverts += version < aNode.served ? 1 : 0;
      for (std::uint64_t v = aNode.served + 1; v <= version; ++v) {
        m_in_force.push_back(Seconds(m_queue.Now() - m_log.accepted_at[v - 1]));
      }
    }
    aNode.served = std::max(aNode.served, version);
  }

  // Operators.

  void MakeChange()
  {
    const std::size_t account = m_random.Below(m_options.accounts);
    const int operators = m_random.Chance(m_options.race_share) ? 2 : 1;
    for (int i = 0; i < operators; ++i) {
      const auto number = ++m_changes;
      auto publish = std::make_shared<core::TablePublish>(
        m_log.view,
        std::vector<core::Change>{ core::PutRow{
          AccountRow(account, static_cast<std::uint32_t>(number + 1)) } },
        std::to_string(number),
        "operator");
      Publish(publish, publish->Start());
    }
    m_queue.After(m_options.between_changes, [this] { MakeChange(); });
  }

  void Publish(const std::shared_ptr<core::TablePublish>& aPublish,
               const core::PublishStep& aStep)
  {
    Duration latency = Latency();
    core::PublishAnswer answer = core::Continue{};
    if (const auto* read = std::get_if<core::ReadEntries>(&aStep)) {
      answer = ReadForPublish(read->after);
    } else if (const auto* commit = std::get_if<core::CommitEntry>(&aStep)) {
      answer = Commit(commit->entry);
    } else if (std::holds_alternative<core::BackOff>(aStep)) {
      latency = 200ms;
    } else {
      m_conflicts += std::holds_alternative<core::Conflicted>(aStep) ? 1 : 0;
      return;
    }
    m_queue.After(latency, [this, aPublish, answer] {
      Publish(aPublish, aPublish->On(answer));
    });
  }

  core::PublishAnswer ReadForPublish(std::uint64_t aAfter)
  {
    if (ReadFails()) {
      return core::Unavailable{ "away" };
    }
    core::EntriesRead read;
    for (std::size_t i = aAfter; i < m_log.entries.size(); ++i) {
      read.entries.push_back(m_log.entries[i]);
    }
    return read;
  }

  core::PublishAnswer Commit(const ChangeEntry& aEntry)
  {
    constexpr std::size_t kItems = 2;
    m_items_written += kItems;
    if (m_log.down) {
      return core::Unavailable{ "away" };
    }
    if (!m_log.Write(aEntry, m_queue.Now())) {
      return core::HeadMoved{};
    }
    if (m_random.Chance(m_options.lose_answer)) {
      return core::CommitUnknown{ "lost" };
    }
    return core::CommitDone{};
  }

  TableRunFigures Figures() const
  {
    TableRunFigures figures;
    figures.accepted = m_log.entries.size() - 1;
    figures.conflicts = m_conflicts;
    figures.reverts = m_reverts;
    std::map<std::string, std::size_t> tokens;
    for (const ChangeEntry& entry : m_log.entries) {
      figures.doubled += ++tokens[entry.token] > 1 ? 1 : 0;
    }
    for (const Node& node : m_nodes) {
      figures.half_applied += IsHalfApplied(node) ? 1 : 0;
    }
    figures.in_force_s_p50 = Percentile(m_in_force, 0.5);
    figures.in_force_s_p99 = Percentile(m_in_force, 0.99);
    figures.in_force_s_max = Percentile(m_in_force, 1);
    figures.ready_s_p99 = Percentile(m_ready, 0.99);
    figures.ready_out_s_p99 = Percentile(m_ready_out, 0.99);
    const double seconds = Seconds(m_options.length);
    figures.reads_per_second = static_cast<double>(m_reads) / seconds;
    figures.writes_per_second = static_cast<double>(m_items_written) / seconds;
    figures.bytes_per_second_per_node = static_cast<double>(m_bytes) / seconds /
                                        static_cast<double>(m_nodes.size());
    return figures;
  }

  /// An instance's table is other than the sequence up to its version says.
  [[nodiscard]] bool IsHalfApplied(const Node& aNode) const
  {
    core::TableView view;
    const std::uint64_t version = aNode.follower->View().Version();
    view.Apply(std::span(m_log.entries).first(version));
    return view.Current()->table.ToCsv() !=
           aNode.follower->View().Current()->table.ToCsv();
  }

  TableRunOptions m_options;
  EventQueue m_queue;
  Random m_random;
  FakeLog m_log;
  std::vector<Node> m_nodes;
  std::size_t m_changes = 0;
  std::size_t m_conflicts = 0;
  std::size_t m_reverts = 0;
  std::uint64_t m_reads = 0;
  std::uint64_t m_items_written = 0;
  std::uint64_t m_bytes = 0;
  std::size_t m_snapshot_bytes = 0;
  std::vector<double> m_in_force;
  std::vector<double> m_ready;
  std::vector<double> m_ready_out;
};

} // namespace

TableRunFigures
RunTable(const TableRunOptions& aOptions)
{
  return TableRun(aOptions).Run();
}

} // namespace jujubehead::bench
