#include "bench/agreement/claims_run.hpp"

#include <map>    // for map
#include <string> // for string, to_string
#include <vector> // for vector

#include "bench/agreement/event_queue.hpp" // for EventQueue, Random
#include "jujubehead/core/claims.hpp"      // for Claims

namespace jujubehead::bench {

namespace {

using namespace std::chrono_literals;

constexpr std::size_t kInstances = 8;
constexpr int kRequests = 12'000;
constexpr core::Duration kOfferEvery = 5ms;
constexpr double kLoseAnswer = 0.1;
constexpr double kLandLate = 0.05;

class ClaimsWorld
{
public:
  explicit ClaimsWorld(std::uint64_t aSeed)
    : m_random(aSeed)
  {
    for (std::size_t i = 0; i < kInstances; ++i) {
      m_instances.push_back(core::Claims::Create());
    }
  }

  ClaimsFigures Run()
  {
    for (int i = 0; i < kRequests; ++i) {
      const std::string key = std::to_string(i);
      Offer(key);
      Offer(key);
      m_queue.RunFor(kOfferEvery);
      Step();
    }
    for (int i = 0; i < 2000; ++i) {
      m_queue.RunFor(kOfferEvery);
      Step();
    }
    return Figures();
  }

private:
  void Offer(const std::string& aKey)
  {
    const std::string token = aKey + "/" + std::to_string(m_tokens++);
    m_instances[m_random.Below(kInstances)].Claim(
      { { core::AccountId("a"), aKey }, token, 1 }, m_queue.Now());
  }

  void Step()
  {
    for (std::size_t i = 0; i < kInstances; ++i) {
      m_instances[i].Tick(m_queue.Now());
      for (const core::ClaimAction& action : m_instances[i].TakeActions()) {
        Act(i, action);
      }
    }
  }

  void Act(std::size_t aIndex, const core::ClaimAction& aAction)
  {
    if (const auto* write = std::get_if<core::WriteClaims>(&aAction)) {
      Write(aIndex, *write);
    } else if (const auto* read = std::get_if<core::ReadClaim>(&aAction)) {
      Read(aIndex, *read);
    } else if (const auto* won = std::get_if<core::ClaimWon>(&aAction)) {
      ++m_runs[won->token.substr(0, won->token.find('/'))];
    }
  }

  core::ClaimsOutcome Land(const core::WriteClaims& aWrite)
  {
    ++m_transactions;
    core::ClaimsConflict conflict;
    for (std::size_t i = 0; i < aWrite.rows.size(); ++i) {
      if (m_rows.contains(aWrite.rows[i].key)) {
        conflict.indices.push_back(i);
      }
    }
    if (!conflict.indices.empty()) {
      return conflict;
    }
    for (const core::ClaimRow& row : aWrite.rows) {
      m_rows.emplace(row.key, row.token);
    }
    return core::ClaimsCommitted{};
  }

  void Write(std::size_t aIndex, const core::WriteClaims& aWrite)
  {
    const bool late = m_random.Chance(kLandLate);
    const bool lost = late || m_random.Chance(kLoseAnswer);
    const core::Duration delay =
      late ? m_random.Between(1s, 10s) : m_random.Between(2ms, 8ms);
    if (late) {
      m_queue.After(1s, [this, aIndex, aWrite] {
        Done(aIndex, aWrite.transaction, core::ClaimsUnknown{});
      });
    }
    m_queue.After(delay, [this, aIndex, aWrite, late, lost] {
      const core::ClaimsOutcome outcome = Land(aWrite);
      if (!late) {
        Done(aIndex,
             aWrite.transaction,
             lost ? core::ClaimsOutcome(core::ClaimsUnknown{}) : outcome);
      }
    });
  }

  void Done(std::size_t aIndex,
            std::uint64_t aTransaction,
            const core::ClaimsOutcome& aOutcome)
  {
    m_instances[aIndex].OnWritten(aTransaction, aOutcome, m_queue.Now());
  }

  void Read(std::size_t aIndex, const core::ReadClaim& aRead)
  {
    m_queue.After(m_random.Between(2ms, 8ms), [this, aIndex, aRead] {
      const auto found = m_rows.find(aRead.key);
      const bool is_there = found != m_rows.end();
      m_instances[aIndex].OnRead(
        aRead.transaction,
        { false, is_there, is_there ? found->second : std::string() },
        m_queue.Now());
    });
  }

  [[nodiscard]] ClaimsFigures Figures() const
  {
    ClaimsFigures figures;
    figures.requests = kRequests;
    for (const auto& [key, runs] : m_runs) {
      figures.ran += 1;
      figures.doubled += runs > 1 ? 1 : 0;
    }
    const double seconds =
      std::chrono::duration<double>(kOfferEvery).count() * kRequests;
    figures.transactions_per_second =
      static_cast<double>(m_transactions) / seconds;
    figures.rows_per_second = static_cast<double>(m_rows.size()) / seconds;
    return figures;
  }

  EventQueue m_queue;
  Random m_random;
  std::vector<core::Claims> m_instances;
  std::map<core::ClaimKey, std::string> m_rows;
  std::map<std::string, int> m_runs;
  std::uint64_t m_tokens = 0;
  std::uint64_t m_transactions = 0;
};

} // namespace

ClaimsFigures
RunClaims(std::uint64_t aSeed)
{
  return ClaimsWorld(aSeed).Run();
}

} // namespace jujubehead::bench
