#include "crash_recorder.hpp"

#include <algorithm> // for min
#include <utility>   // for move, exchange
#include <variant>   // for get_if

#include <boost/asio/as_tuple.hpp>      // for as_tuple
#include <boost/asio/co_spawn.hpp>      // for co_spawn
#include <boost/asio/detached.hpp>      // for detached
#include <boost/asio/use_awaitable.hpp> // for use_awaitable

#include "../forward/decision_log.hpp" // for DecisionLog
#include "follow.hpp"                  // for JitteredRetryDelay

namespace jujubehead::node {
namespace {

namespace asio = boost::asio;

/// The crashes of all requests at one target are reported together.
constexpr core::Duration kBatchTime = std::chrono::milliseconds(5);
/// Interval of the check for crashes that are forgotten.
constexpr core::Duration kCheckInterval = std::chrono::seconds(5);

} // namespace

CrashRecorder::CrashRecorder(asio::io_context& aContext,
                             CrashRows& aRows,
                             std::string aInstance,
                             const core::RemoteClock& aStoreClock,
                             CrashRecorderHooks aHooks)
  : m_context(aContext)
  , m_rows(aRows)
  , m_instance(std::move(aInstance))
  , m_hooks(std::move(aHooks))
  , m_records(aStoreClock)
  , m_timer(aContext)
{
}

void
CrashRecorder::Start()
{
  asio::co_spawn(m_context, Run(), asio::detached);
}

void
CrashRecorder::OnOwnReport(const core::PoisonReport& aReport)
{
  if (const auto* const crash = std::get_if<core::CrashReport>(&aReport)) {
    m_records.OnCrash(*crash);
    m_timer.cancel();
  } else {
    OnCompletion(std::get<core::CompletionReport>(aReport));
  }
}

void
CrashRecorder::OnOthersReports(const std::vector<core::PoisonReport>& aReports)
{
  for (const core::PoisonReport& report : aReports) {
    if (const auto* const one = std::get_if<core::CompletionReport>(&report)) {
      OnCompletion(*one);
    }
  }
}

void
CrashRecorder::OnCompletion(const core::CompletionReport& aReport)
{
  const core::Instant due = m_records.NextWriteAt();
  m_records.OnCompletion(aReport, core::RuntimeClock::now());
  if (m_records.NextWriteAt() != due) {
    m_timer.cancel();
  }
}

asio::awaitable<void>
CrashRecorder::Run()
{
  constexpr auto kTuple = asio::as_tuple(asio::use_awaitable);
  co_await Read();
  for (;;) {
    const core::Instant due = std::min(
      m_records.NextWriteAt(), core::RuntimeClock::now() + kCheckInterval);
    if (due > core::RuntimeClock::now()) {
      m_timer.expires_at(due);
      co_await m_timer.async_wait(kTuple);
    }
    co_await net::Sleep(kBatchTime);
    if (auto write = m_records.TakeWrite(core::RuntimeClock::now())) {
      const bool is_written = co_await Write(std::move(*write));
      if (!is_written) {
        m_records.OnWriteFailed();
        const core::Duration pause = JitteredRetryDelay();
        co_await net::Sleep(pause);
        co_await Read();
      }
    }
    co_await RemoveExpired();
  }
}

asio::awaitable<void>
CrashRecorder::Read()
{
  bool is_lost = false;
  for (;;) {
    try {
      const std::vector<SharedRow> rows = co_await m_rows.ReadAll();
      ApplyRows(rows);
      co_return;
    } catch (const PlatformError& error) {
      if (!is_lost) {
        DecisionLog::WriteUnthrottled(
          LogLine("crash_rows_unread").Add("why", error.what()));
      }
      is_lost = true;
    }
    const core::Duration pause = JitteredRetryDelay();
    co_await net::Sleep(pause);
  }
}

void
CrashRecorder::ApplyRows(const std::vector<SharedRow>& aRows)
{
  const core::Instant now = core::RuntimeClock::now();
  std::vector<core::PoisonReport> all;
  std::vector<core::CrashReport> own;
  std::uint64_t own_version = 0;
  m_expired.clear();
  for (const SharedRow& row : aRows) {
    const auto crashes = m_records.Parse(row.value.value_or(""), now);
    all.insert(all.end(), crashes.begin(), crashes.end());
    if (row.key == m_instance) {
      own = crashes;
      own_version = row.version;
    } else if (crashes.empty()) {
      m_expired.push_back(row);
    }
  }
  if (!m_is_first_read) {
    m_records.OnVersion(own_version);
    return; // Others have reported theirs since.
  }
  m_is_first_read = false;
  m_records.OnOwnRow(own_version, std::move(own));
  if (!all.empty()) {
    DecisionLog::WriteUnthrottled(
      LogLine("crash_rows_read").Add("crashes", std::uint64_t(all.size())));
    m_hooks.on_read(std::move(all));
  }
}

asio::awaitable<bool>
CrashRecorder::Write(core::CrashRowWrite aWrite)
{
  std::string why = "the row had changed";
  try {
    const bool is_removal = !aWrite.value;
    const auto version = co_await m_rows.Put(
      m_instance, std::move(aWrite.value), aWrite.expected_version);
    if (version) {
      m_records.OnVersion(is_removal ? 0 : *version);
      co_return true;
    }
  } catch (const PlatformError& error) {
    why = error.what();
  }
  DecisionLog::WriteUnthrottled(
    LogLine("crash_rows_unwritten").Add("why", why));
  co_return false;
}

asio::awaitable<void>
CrashRecorder::RemoveExpired()
{
  const std::vector<SharedRow> expired = std::exchange(m_expired, {});
  for (const SharedRow& row : expired) {
    if (m_hooks.rank(row.key) != 0) {
      continue;
    }
    try {
      co_await m_rows.Put(row.key, std::nullopt, row.version);
    } catch (const PlatformError& error) {
      DecisionLog::WriteUnthrottled(LogLine("crash_rows_unwritten")
                                      .Add("instance", row.key)
                                      .Add("why", error.what()));
    }
  }
}

} // namespace jujubehead::node
