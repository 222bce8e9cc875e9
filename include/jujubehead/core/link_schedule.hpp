#ifndef JUJUBEHEAD_CORE_LINK_SCHEDULE_HPP
#define JUJUBEHEAD_CORE_LINK_SCHEDULE_HPP

#include <cstddef> // for size_t
#include <cstdint> // for uint64_t
#include <memory>  // for unique_ptr
#include <vector>  // for vector

#include "jujubehead/core/ids.hpp"           // for AccountId
#include "jujubehead/core/runtime_clock.hpp" // for Duration, Instant

namespace jujubehead::core {

enum class TransferKind
{
  kImport, ///< Store to target; a caller is waiting.
  kExport, ///< Target to store, in the background.
};

/// @brief One transfer of cached blocks over a store's link.
struct Transfer
{
  std::uint64_t id = 0;
  TransferKind kind = TransferKind::kImport;
  AccountId account;
  double weight = 1; ///< Fair-queueing weight of the account; above 0.
  std::uint64_t bytes = 0;
  Instant start_deadline; ///< Dropped if not started by then.
};

struct LinkSettings
{
  double bytes_per_second = 1e9; ///< Initial estimate.
  std::size_t max_running_imports = 1;
  std::size_t max_running_exports = 1;
  std::size_t max_waiting = 1024; ///< Per kind.
};

/// @brief Schedules the transfers over one store's link.
///
/// Each link has one owner, which holds its schedule. Imports take precedence
/// over exports; within a kind, accounts share by weight (start-time fair
/// queueing by bytes). Few transfers run at once, so that each ends soon. As
/// every transfer is scheduled here, an expected wait includes all transfers
/// granted before, however late the store's reports are.
class LinkSchedule
{
public:
  explicit LinkSchedule(const LinkSettings& aSettings);
  ~LinkSchedule();
  LinkSchedule(LinkSchedule&&) noexcept;
  LinkSchedule& operator=(LinkSchedule&&) noexcept;

  /// @return expected time until a transfer submitted now could start.
  [[nodiscard]] Duration ExpectedWait(TransferKind aKind,
                                      const AccountId& aAccount,
                                      Instant aNow) const;

  /// @brief Queues a transfer.
  /// @return false when the queue is full; the transfer is not queued.
  bool Submit(const Transfer& aTransfer);

  /// @return the transfers that start now, in order.
  std::vector<Transfer> Start(Instant aNow);

  /// @brief Drops waiting transfers that are past their start deadline.
  /// @return the dropped transfers.
  std::vector<Transfer> Expire(Instant aNow);

  /// @brief Ends a running transfer that has moved all its bytes.
  void Finish(std::uint64_t aId, Instant aNow);

  /// @brief Drops a waiting or running transfer; ignores unknown ids.
  void Cancel(std::uint64_t aId, Instant aNow);

  /// @return the link's rate, estimated from finished transfers.
  [[nodiscard]] double BytesPerSecond() const;

  /// @return share of time that the link is busy with a kind of transfer, as
  /// an exponential average over the last minutes.
  [[nodiscard]] double Utilization(TransferKind aKind, Instant aNow) const;

  /// @return number of waiting transfers of a kind.
  [[nodiscard]] std::size_t Waiting(TransferKind aKind) const;
  /// @return number of running transfers of a kind.
  [[nodiscard]] std::size_t Running(TransferKind aKind) const;

private:
  class Impl;
  std::unique_ptr<Impl> m_impl;
};

} // namespace jujubehead::core

#endif // JUJUBEHEAD_CORE_LINK_SCHEDULE_HPP
