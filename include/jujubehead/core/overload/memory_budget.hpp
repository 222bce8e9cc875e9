#ifndef JUJUBEHEAD_CORE_OVERLOAD_MEMORY_BUDGET_HPP
#define JUJUBEHEAD_CORE_OVERLOAD_MEMORY_BUDGET_HPP

#include <atomic>     // for atomic
#include <cstddef>    // for size_t
#include <cstdint>    // for uint8_t, uint64_t
#include <functional> // for function
#include <memory>     // for shared_ptr
#include <set>        // for set
#include <vector>     // for vector

#include "jujubehead/core/runtime_clock.hpp" // for Duration, Instant

namespace jujubehead::core {

/// @brief Bounds the memory that one thread holds for callers' requests and
/// their replies, over all of them together.
///
/// A limit for each request does not bound their sum: a few dozen bodies of
/// legal size exceed the memory of a small machine. When the budget is used up,
/// the memory of transfers that make no progress is revoked, the largest first;
/// then new demands are refused. Requests that are being handled keep theirs.
///
/// Requests and replies have at most three quarters each, so that neither
/// starves the other, and of the requests' share large ones have at most three
/// quarters, so that small ones are served beside them.
///
/// @code
/// MemoryBudget::Reservation held(budget, MemoryBudget::Phase::kReceiving, [] {
///   /* free the body and close the connection */
/// });
/// if (!held.Resize(body.capacity(), now)) { /* refuse the request */ }
/// @endcode
class MemoryBudget
{
public:
  /// Requests that hold more count as large.
  static constexpr std::size_t kMaxSmallBytes = 128UL * 1024;
  /// A transfer that falls behind this rate for longer than the allowance is
  /// slow. A few retransmissions take less.
  static constexpr std::uint64_t kMinBytesPerSecond = 64UL * 1024;
  static constexpr Duration kSlowAllowance = std::chrono::seconds(1);

  /// @brief What the memory is held for, which decides when it is revoked.
  enum class Phase : std::uint8_t
  {
    kReceiving,      ///< An incomplete request: when it is slow.
    kHandling,       ///< A complete request: never.
    kReceivingReply, ///< An incomplete reply: if it is the largest.
    kSendingReply,   ///< A reply on its way to the caller: when it is slow.
  };

  class Reservation
  {
  public:
    /// @param aBudget is kept: a reservation may outlive its owner.
    /// @param aOnRevoked frees what is held. Must not destroy a reservation.
    Reservation(std::shared_ptr<MemoryBudget> aBudget,
                Phase aPhase,
                std::function<void()> aOnRevoked);
    ~Reservation();
    Reservation(const Reservation&) = delete;
    Reservation& operator=(const Reservation&) = delete;
    Reservation(Reservation&&) = delete;
    Reservation& operator=(Reservation&&) = delete;

    /// @brief Sets the bytes that are held. May revoke others' memory, and that
    /// of this one if it is the largest incomplete reply.
    /// @return whether there is room; if not, nothing has changed.
    bool Resize(std::size_t aBytes, Instant aNow);
    /// @brief Bytes were received or sent.
    void OnProgress(std::size_t aBytes, Instant aNow);
    void SetPhase(Phase aPhase, Instant aNow);
    [[nodiscard]] std::size_t Bytes() const { return m_bytes; }
    [[nodiscard]] bool IsRevoked() const { return m_is_revoked; }
    /// @return whether it is a transfer that makes no progress.
    [[nodiscard]] bool IsSlow(Instant aNow) const;
    /// @brief Revokes it, as when its memory is needed.
    void Revoke();

  private:
    friend class MemoryBudget;

    std::shared_ptr<MemoryBudget> m_budget;
    Phase m_phase;
    std::function<void()> m_on_revoked;
    std::size_t m_bytes = 0;
    Instant m_slow_at{}; ///< Unless there is progress.
    bool m_is_revoked = false;
  };

  explicit MemoryBudget(std::size_t aMaxBytes);

  /// @return the bytes that are held; may be called on any thread.
  [[nodiscard]] std::size_t Bytes() const { return m_bytes; }
  [[nodiscard]] std::size_t MaxBytes() const { return m_max.total; }
  /// @return the largest request that there is ever room for, in bytes.
  [[nodiscard]] std::size_t MaxRequestBytes() const { return m_max.large; }
  /// @return how many reservations were revoked.
  [[nodiscard]] std::uint64_t Revocations() const { return m_revocations; }

private:
  struct Sums
  {
    void Add(Phase aPhase, std::size_t aBytes);
    void Subtract(Phase aPhase, std::size_t aBytes);

    std::size_t total = 0;
    std::size_t requests = 0;
    std::size_t large = 0; ///< Of the requests.
    std::size_t replies = 0;
  };

  /// @return whether sums exceed no limit.
  [[nodiscard]] bool Fits(const Sums& aSums) const;
  /// @return whether revoking a reservation lowers a sum that is exceeded.
  [[nodiscard]] bool Helps(const Reservation& aVictim, const Sums& aSums) const;
  bool MakeRoom(const Reservation& aFor, std::size_t aBytes, Instant aNow);
  void Replace(Phase aOldPhase,
               std::size_t aOldBytes,
               Phase aPhase,
               std::size_t aBytes);

  Sums m_max;
  Sums m_sums;
  std::atomic<std::size_t> m_bytes{ 0 }; ///< Sums::total, for other threads.
  std::set<Reservation*> m_reservations;
  std::uint64_t m_revocations = 0;
};

} // namespace jujubehead::core

#endif // JUJUBEHEAD_CORE_OVERLOAD_MEMORY_BUDGET_HPP
