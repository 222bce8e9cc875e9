// Model servers and a store of KV cache, as PROTOCOL.md tells them: servers
// that queue by priority, keep parts of prompts, fetch parts from the store and
// save them there; a managed store that never drops a part by itself.
#ifndef REVIEW2_ENGINE_HPP
#define REVIEW2_ENGINE_HPP

#include <algorithm>
#include <deque>
#include <tuple>

#include "platform.hpp"

namespace review {

using PartName = std::pair<std::string, std::string>; ///< Salt and ID.

inline std::vector<std::string>
Split(const std::string& aText, char aMark)
{
  std::vector<std::string> words;
  std::size_t at = 0;
  while (!aText.empty() && at <= aText.size()) {
    const std::size_t end = std::min(aText.find(aMark, at), aText.size());
    std::string word = aText.substr(at, end - at);
    while (!word.empty() && word.front() == ' ') {
      word.erase(0, 1);
    }
    words.push_back(word);
    at = end + 1;
  }
  return words;
}

/// Figures of the site cascadia-status: of the servers `scribe` and of the
/// stores `memo-b`.
struct EngineFigures
{
  double token_bytes = 163840;
  double store_mbps = 170000;
  std::int64_t first_ms = 6;
  long store_tokens = 1192065;
  int slots = 64;
  long kv_tokens = 45122;
  double prefill_per_ms = 38.1;
  double step_ms = 4.43;
  double step_ms_per_slot = 0.0194;
};

enum class Fetched
{
  kMiss,
  kWhole,
  kNotWhole, ///< Being written when the transfer began.
};

class KvStore
{
public:
  KvStore(std::string aName, std::string aZone, EngineFigures aFigures)
    : name(std::move(aName))
    , zone(std::move(aZone))
    , m_figures(aFigures)
    , m_server([this](Conn& aConn, Message& aRequest) {
      return Handle(aConn, aRequest);
    })
  {
  }

  const std::string name, zone;
  std::string Address() const { return m_server.Address(); }

  /// The store ends, loses all, and is back at its address.
  void Restart(std::int64_t aDownMs)
  {
    {
      const std::lock_guard lock(m_mutex);
      m_is_up = false;
      ++m_epoch;
      m_parts.clear();
      m_events.clear();
      m_used = 0;
      m_in_free = m_out_free = 0;
    }
    m_server.Stop();
    SleepMs(aDownMs);
    {
      const std::lock_guard lock(m_mutex);
      m_is_up = true;
    }
    m_server.Listen();
  }

  /// @param aTenant set to the tenant whose request made the part.
  Fetched Fetch(const PartName& aPart,
                long aTokens,
                bool aIsFar,
                std::string& aTenant)
  {
    std::unique_lock lock(m_mutex);
    if (!m_is_up) {
      lock.unlock();
      SleepMs(300);
      return Fetched::kMiss;
    }
    const std::uint64_t epoch = m_epoch;
    if (m_parts.count(aPart) == 0) {
      lock.unlock();
      SleepMs(1);
      return Fetched::kMiss;
    }
    const double now = double(NowMs());
    const double begin = std::max(now, m_out_free);
    if (begin - now > 2000) {
      return Fetched::kMiss;
    }
    const double took = TransferMs(aTokens, aIsFar);
    m_out_free = begin + took;
    lock.unlock();
    SleepUntilMs(std::int64_t(begin) + m_figures.first_ms);
    lock.lock();
    auto found = m_parts.find(aPart);
    if (m_epoch != epoch || found == m_parts.end()) {
      return Fetched::kMiss;
    }
    const bool is_whole = found->second.is_whole;
    aTenant = found->second.tenant;
    lock.unlock();
    SleepUntilMs(std::int64_t(begin + took) + m_figures.first_ms);
    lock.lock();
    if (m_epoch != epoch || m_parts.count(aPart) == 0) {
      return Fetched::kMiss;
    }
    return is_whole ? Fetched::kWhole : Fetched::kNotWhole;
  }

  /// @return whether the part is whole there now because of this call.
  bool Save(const PartName& aPart,
            long aTokens,
            bool aIsFar,
            const std::string& aTenant,
            const std::function<void()>& aOnReserved)
  {
    std::unique_lock lock(m_mutex);
    const double now = double(NowMs());
    const double begin = std::max(now, m_in_free);
    if (!m_is_up || m_parts.count(aPart) != 0 || begin - now > 2000 ||
        m_used + aTokens > m_figures.store_tokens) {
      return false; // Lost.
    }
    const std::uint64_t epoch = m_epoch;
    const double took = TransferMs(aTokens, aIsFar);
    m_in_free = begin + took;
    m_parts[aPart] = { aTokens, false, aTenant };
    m_used += aTokens;
    lock.unlock();
    aOnReserved();
    SleepUntilMs(std::int64_t(begin + took) + m_figures.first_ms);
    lock.lock();
    const auto found = m_parts.find(aPart);
    if (m_epoch != epoch || found == m_parts.end()) {
      return false;
    }
    found->second.is_whole = true;
    AddEvent("+", aPart, aTokens);
    return true;
  }

private:
  struct Part
  {
    long tokens = 0;
    bool is_whole = false;
    std::string tenant; ///< Whose request made it.
  };
  struct Event
  {
    json text;
    std::int64_t visible = 0;
  };

  double TransferMs(long aTokens, bool aIsFar) const
  {
    return double(aTokens) * m_figures.token_bytes /
           (m_figures.store_mbps * 125) * (aIsFar ? 2 : 1);
  }
  void AddEvent(const char* aSign, const PartName& aPart, long aTokens)
  {
    m_events.push_back({ json::array({ m_events.size() + 1,
                                       aSign,
                                       aPart.first,
                                       aPart.second,
                                       aTokens,
                                       "m0" }),
                         NowMs() + 60 });
  }
  bool Handle(Conn& aConn, Message& aRequest)
  {
    std::unique_lock lock(m_mutex);
    json answer = json::object();
    int status = 200;
    if (aRequest.path == "/kv-events") {
      const std::size_t since = std::stoul("0" + aRequest.Query("since"));
      const std::string wait = aRequest.Header("Wait-Ms");
      const std::int64_t until =
        NowMs() + std::min<std::int64_t>(1000, std::stoll("0" + wait));
      const std::uint64_t epoch = m_epoch;
      const auto visible = [&] {
        std::size_t count = 0;
        while (count < m_events.size() && m_events[count].visible <= NowMs()) {
          ++count;
        }
        return count;
      };
      while (m_epoch == epoch && visible() <= since && NowMs() < until) {
        lock.unlock();
        SleepMs(4);
        lock.lock();
      }
      json events = json::array();
      const std::size_t count = visible();
      for (std::size_t i = since; i < count; ++i) {
        events.push_back(m_events[i].text);
      }
      answer = { { "boot_epoch", 77000 + m_epoch },
                 { "next", count },
                 { "lost", false },
                 { "clock_ms", NowMs() + 900000 },
                 { "events", events } };
    } else if (aRequest.path == "/kv-free") {
      const json order = json::parse(aRequest.body);
      if (order.value("boot_epoch", 77000 + m_epoch) != 77000 + m_epoch) {
        status = 409;
      } else {
        for (const json& one : order.at("parts")) {
          const PartName part{ one.at(0), one.at(1) };
          const auto found = m_parts.find(part);
          if (found != m_parts.end()) {
            m_used -= found->second.tokens;
            m_parts.erase(found);
            AddEvent("-", part, 0);
          }
        }
      }
    } else {
      status = 404;
    }
    lock.unlock();
    return aConn.Reply(
      status, "Content-Type: application/json\r\n", answer.dump());
  }

  EngineFigures m_figures;
  std::mutex m_mutex;
  bool m_is_up = true;
  std::uint64_t m_epoch = 1;
  long m_used = 0;
  std::map<PartName, Part> m_parts;
  std::deque<Event> m_events;
  double m_in_free = 0, m_out_free = 0; ///< When each way of the link is free.
  Server m_server;
};

/// What a case hears of a server.
struct EngineHooks
{
  std::function<void(const std::string&)> on_line = [](const std::string&) {};
  std::function<void(const Message&, const PartName&)> on_not_whole =
    [](const Message&, const PartName&) {};
  std::function<void(const Message&, const std::string&)> on_run =
    [](const Message&, const std::string&) {}; ///< A server runs a request.
  /// A request uses a part that the request of a tenant has made.
  std::function<void(const Message&, const PartName&, const std::string&)>
    on_use = [](const Message&, const PartName&, const std::string&) {};
};

class Engine
{
public:
  Engine(std::string aId,
         std::string aZone,
         EngineFigures aFigures,
         std::vector<KvStore*> aStores,
         EngineHooks aHooks)
    : id(std::move(aId))
    , zone(std::move(aZone))
    , m_figures(aFigures)
    , m_stores(std::move(aStores))
    , m_hooks(std::move(aHooks))
    , m_server([this](Conn& aConn, Message& aRequest) {
      return Handle(aConn, aRequest);
    })
  {
  }

  const std::string id, zone;
  std::string Address() const { return m_server.Address(); }
  json Entry(const std::string& aService) const
  {
    return { { "service", aService },
             { "address", Address() },
             { "zone", zone },
             { "version", "v1" },
             { "slots", m_figures.slots },
             { "state", "ready" },
             { "cold_remaining_ms", 0 },
             { "stage", "both" },
             { "models",
               json::array({ { { "name", "m0" },
                               { "version", 1 },
                               { "adapters", json::array() } } }) } };
  }
  int Waiting()
  {
    const std::lock_guard lock(m_mutex);
    return int(m_waiting.size());
  }

private:
  struct Kept
  {
    long tokens = 0;
    std::int64_t used = 0;
    int runs = 0;       ///< That use it now.
    std::string tenant; ///< Whose request made it.
  };
  struct PromptPart
  {
    PartName name;
    long tokens = 0;
    KvStore* from = nullptr;
    KvStore* to = nullptr;
  };

  std::string LoadLine()
  {
    return "X-Server-Load: " + std::to_string(m_running) + "," +
           std::to_string(m_waiting.size()) + "," +
           std::to_string(m_figures.slots) + "\r\nX-Weight-Versions: 1\r\n";
  }
  KvStore* StoreAt(const std::string& aAddress) const
  {
    const std::string address = aAddress.substr(0, aAddress.find('/'));
    for (KvStore* one : m_stores) {
      if (one->Address() == address) {
        return one;
      }
    }
    return nullptr;
  }
  bool Refuse(Conn& aConn, int aStatus, const Message& aRequest)
  {
    std::string load;
    {
      const std::lock_guard lock(m_mutex);
      load = LoadLine();
    }
    return aConn.Reply(aStatus,
                       "X-Attempt-Id: " + aRequest.Header("X-Attempt-Id") +
                         "\r\nX-Not-Executed: 1\r\nX-Instance-Id: " + id +
                         "\r\n" + load,
                       "");
  }
  bool Handle(Conn& aConn, Message& aRequest)
  {
    if (aRequest.path == "/report") {
      const std::lock_guard lock(m_mutex);
      const json report = {
        { "stage", "both" },
        { "busy", false },
        { "sequence", 0 },
        { "models", json::array({ { { "name", "m0" }, { "version", 1 } } }) },
        { "queued", m_waiting.size() },
        { "active", m_running }
      };
      return aConn.Reply(
        200, "Content-Type: application/json\r\n", report.dump());
    }
    if (aRequest.Header("X-Expect-Instance") != id) {
      return Refuse(aConn, 421, aRequest);
    }
    const std::string version = aRequest.Header("X-Expect-Version");
    if (!version.empty() && version != "1") {
      return Refuse(aConn, 421, aRequest);
    }
    return Run(aConn, aRequest);
  }

  std::vector<PromptPart> PartsOf(const Message& aRequest) const
  {
    const std::string salt = aRequest.Header("X-Cache-Salt");
    const auto from = Split(aRequest.Header("X-Kv-Fetch"), ',');
    const auto to = Split(aRequest.Header("X-Kv-Save"), ',');
    std::vector<PromptPart> parts;
    for (const std::string& one :
         Split(aRequest.Header("X-Prompt-Prefix"), ',')) {
      const std::size_t colon = one.find(':');
      PromptPart part;
      part.name = { salt, one.substr(0, colon) };
      part.tokens = std::stol(one.substr(colon + 1));
      const std::size_t i = parts.size();
      part.from = i < from.size() ? StoreAt(from[i]) : nullptr;
      part.to = i < to.size() ? StoreAt(to[i]) : nullptr;
      parts.push_back(part);
    }
    return parts;
  }

  /// Waits for a slot and memory. @return whether the request was admitted.
  bool Admit(Conn& aConn, const Message& aRequest, long aTokens)
  {
    const std::string text = aRequest.Header("X-Request-Priority");
    const std::pair<int, std::uint64_t> turn(text.empty() ? 5 : std::stoi(text),
                                             ++m_turns);
    std::unique_lock lock(m_mutex);
    m_waiting.insert(turn);
    for (;;) {
      if (*m_waiting.begin() == turn && m_running < m_figures.slots &&
          m_active + aTokens <= m_figures.kv_tokens) {
        m_waiting.erase(turn);
        ++m_running;
        m_active += aTokens;
        return true;
      }
      m_free.wait_for(lock, std::chrono::milliseconds(10));
      if (aConn.IsGone()) {
        m_waiting.erase(turn);
        return false;
      }
    }
  }
  void Leave(long aTokens)
  {
    const std::lock_guard lock(m_mutex);
    --m_running;
    m_active -= aTokens;
    m_free.notify_all();
  }
  /// Parts that no run uses yield to what runs.
  void DropLeastUsed()
  {
    for (;;) {
      long kept = 0;
      auto oldest = m_kept.end();
      for (auto it = m_kept.begin(); it != m_kept.end(); ++it) {
        if (it->second.runs > 0) {
          continue;
        }
        kept += it->second.tokens;
        if (oldest == m_kept.end() || it->second.used < oldest->second.used) {
          oldest = it;
        }
      }
      if (oldest == m_kept.end() || m_active + kept <= m_figures.kv_tokens) {
        return;
      }
      m_kept.erase(oldest);
    }
  }

  bool Run(Conn& aConn, const Message& aRequest)
  {
    const std::vector<PromptPart> parts = PartsOf(aRequest);
    long tokens = 0;
    for (const PromptPart& one : parts) {
      tokens += one.tokens;
    }
    const auto usage = Split(aRequest.Header("X-Token-Usage"), ',');
    const long out = usage.size() > 1 ? std::stol(usage[1]) : 8;
    if (!Admit(aConn, aRequest, tokens + out)) {
      return false;
    }
    const bool is_kept = Answer(aConn, aRequest, parts, out);
    {
      const std::lock_guard lock(m_mutex);
      for (const PromptPart& one : parts) {
        const auto found = m_kept.find(one.name);
        if (found != m_kept.end()) {
          found->second.runs = std::max(0, found->second.runs - 1);
          found->second.used = NowMs();
        }
      }
    }
    Leave(tokens + out);
    return is_kept;
  }

  bool Answer(Conn& aConn,
              const Message& aRequest,
              const std::vector<PromptPart>& aParts,
              long aOut)
  {
    const std::string attempt = aRequest.Header("X-Attempt-Id");
    const std::string tenant = aRequest.Header("X-Tenant");
    const std::string until = aRequest.Header("X-Kv-Until");
    bool is_prefix = true; // All parts before are there.
    long to_read = 0;
    std::vector<PromptPart> read;
    std::string told;
    for (const PromptPart& one : aParts) {
      bool is_here = false;
      std::string maker;
      {
        const std::lock_guard lock(m_mutex);
        const auto found = m_kept.find(one.name);
        if (is_prefix && found != m_kept.end()) {
          is_here = true;
          maker = found->second.tenant;
          ++found->second.runs;
          told += " " + one.name.second + "=kept";
        }
      }
      if (is_here) {
        m_hooks.on_use(aRequest, one.name, maker);
        continue;
      }
      if (is_prefix && one.from != nullptr) {
        const Fetched got =
          one.from->Fetch(one.name, one.tokens, one.from->zone != zone, maker);
        const bool is_late =
          !until.empty() && NowMs() + 900000 > std::stoll(until);
        if (got != Fetched::kMiss && !is_late) {
          is_here = true;
          told += " " + one.name.second + "=fetched";
          if (got == Fetched::kNotWhole) {
            told += "(NOT WHOLE)";
            m_hooks.on_not_whole(aRequest, one.name);
          }
          Keep(one, maker);
          m_hooks.on_use(aRequest, one.name, maker);
        } else {
          told += " " + one.name.second + (is_late ? "=late" : "=missed");
        }
      }
      if (!is_here) {
        is_prefix = false;
        to_read += one.tokens;
        read.push_back(one);
      }
    }
    {
      // Prompts are read one after another.
      const std::lock_guard reading(m_reading);
      SleepMs(std::int64_t(double(to_read) / m_figures.prefill_per_ms));
    }
    for (const PromptPart& one : read) {
      told += " " + one.name.second + "=read";
      Keep(one, tenant);
      if (one.to != nullptr) {
        std::thread([one,
                     attempt,
                     tenant,
                     far = one.to->zone != zone,
                     on_line = m_hooks.on_line,
                     server = id] {
          const bool is_whole =
            one.to->Save(one.name, one.tokens, far, tenant, [&] {
              on_line("store " + one.to->name + ": " + one.name.second +
                      " is being written by " + server + " for " + attempt);
            });
          on_line("store " + one.to->name + ": " + one.name.second +
                  (is_whole ? " is whole" : " was not saved") + " for " +
                  attempt);
        }).detach();
      }
    }
    m_hooks.on_run(aRequest, id);
    m_hooks.on_line("server " + id + " runs " + attempt + " of tenant " +
                    (tenant.empty() ? "-" : tenant) + ":" + told);
    std::string load;
    int running;
    {
      const std::lock_guard lock(m_mutex);
      load = LoadLine();
      running = m_running;
    }
    const std::string last = aRequest.Header("Last-Event-Id");
    bool is_open = aConn.Write(
      "HTTP/1.1 200 OK\r\nX-Attempt-Id: " + attempt +
      "\r\nX-Response-Seal: seal." + id + "\r\n" + load +
      "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n");
    const double step =
      m_figures.step_ms + m_figures.step_ms_per_slot * running;
    const double begun = double(NowMs());
    const long first = std::stol("0" + last) + 1;
    for (long i = first; i <= aOut && is_open; ++i) {
      SleepUntilMs(std::int64_t(begun + step * double(i - first + 1)));
      if (i % 6 == 0 || i == aOut || i == first) {
        is_open = !aConn.IsGone() &&
                  aConn.WriteChunk("id: " + std::to_string(i) +
                                   "\ndata: " + std::to_string(i) + "\n\n");
      }
    }
    return is_open && aConn.Write("0\r\n\r\n");
  }
  void Keep(const PromptPart& aPart, const std::string& aTenant)
  {
    const std::lock_guard lock(m_mutex);
    Kept& kept = m_kept[aPart.name];
    if (kept.tokens == 0) {
      kept.tenant = aTenant;
    }
    kept.tokens = aPart.tokens;
    kept.used = NowMs();
    ++kept.runs;
    DropLeastUsed();
  }

  EngineFigures m_figures;
  std::vector<KvStore*> m_stores;
  EngineHooks m_hooks;
  std::mutex m_mutex, m_reading;
  std::condition_variable m_free;
  std::set<std::pair<int, std::uint64_t>> m_waiting;
  std::atomic<std::uint64_t> m_turns{ 0 };
  int m_running = 0;
  long m_active = 0;
  std::map<PartName, Kept> m_kept;
  Server m_server;
};

} // namespace review

#endif // REVIEW2_ENGINE_HPP
