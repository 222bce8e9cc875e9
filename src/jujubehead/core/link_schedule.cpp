#include "jujubehead/core/link_schedule.hpp"

#include <algorithm>     // for find_if, min_element
#include <array>         // for array
#include <chrono>        // for duration
#include <cmath>         // for exp
#include <unordered_map> // for unordered_map

namespace jujubehead::core {
namespace {

using Seconds = std::chrono::duration<double>;

/// Weight of the latest transfer in the rate estimate.
constexpr double kRateGain = 0.2;
/// Time constant of the link utilization average, in seconds.
constexpr double kUtilizationWindow = 120;

double
ToSeconds(Duration aDuration)
{
  return std::chrono::duration_cast<Seconds>(aDuration).count();
}

struct QueuedTransfer
{
  Transfer transfer;
  double start_tag = 0;
};

struct RunningTransfer
{
  Transfer transfer;
  double link_seconds = 0; ///< Its share of link time so far.
};

/// Waiting transfers of one kind, in start-time fair order.
class FairQueue
{
public:
  void Add(const Transfer& aTransfer)
  {
    const double start = NextTag(aTransfer.account);
    m_finish_tags[aTransfer.account] =
      start + static_cast<double>(aTransfer.bytes) / aTransfer.weight;
    m_queued.push_back({ aTransfer, start });
  }

  Transfer Pop()
  {
    const auto first = std::min_element(
      m_queued.begin(),
      m_queued.end(),
      [](const QueuedTransfer& aLeft, const QueuedTransfer& aRight) {
        return aLeft.start_tag < aRight.start_tag;
      });
    Transfer transfer = first->transfer;
    m_virtual_time = std::max(m_virtual_time, first->start_tag);
    m_queued.erase(first);
    DropIdleAccounts();
    return transfer;
  }

  /// Bytes scheduled before a new transfer of the account.
  [[nodiscard]] double BytesBefore(const AccountId& aAccount) const
  {
    const double tag = NextTag(aAccount);
    double bytes = 0;
    for (const QueuedTransfer& queued : m_queued) {
      if (queued.start_tag <= tag) {
        bytes += static_cast<double>(queued.transfer.bytes);
      }
    }
    return bytes;
  }

  template<typename Predicate>
  std::vector<Transfer> RemoveIf(Predicate aPredicate)
  {
    std::vector<Transfer> removed;
    std::erase_if(m_queued, [&](const QueuedTransfer& aQueued) {
      const bool remove = aPredicate(aQueued.transfer);
      if (remove) {
        removed.push_back(aQueued.transfer);
      }
      return remove;
    });
    return removed;
  }

  [[nodiscard]] std::size_t Size() const { return m_queued.size(); }

private:
  [[nodiscard]] double NextTag(const AccountId& aAccount) const
  {
    const auto found = m_finish_tags.find(aAccount);
    return found == m_finish_tags.end()
             ? m_virtual_time
             : std::max(m_virtual_time, found->second);
  }

  void DropIdleAccounts()
  {
    std::erase_if(m_finish_tags, [this](const auto& aEntry) {
      return aEntry.second <= m_virtual_time;
    });
  }

  std::vector<QueuedTransfer> m_queued;
  std::unordered_map<AccountId, double> m_finish_tags;
  double m_virtual_time = 0;
};

} // namespace

class LinkSchedule::Impl
{
public:
  explicit Impl(const LinkSettings& aSettings)
    : m_settings(aSettings)
    , m_rate(aSettings.bytes_per_second)
  {
  }

  [[nodiscard]] Duration ExpectedWait(TransferKind aKind,
                                      const AccountId& aAccount,
                                      Instant aNow) const
  {
    double bytes = Queue(aKind).BytesBefore(aAccount);
    if (aKind == TransferKind::kExport) {
      bytes += Queue(TransferKind::kImport).BytesBefore(aAccount);
    }
    if (Running(aKind) >= Limit(aKind)) {
      bytes += RunningBytes(aKind, aNow);
    }
    return std::chrono::duration_cast<Duration>(Seconds(bytes / m_rate));
  }

  bool Submit(const Transfer& aTransfer)
  {
    if (Queue(aTransfer.kind).Size() >= m_settings.max_waiting) {
      return false;
    }
    Queue(aTransfer.kind).Add(aTransfer);
    return true;
  }

  std::vector<Transfer> Start(Instant aNow)
  {
    Charge(aNow);
    std::vector<Transfer> started;
    StartKind(TransferKind::kImport, started);
    if (Queue(TransferKind::kImport).Size() == 0 &&
        Running(TransferKind::kImport) == 0) {
      StartKind(TransferKind::kExport, started);
    }
    return started;
  }

  std::vector<Transfer> Expire(Instant aNow)
  {
    const auto isExpired = [aNow](const Transfer& aTransfer) {
      return aTransfer.start_deadline <= aNow;
    };
    std::vector<Transfer> expired;
    for (FairQueue& queue : m_waiting) {
      const auto removed = queue.RemoveIf(isExpired);
      expired.insert(expired.end(), removed.begin(), removed.end());
    }
    return expired;
  }

  void Finish(std::uint64_t aId, Instant aNow)
  {
    Charge(aNow);
    const auto running = Find(aId);
    if (running == m_running.end()) {
      return;
    }
    if (running->link_seconds > 0) {
      const double rate =
        static_cast<double>(running->transfer.bytes) / running->link_seconds;
      m_rate += kRateGain * (rate - m_rate);
    }
    m_running.erase(running);
  }

  void Cancel(std::uint64_t aId, Instant aNow)
  {
    Charge(aNow);
    const auto running = Find(aId);
    if (running != m_running.end()) {
      m_running.erase(running);
    }
    for (FairQueue& queue : m_waiting) {
      queue.RemoveIf(
        [aId](const Transfer& aTransfer) { return aTransfer.id == aId; });
    }
  }

  [[nodiscard]] double Rate() const { return m_rate; }

  [[nodiscard]] double Utilization(TransferKind aKind, Instant aNow) const
  {
    const double busy = Running(aKind) > 0 ? 1 : 0;
    const double old =
      std::exp(-ToSeconds(aNow - m_charged) / kUtilizationWindow);
    return busy + (m_utilization[static_cast<std::size_t>(aKind)] - busy) * old;
  }

  [[nodiscard]] std::size_t Waiting(TransferKind aKind) const
  {
    return Queue(aKind).Size();
  }

  [[nodiscard]] std::size_t Running(TransferKind aKind) const
  {
    return static_cast<std::size_t>(
      std::count_if(m_running.begin(),
                    m_running.end(),
                    [aKind](const RunningTransfer& aRunning) {
                      return aRunning.transfer.kind == aKind;
                    }));
  }

private:
  using RunningTransfers = std::vector<RunningTransfer>;

  FairQueue& Queue(TransferKind aKind)
  {
    return m_waiting[static_cast<std::size_t>(aKind)];
  }

  [[nodiscard]] const FairQueue& Queue(TransferKind aKind) const
  {
    return m_waiting[static_cast<std::size_t>(aKind)];
  }

  [[nodiscard]] std::size_t Limit(TransferKind aKind) const
  {
    return aKind == TransferKind::kImport ? m_settings.max_running_imports
                                          : m_settings.max_running_exports;
  }

  void StartKind(TransferKind aKind, std::vector<Transfer>& aStarted)
  {
    while (Queue(aKind).Size() > 0 && Running(aKind) < Limit(aKind)) {
      aStarted.push_back(Queue(aKind).Pop());
      m_running.push_back({ aStarted.back(), 0 });
    }
  }

  RunningTransfers::iterator Find(std::uint64_t aId)
  {
    return std::find_if(m_running.begin(),
                        m_running.end(),
                        [aId](const RunningTransfer& aRunning) {
                          return aRunning.transfer.id == aId;
                        });
  }

  /// Charges each running transfer its share of the time since the last call.
  void Charge(Instant aNow)
  {
    const double share = ShareSince(aNow);
    for (RunningTransfer& running : m_running) {
      running.link_seconds += share;
    }
    if (aNow > m_charged) {
      m_utilization = { Utilization(TransferKind::kImport, aNow),
                        Utilization(TransferKind::kExport, aNow) };
      m_charged = aNow;
    }
  }

  [[nodiscard]] double ShareSince(Instant aNow) const
  {
    if (m_running.empty() || aNow <= m_charged) {
      return 0;
    }
    return ToSeconds(aNow - m_charged) / static_cast<double>(m_running.size());
  }

  /// Remaining bytes of the running transfers of a kind.
  [[nodiscard]] double RunningBytes(TransferKind aKind, Instant aNow) const
  {
    const double share = ShareSince(aNow);
    double bytes = 0;
    for (const RunningTransfer& running : m_running) {
      if (running.transfer.kind == aKind) {
        const double moved = (running.link_seconds + share) * m_rate;
        bytes +=
          std::max(0.0, static_cast<double>(running.transfer.bytes) - moved);
      }
    }
    return bytes;
  }

  static constexpr std::size_t kKinds = 2;

  LinkSettings m_settings;
  double m_rate;
  Instant m_charged;
  std::array<double, kKinds> m_utilization{};
  std::array<FairQueue, kKinds> m_waiting;
  RunningTransfers m_running;
};

LinkSchedule::LinkSchedule(const LinkSettings& aSettings)
  : m_impl(std::make_unique<Impl>(aSettings))
{
}

LinkSchedule::~LinkSchedule() = default;
LinkSchedule::LinkSchedule(LinkSchedule&&) noexcept = default;
LinkSchedule&
LinkSchedule::operator=(LinkSchedule&&) noexcept = default;

Duration
LinkSchedule::ExpectedWait(TransferKind aKind,
                           const AccountId& aAccount,
                           Instant aNow) const
{
  return m_impl->ExpectedWait(aKind, aAccount, aNow);
}

bool
LinkSchedule::Submit(const Transfer& aTransfer)
{
  return m_impl->Submit(aTransfer);
}

std::vector<Transfer>
LinkSchedule::Start(Instant aNow)
{
  return m_impl->Start(aNow);
}

std::vector<Transfer>
LinkSchedule::Expire(Instant aNow)
{
  return m_impl->Expire(aNow);
}

void
LinkSchedule::Finish(std::uint64_t aId, Instant aNow)
{
  m_impl->Finish(aId, aNow);
}

void
LinkSchedule::Cancel(std::uint64_t aId, Instant aNow)
{
  m_impl->Cancel(aId, aNow);
}

double
LinkSchedule::BytesPerSecond() const
{
  return m_impl->Rate();
}

double
LinkSchedule::Utilization(TransferKind aKind, Instant aNow) const
{
  return m_impl->Utilization(aKind, aNow);
}

std::size_t
LinkSchedule::Waiting(TransferKind aKind) const
{
  return m_impl->Waiting(aKind);
}

std::size_t
LinkSchedule::Running(TransferKind aKind) const
{
  return m_impl->Running(aKind);
}

} // namespace jujubehead::core
