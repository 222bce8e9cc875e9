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
  kImport, ///< A caller waits for it.
  kExport, ///< Nobody waits for it.
};

/// @brief One movement of kept blocks over a store's link.
struct Transfer
{
  std::uint64_t id = 0;
  TransferKind kind = TransferKind::kImport;
  AccountId account;
  double weight = 1; ///< The account's share, from the table; above 0.
  std::uint64_t bytes = 0;
  Instant give_up; ///< Not started by then, it is worth nothing any more.
};

struct LinkSettings
{
  double bytes_per_second = 1e9; ///< Until transfers have shown the true rate.
  std::size_t imports_at_once = 1;
  std::size_t exports_at_once = 1;
  std::size_t max_waiting = 1024; ///< Of each kind.
};

/// @brief Decides which transfers cross one store's link, and when.
///
/// One owner holds it for the link. Imports go before exports; among the same
/// kind the accounts share by weight (start-time fair queueing by bytes). Few
/// run at once, so that each ends soon. As every transfer passes here, a quote
/// counts all that was granted before, however late the store's reports are.
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
  /// @return false when too many wait already; nothing is kept of it then.
  bool Submit(const Transfer& aTransfer);

  /// @return the transfers that start now, in order.
  std::vector<Transfer> Start(Instant aNow);

  /// @return waiting transfers past their give-up time, which are dropped.
  std::vector<Transfer> Expire(Instant aNow);

  /// @brief A running transfer has ended and its bytes have crossed.
  void Finish(std::uint64_t aId, Instant aNow);

  /// @brief Drops a transfer, waiting or running; unknown ids are ignored.
  void Cancel(std::uint64_t aId, Instant aNow);

  /// @return the link's rate, learnt from the transfers that ended.
  [[nodiscard]] double BytesPerSecond() const;

  /// @return share of time that the link is busy with a kind of transfer, the
  /// last minutes weighing most.
  [[nodiscard]] double Use(TransferKind aKind, Instant aNow) const;

  /// @return transfers of a kind that wait.
  [[nodiscard]] std::size_t Waiting(TransferKind aKind) const;
  /// @return transfers of a kind that run.
  [[nodiscard]] std::size_t Running(TransferKind aKind) const;

private:
  class Queues;
  std::unique_ptr<Queues> m_queues;
};

} // namespace jujubehead::core

#endif // JUJUBEHEAD_CORE_LINK_SCHEDULE_HPP
