#ifndef JUJUBEHEAD_STANDIN_EVENT_LOG_HPP
#define JUJUBEHEAD_STANDIN_EVENT_LOG_HPP

#include <algorithm>  // for upper_bound
#include <cstddef>    // for size_t
#include <cstdint>    // for int64_t, uint64_t
#include <deque>      // for deque
#include <functional> // for less
#include <iterator>   // for prev
#include <random>     // for mt19937_64
#include <utility>    // for move

#include <nlohmann/json.hpp> // for json

namespace jujubehead::standin {

/// Milliseconds since the epoch.
using EpochMs = std::int64_t;

/// @brief How late and how gappy events are.
struct EventOptions
{
  EpochMs lag_ms = 0;
  double gap = 0;            ///< Share of events that is never published.
  std::size_t kept = 100000; ///< Older ones are forgotten.
  std::uint64_t seed = 1;
};

/// @brief Numbered events that readers see late, some of them never.
class EventLog
{
public:
  explicit EventLog(EventOptions aOptions)
    : m_options(aOptions)
    , m_random(aOptions.seed)
  {
  }

  /// @brief Adds an event; its `seq` is set here, also when it is lost.
  void Add(EpochMs aNow, nlohmann::json aEvent)
  {
    aEvent["seq"] = ++m_last;
    if (std::uniform_real_distribution<>()(m_random) < m_options.gap) {
      return;
    }
    m_events.push_back({ m_last, aNow + m_options.lag_ms, std::move(aEvent) });
    if (m_events.size() > m_options.kept) {
      m_events.pop_front();
    }
  }

  /// @return `{"last","events"}` as a reader sees them now.
  [[nodiscard]] nlohmann::json After(std::uint64_t aSeq, EpochMs aNow) const
  {
    const auto end = std::ranges::upper_bound(
      m_events, aNow, std::ranges::less{}, &Event::visible_from);
    const auto begin = std::ranges::upper_bound(
      m_events.begin(), end, aSeq, std::ranges::less{}, &Event::seq);
    nlohmann::json events = nlohmann::json::array();
    for (auto event = begin; event != end; ++event) {
      events.push_back(event->body);
    }
    const std::uint64_t last =
      end == m_events.begin() ? 0 : std::prev(end)->seq;
    return { { "last", last }, { "events", std::move(events) } };
  }

private:
  struct Event
  {
    std::uint64_t seq = 0;
    EpochMs visible_from = 0;
    nlohmann::json body;
  };

  EventOptions m_options;
  std::mt19937_64 m_random;
  std::uint64_t m_last = 0;
  std::deque<Event> m_events;
};

} // namespace jujubehead::standin

#endif // JUJUBEHEAD_STANDIN_EVENT_LOG_HPP
