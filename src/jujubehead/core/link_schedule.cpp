#include "jujubehead/core/link_schedule.hpp"

#include <algorithm>     // for find_if, min_element
#include <array>         // for array
#include <chrono>        // for duration
#include <cmath>         // for exp
#include <unordered_map> // for unordered_map

namespace jujubehead::core {
namespace {

using Seconds = std::chrono::duration<double>;

/// Weight of the newest transfer in the learnt rate.
constexpr double kRateGain = 0.2;
/// Seconds over which the use of the link is averaged.
constexpr double kUseWindow = 120;

double
ToSeconds(Duration aDuration)
{
  return std::chrono::duration_cast<Seconds>(aDuration).count();
}

struct Waiter
{
  Transfer transfer;
  double start_tag = 0;
};

struct Runner
{
  Transfer transfer;
  double link_seconds = 0; ///< Its share of the link's time so far.
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
    m_waiters.push_back({ aTransfer, start });
  }

  Transfer Pop()
  {
    const auto first =
      std::min_element(m_waiters.begin(),
                       m_waiters.end(),
                       [](const Waiter& aLeft, const Waiter& aRight) {
                         return aLeft.start_tag < aRight.start_tag;
                       });
    Transfer transfer = first->transfer;
    m_virtual_time = std::max(m_virtual_time, first->start_tag);
    m_waiters.erase(first);
    DropIdleAccounts();
    return transfer;
  }

  /// Bytes that would go before a new transfer of the account.
  [[nodiscard]] double BytesBefore(const AccountId& aAccount) const
  {
    const double tag = NextTag(aAccount);
    double bytes = 0;
    for (const Waiter& waiter : m_waiters) {
      if (waiter.start_tag <= tag) {
        bytes += static_cast<double>(waiter.transfer.bytes);
      }
    }
    return bytes;
  }

  template<typename Predicate>
  std::vector<Transfer> RemoveIf(Predicate aPredicate)
  {
    std::vector<Transfer> removed;
    std::erase_if(m_waiters, [&](const Waiter& aWaiter) {
      const bool remove = aPredicate(aWaiter.transfer);
      if (remove) {
        removed.push_back(aWaiter.transfer);
      }
      return remove;
    });
    return removed;
  }

  [[nodiscard]] std::size_t Size() const { return m_waiters.size(); }

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

  std::vector<Waiter> m_waiters;
  std::unordered_map<AccountId, double> m_finish_tags;
  double m_virtual_time = 0;
};

} // namespace

class LinkSchedule::Queues
{
public:
  explicit Queues(const LinkSettings& aSettings)
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
    const auto isLate = [aNow](const Transfer& aTransfer) {
      return aTransfer.give_up <= aNow;
    };
    std::vector<Transfer> late;
    for (FairQueue& queue : m_waiting) {
      const auto removed = queue.RemoveIf(isLate);
      late.insert(late.end(), removed.begin(), removed.end());
    }
    return late;
  }

  void Finish(std::uint64_t aId, Instant aNow)
  {
    Charge(aNow);
    const auto runner = Find(aId);
    if (runner == m_running.end()) {
      return;
    }
    if (runner->link_seconds > 0) {
      const double rate =
        static_cast<double>(runner->transfer.bytes) / runner->link_seconds;
      m_rate += kRateGain * (rate - m_rate);
    }
    m_running.erase(runner);
  }

  void Cancel(std::uint64_t aId, Instant aNow)
  {
    Charge(aNow);
    const auto runner = Find(aId);
    if (runner != m_running.end()) {
      m_running.erase(runner);
    }
    for (FairQueue& queue : m_waiting) {
      queue.RemoveIf(
        [aId](const Transfer& aTransfer) { return aTransfer.id == aId; });
    }
  }

  [[nodiscard]] double Rate() const { return m_rate; }

  [[nodiscard]] double Use(TransferKind aKind, Instant aNow) const
  {
    const double busy = Running(aKind) > 0 ? 1 : 0;
    const double old = std::exp(-ToSeconds(aNow - m_charged) / kUseWindow);
    return busy + (m_use[static_cast<std::size_t>(aKind)] - busy) * old;
  }

  [[nodiscard]] std::size_t Waiting(TransferKind aKind) const
  {
    return Queue(aKind).Size();
  }

  [[nodiscard]] std::size_t Running(TransferKind aKind) const
  {
    return static_cast<std::size_t>(std::count_if(
      m_running.begin(), m_running.end(), [aKind](const Runner& aRunner) {
        return aRunner.transfer.kind == aKind;
      }));
  }

private:
  using Runners = std::vector<Runner>;

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
    return aKind == TransferKind::kImport ? m_settings.imports_at_once
                                          : m_settings.exports_at_once;
  }

  void StartKind(TransferKind aKind, std::vector<Transfer>& aStarted)
  {
    while (Queue(aKind).Size() > 0 && Running(aKind) < Limit(aKind)) {
      aStarted.push_back(Queue(aKind).Pop());
      m_running.push_back({ aStarted.back(), 0 });
    }
  }

  Runners::iterator Find(std::uint64_t aId)
  {
    return std::find_if(
      m_running.begin(), m_running.end(), [aId](const Runner& aRunner) {
        return aRunner.transfer.id == aId;
      });
  }

  /// Gives each running transfer its share of the time since the last charge.
  void Charge(Instant aNow)
  {
    const double share = ShareSince(aNow);
    for (Runner& runner : m_running) {
      runner.link_seconds += share;
    }
    if (aNow > m_charged) {
      m_use = { Use(TransferKind::kImport, aNow),
                Use(TransferKind::kExport, aNow) };
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

  /// Bytes that the running transfers of a kind have yet to move.
  [[nodiscard]] double RunningBytes(TransferKind aKind, Instant aNow) const
  {
    const double share = ShareSince(aNow);
    double bytes = 0;
    for (const Runner& runner : m_running) {
      if (runner.transfer.kind == aKind) {
        const double moved = (runner.link_seconds + share) * m_rate;
        bytes +=
          std::max(0.0, static_cast<double>(runner.transfer.bytes) - moved);
      }
    }
    return bytes;
  }

  static constexpr std::size_t kKinds = 2;

  LinkSettings m_settings;
  double m_rate;
  Instant m_charged;
  std::array<double, kKinds> m_use{};
  std::array<FairQueue, kKinds> m_waiting;
  Runners m_running;
};

LinkSchedule::LinkSchedule(const LinkSettings& aSettings)
  : m_queues(std::make_unique<Queues>(aSettings))
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
  return m_queues->ExpectedWait(aKind, aAccount, aNow);
}

bool
LinkSchedule::Submit(const Transfer& aTransfer)
{
  return m_queues->Submit(aTransfer);
}

std::vector<Transfer>
LinkSchedule::Start(Instant aNow)
{
  return m_queues->Start(aNow);
}

std::vector<Transfer>
LinkSchedule::Expire(Instant aNow)
{
  return m_queues->Expire(aNow);
}

void
LinkSchedule::Finish(std::uint64_t aId, Instant aNow)
{
  m_queues->Finish(aId, aNow);
}

void
LinkSchedule::Cancel(std::uint64_t aId, Instant aNow)
{
  m_queues->Cancel(aId, aNow);
}

double
LinkSchedule::BytesPerSecond() const
{
  return m_queues->Rate();
}

double
LinkSchedule::Use(TransferKind aKind, Instant aNow) const
{
  return m_queues->Use(aKind, aNow);
}

std::size_t
LinkSchedule::Waiting(TransferKind aKind) const
{
  return m_queues->Waiting(aKind);
}

std::size_t
LinkSchedule::Running(TransferKind aKind) const
{
  return m_queues->Running(aKind);
}

} // namespace jujubehead::core
