#include "entry_control.hpp"

#include <algorithm> // for count_if, max
#include <random>    // for minstd_rand, uniform_real_distribution
#include <utility>   // for move

#include <boost/asio/co_spawn.hpp> // for co_spawn
#include <boost/asio/detached.hpp> // for detached
#include <boost/asio/post.hpp>     // for post

#include "jujubehead/core/membership/hub_timing.hpp" // for kHubReadWait

#include "follow.hpp" // for Follow

namespace jujubehead::node {
namespace {

namespace asio = boost::asio;

/// Pause between reads of the shared rows while no hub sends them.
constexpr core::Duration kUnsettledPause = std::chrono::milliseconds(2500);
/// Lets a hub, an instance of large capacity, take the lease for orders first.
constexpr core::Duration kFollowerLeaseDelay = std::chrono::milliseconds(500);
/// Interval of the check for lapsed registrations, whose limits are seconds.
constexpr core::Duration kTickInterval = std::chrono::milliseconds(400);
/// Batches the reports of many targets into one page; a third of the time in
/// which a leaving target may still receive requests.
constexpr core::Duration kRegistryPause = std::chrono::milliseconds(650);
constexpr core::Duration kRegistryWait = std::chrono::milliseconds(500);
/// Shared rows change with roll-outs only; a connection that hangs meanwhile
/// costs requests that targets refuse.
constexpr core::Duration kSharedWait = std::chrono::milliseconds(4000);
/// Batches the writes of a roll-out, two for each target and read by all
/// instances; half of the delay after which its orders are sent.
constexpr core::Duration kSharedPause = std::chrono::milliseconds(150);
/// Key prefix of the rows by which instances discover each other; the instance
/// id follows.
constexpr std::string_view kInstancePrefix = "instances/";
/// Check interval for those rows: a new instance is found within seconds.
constexpr core::Duration kInstanceRowsInterval = std::chrono::seconds(2);
/// Instances that start together spread the writes of their rows over this
/// time, as one partition of the store takes some 200 writes a second.
constexpr core::Duration kMinFirstRowDelay = std::chrono::milliseconds(100);
constexpr core::Duration kMaxFirstRowDelay = std::chrono::milliseconds(1100);
/// Time after a start until all instances that started with it have written
/// their rows.
constexpr core::Duration kRowsSettle = std::chrono::milliseconds(1600);

/// Time from the first sight of this instance's own row until it shares the
/// limits of targets: by then all others have read the row, and what they sent
/// without it has left the seconds over which a limit counts.
constexpr core::Duration kHolderDelay = std::chrono::seconds(10);

/// A view of the registry that is older may lack a version that others use.
constexpr core::Duration kRegistryTtl = std::chrono::seconds(3);

constexpr core::Duration kPoisonTickInterval = std::chrono::seconds(5);
/// Pause after a write of a quarantine's row that had no effect.
constexpr core::Duration kQuarantineRetry = std::chrono::seconds(2);

/// @return a random number from 0 to 1.
double
RandomShare()
{
  std::minstd_rand random{ std::random_device{}() };
  return std::uniform_real_distribution<>(0, 1)(random);
}

/// @return the delay of the first check of the instances' rows.
core::Duration
FirstRowDelay()
{
  const core::Duration spread = kMaxFirstRowDelay - kMinFirstRowDelay;
  return kMinFirstRowDelay +
         core::Duration(static_cast<core::Duration::rep>(
           RandomShare() * static_cast<double>(spread.count())));
}

void
LogSkippedRows(std::string_view aFeed, const std::vector<std::string>& aSkipped)
{
  for (const std::string& what : aSkipped) {
    DecisionLog::WriteUnthrottled(
      LogLine("row_left_out").Add("feed", aFeed).Add("why", what));
  }
}

} // namespace

EntryControl::EntryControl(asio::io_context& aContext,
                           const EntryOptions& aOptions,
                           Platform aPlatform,
                           core::StorePaths& aPaths,
                           Forwarder& aForwarder)
  : m_context(aContext)
  , m_options(aOptions)
  , m_platform(std::move(aPlatform))
  , m_paths(aPaths)
  , m_forwarder(aForwarder)
  , m_instances(core::KnownInstance{ aOptions.instance_id.Text(),
                                     aOptions.relay_address,
                                     aOptions.capacity,
                                     aOptions.data_centre,
                                     aOptions.tunnel_address })
  , m_role(aOptions.instance_id.Text())
  , m_share(core::FleetShareOptions{ aOptions.repeats.window })
  , m_book(aOptions.registry)
  , m_direct_read_share(RandomShare())
  , m_deadlines(aContext,
                aOptions,
                *m_platform.shared,
                m_platform.row_cache->StoreClock(),
                m_instances,
                MakeDeadlineHooks())
  , m_rollout(aContext,
              aOptions,
              *m_platform.shared,
              *m_platform.orders,
              m_platform.row_cache->StoreClock(),
              aForwarder)
  , m_reclaimer(aContext, *m_platform.stores, MakeReclaimerHooks())
  , m_stores(aContext, *m_platform.stores, m_role, MakeStoreHooks())
  , m_quarantines(m_platform.row_cache->StoreClock(),
                  aOptions.poison.quarantine_retention)
  , m_poison(aContext,
             m_role,
             [this](std::vector<core::PoisonReport> aReports) {
               m_crashes.OnOthersReports(aReports);
               m_forwarder.OnPoisonReports(std::move(aReports));
             })
  , m_crashes(aContext,
              *m_platform.crashes,
              aOptions.instance_id.Text(),
              m_platform.row_cache->StoreClock(),
              MakeCrashHooks())
  , m_streams(aContext, aOptions.instance_id.Text())
  , m_hubs(aContext,
           m_role,
           m_stores,
           *m_platform.row_cache,
           aPaths,
           m_poison,
           MakeHubHooks())
{
}

void
EntryControl::SetPoisonHooks()
{
  Forwarder::PoisonHooks hooks;
  hooks.on_report = [this](const core::PoisonReport& aReport) {
    asio::post(m_context, [this, aReport] {
      m_poison.Report(aReport);
      m_crashes.OnOwnReport(aReport);
    });
  };
  hooks.on_quarantine = [this](const core::Quarantine& aQuarantine) {
    asio::post(m_context, [this, aQuarantine] {
      m_quarantines.OnQuarantine(aQuarantine, core::RuntimeClock::now());
    });
  };
  hooks.claim_probe = [this](const core::Quarantine& aNext, ProbeReply aReply) {
    asio::co_spawn(
      m_context, ClaimProbe(aNext, std::move(aReply)), asio::detached);
  };
  m_forwarder.SetPoisonHooks(std::move(hooks));
}

void
EntryControl::SetStreamHooks()
{
  Forwarder::StreamHooks hooks;
  hooks.on_streams = [this](std::vector<core::StreamOrigin> aOrigins) {
    asio::post(m_context, [this, origins = std::move(aOrigins)] {
      m_streams.Report(origins);
    });
  };
  hooks.find_stream = [this](core::StreamKey aStream,
                             const core::ServiceId& aService,
                             VersionReply aReply) {
    asio::co_spawn(m_context,
                   FindStream(aStream, aService, std::move(aReply)),
                   asio::detached);
  };
  m_forwarder.SetStreamHooks(std::move(hooks));
}

asio::awaitable<void>
EntryControl::FindStream(core::StreamKey aStream,
                         core::ServiceId aService,
                         VersionReply aReply)
{
  UpdateSoleVersions();
  const auto version = co_await m_streams.Find(aStream, std::move(aService));
  aReply(version);
}

void
EntryControl::UpdateSoleVersions()
{
  const core::Instant now = core::RuntimeClock::now();
  core::SoleVersions sole;
  if (m_configuration) {
    core::Duration timeout{};
    for (const core::Route& route : m_configuration->All().routes) {
      timeout = std::max(timeout, route.timeout);
    }
    m_stream_lifetime.SetTimeout(timeout, now);
  }
  const core::Duration longest = m_stream_lifetime.Longest(now);
  if (m_configuration && now - m_registry_contact <= kRegistryTtl) {
    sole = m_software.Sole(longest, now);
  }
  if (sole == m_sole) {
    return;
  }
  m_sole = sole;
  m_streams.SetSole(sole);
  m_forwarder.SetSoleVersions(std::move(sole), longest);
}

StoreWatchHooks
EntryControl::MakeStoreHooks()
{
  StoreWatchHooks hooks;
  hooks.on_pages = [this](std::vector<core::StorePage> aPages) {
    for (const core::StorePage& one : aPages) {
      m_reclaimer.OnPage(one.store, one.page, one.as_of);
    }
    m_forwarder.OnPartEvents(std::move(aPages));
  };
  hooks.on_failure = [this](const core::StoreId& aStore) {
    m_reclaimer.OnNoResponse(aStore);
    m_forwarder.OnStoreUnreachable(aStore);
  };
  return hooks;
}

BlockReclaimerHooks
EntryControl::MakeReclaimerHooks()
{
  BlockReclaimerHooks hooks;
  hooks.rank = [this](const core::StoreId& aStore) {
    return RankFor(aStore.View());
  };
  hooks.on_unused = [this](core::SupersededScopes aScopes) {
    m_stores.Forget(aScopes);
    m_forwarder.DropParts(std::move(aScopes));
  };
  return hooks;
}

WeightsDeadlinesHooks
EntryControl::MakeDeadlineHooks()
{
  WeightsDeadlinesHooks hooks;
  hooks.on_newer_version = [this](const WantedByModel& aWanted) {
    m_forwarder.SetWantedWeights(aWanted);
    m_rollout.SetWanted(aWanted);
    m_reclaimer.SetWanted(aWanted);
  };
  hooks.on_deadlines_changed = [this](const WantedByModel& aWanted) {
    m_forwarder.SetWantedWeights(aWanted);
    m_rollout.SetDeadlines(aWanted);
  };
  return hooks;
}

CrashRecorderHooks
EntryControl::MakeCrashHooks()
{
  CrashRecorderHooks hooks;
  hooks.on_read = [this](std::vector<core::PoisonReport> aReports) {
    m_forwarder.OnPoisonReports(std::move(aReports));
  };
  hooks.rank = [this](std::string_view aKey) { return RankFor(aKey); };
  return hooks;
}

std::size_t
EntryControl::RankFor(std::string_view aKey) const
{
  return core::RankOf(m_instances.All(), m_options.instance_id.View(), aKey);
}

HubHooks
EntryControl::MakeHubHooks()
{
  HubHooks hooks;
  hooks.on_synced = [this](core::Instant aAsOf) {
    m_registry_contact = std::max(m_registry_contact, aAsOf);
    m_operator_contact = std::max(m_operator_contact, aAsOf);
    m_forwarder.OnOperatorContact(aAsOf);
  };
  hooks.exchange_loads =
    [this](std::vector<core::TargetLoadReport> aReported,
           std::function<void(std::vector<core::TargetLoadReport>)> aReply) {
      m_forwarder.ExchangeLoads(
        std::move(aReported),
        [this,
         reply = std::move(aReply)](std::vector<core::TargetLoadReport> aOwn) {
          asio::post(m_context, [reply, own = std::move(aOwn)]() mutable {
            reply(std::move(own));
          });
        });
    };
  hooks.apply_reports = [this](std::vector<core::TargetLoadReport> aReports) {
    m_forwarder.ApplyReports(std::move(aReports));
  };
  return hooks;
}

void
EntryControl::Start()
{
  m_role.OnStart(core::RuntimeClock::now());
  SetPoisonHooks();
  SetStreamHooks();
  m_forwarder.SetSignalHook([this](const core::TargetLoadReport& aReport) {
    asio::post(m_context, [this, aReport] { m_hubs.ReportSignal(aReport); });
  });
  FollowHooks<OperatorUpdate> operators;
  operators.on_update = [this](const OperatorUpdate& aUpdate, bool aIsAll) {
    OnOperatorUpdate(aUpdate, aIsAll);
  };
  operators.on_failure = [this](PlatformFault aFault) {
    if (IsOutage(aFault)) {
      m_deadlines.OnOperatorFailure();
    }
  };
  FollowOptions operator_options;
  operator_options.name = "operator";
  operator_options.timing = [this] {
    return ReadsForOthers() ? FollowTiming{ core::kHubReadWait, {} }
                            : FollowTiming();
  };
  operator_options.may_read_all = [this] { return MayReadAll(); };
  // Without a settling pause: deadlines count from when a change was first
  // received.
  asio::co_spawn(m_context,
                 Follow(*m_platform.operators, operator_options, operators),
                 asio::detached);
  FollowHooks<RegistryUpdate> registry;
  registry.on_update = [this](const RegistryUpdate& aUpdate, bool aIsAll) {
    OnRegistryUpdate(aUpdate, aIsAll);
  };
  registry.on_failure = [this](PlatformFault aFault) {
    if (IsOutage(aFault)) {
      m_book.OnNoResponse();
    }
  };
  FollowOptions registry_options;
  registry_options.name = "registry";
  registry_options.may_read_all = [this] { return MayReadAll(); };
  registry_options.timing = [this] {
    return ReadsForOthers()
             ? FollowTiming{ core::kHubRegistryWait, core::kHubRegistryPause }
             : FollowTiming{ kRegistryWait, kRegistryPause };
  };
  registry_options.settle = core::kHubSettleTime;
  registry_options.is_settled = [this] { return IsSettled(); };
  asio::co_spawn(m_context,
                 Follow(*m_platform.registry, registry_options, registry),
                 asio::detached);
  FollowHooks<SharedUpdate> shared;
  shared.on_update = [this](const SharedUpdate& aUpdate, bool aIsAll) {
    OnSharedUpdate(aUpdate, aIsAll);
  };
  shared.on_failure = [this](PlatformFault) { m_has_shared_failed = true; };
  FollowOptions shared_options;
  shared_options.name = "shared";
  shared_options.timing = [] {
    return FollowTiming{ kSharedWait, kSharedPause };
  };
  shared_options.settle = kRowsSettle;
  shared_options.is_settled = [this] { return IsSettled(); };
  shared_options.unsettled_pause = kUnsettledPause;
  asio::co_spawn(
    m_context,
    Follow<SharedUpdate>(*m_platform.shared, shared_options, shared),
    asio::detached);
  asio::co_spawn(m_context, TickRegistry(), asio::detached);
  if (!m_options.relay_address.empty()) {
    SetInstances();
    asio::co_spawn(m_context, MaintainInstanceRows(), asio::detached);
    m_hubs.Start();
  }
  m_deadlines.Start();
  m_rollout.Start();
  m_reclaimer.Start();
  m_crashes.Start();
}

bool
EntryControl::IsSettled() const
{
  const core::Instant now = core::RuntimeClock::now();
  return m_role.Watches(now) || m_paths.HasHubFeed(now);
}

bool
EntryControl::ReadsForOthers() const
{
  return m_role.HasFollowers() &&
         !m_paths.HasHubFeed(core::RuntimeClock::now());
}

bool
EntryControl::MayReadAll() const
{
  const bool is_alone = m_has_shared_failed && m_role.Known() <= 1;
  return m_options.relay_address.empty() || is_alone || IsSettled() ||
         m_role.MayReadDirectly(core::RuntimeClock::now(), m_direct_read_share);
}

bool
EntryControl::IsReady() const
{
  return m_configuration != nullptr && m_registry_read;
}

asio::awaitable<bool>
EntryControl::HandleInstance(net::HttpExchange& aExchange)
{
  const std::string_view path = aExchange.Request().Path();
  if (path == kHubUpdatesPath) {
    co_await m_hubs.Handle(aExchange);
  } else if (path == kHubLoadsPath) {
    co_await m_hubs.HandleLoads(aExchange);
  } else if (path == kPoisonReportsPath) {
    co_await m_poison.Handle(aExchange);
  } else if (path == kStreamOriginsPath) {
    co_await m_streams.HandleReport(aExchange);
  } else if (path == kStreamOriginPath) {
    UpdateSoleVersions();
    co_await m_streams.HandleFind(aExchange);
  } else {
    co_return false;
  }
  co_return true;
}

std::uint64_t
EntryControl::ConfigurationVersion() const
{
  return m_configuration ? m_configuration->Version() : 0;
}

void
EntryControl::OnOperatorUpdate(const OperatorUpdate& aUpdate, bool aIsAll)
{
  m_operator_cursor = aUpdate.cursor;
  LogSkippedRows("operator", aUpdate.skipped_rows);
  if (!aUpdate.is_from_cache) {
    m_operator_contact = std::max(m_operator_contact, aUpdate.answered_at);
    m_forwarder.OnOperatorContact(aUpdate.answered_at);
  }
  if (aUpdate.declarations &&
      aUpdate.declarations->version > ConfigurationVersion()) {
    m_configuration =
      std::make_shared<const core::Configuration>(*aUpdate.declarations);
    DecisionLog::WriteUnthrottled(
      LogLine("configuration_in_force")
        .Add("version", m_configuration->Version())
        .Add("routes", std::uint64_t(m_configuration->All().routes.size()))
        .Add("accounts",
             std::uint64_t(m_configuration->All().accounts.size())));
    m_forwarder.SetConfiguration(m_configuration);
    m_reclaimer.SetStores(m_configuration->All().stores);
    m_stores.SetStores(m_configuration->All().stores);
  }
  ApplyStops(aUpdate, aIsAll);
  m_deadlines.OnOperatorUpdate(aUpdate, aIsAll);
}

void
EntryControl::ApplyStops(const OperatorUpdate& aUpdate, bool aIsAll)
{
  const core::Instant now = core::RuntimeClock::now();
  const core::DataCentreStopUpdate update =
    aIsAll ? m_stops.Replace(aUpdate.stops, now)
           : m_stops.Apply(aUpdate.stops, now);
  if (update.IsEmpty()) {
    return;
  }
  for (const core::DataCentreId& data_centre : update.begun) {
    LogStop("data_centre_stop_begun", data_centre);
  }
  for (const core::DataCentreId& data_centre : update.ended) {
    LogStop("data_centre_stop_ended", data_centre);
  }
  m_forwarder.SetStoppedDataCentres(m_stops.Names(), update.ended);
}

void
EntryControl::LogStop(std::string_view aEvent,
                      const core::DataCentreId& aDataCentre) const
{
  const auto targets = m_book.Targets();
  const auto count =
    std::count_if(targets.begin(), targets.end(), [&](const auto& aTarget) {
      return aTarget.data_centre == aDataCentre;
    });
  const bool is_known = count != 0 || aDataCentre == m_options.data_centre ||
                        m_options.regions.contains(aDataCentre);
  DecisionLog::WriteUnthrottled(LogLine(aEvent)
                                  .Add("data_centre", aDataCentre.View())
                                  .Add("known", is_known ? "yes" : "no")
                                  .Add("targets", std::uint64_t(count)));
}

void
EntryControl::OnRegistryUpdate(const RegistryUpdate& aUpdate, bool aIsAll)
{
  m_registry_cursor = aUpdate.cursor;
  LogSkippedRows("registry", aUpdate.skipped_rows);
  const core::Instant now = core::RuntimeClock::now();
  if (!aUpdate.is_from_cache) {
    m_registry_contact = std::max(m_registry_contact, aUpdate.answered_at);
    m_book.OnAnswer(now);
  }
  if (aIsAll) {
    std::vector<core::RegisteredTarget> all;
    for (const core::RegistrationChange& change : aUpdate.changes) {
      if (change.target) {
        all.push_back(*change.target);
      }
    }
    m_book.Replace(all, now);
  } else {
    m_book.Apply(aUpdate.changes, now);
  }
  m_registry_read = true;
  PublishTargets();
}

void
EntryControl::OnSharedUpdate(const SharedUpdate& aUpdate, bool aIsAll)
{
  m_deadlines.OnSharedUpdate(aUpdate, aIsAll);
  m_rollout.OnSharedUpdate(aUpdate, aIsAll);
  bool has_instance_rows = aIsAll;
  if (aIsAll) {
    m_instances.BeginAll();
    m_quarantines.BeginAll(core::RuntimeClock::now());
  }
  for (const SharedRow& row : aUpdate.rows) {
    if (core::QuarantineRecords::IsKey(row.key)) {
      OnQuarantineRow(row);
    }
    if (row.key.starts_with(kInstancePrefix)) {
      has_instance_rows = true;
      m_instances.OnRow(row.key.substr(kInstancePrefix.size()),
                        row.value,
                        row.version,
                        core::RuntimeClock::now());
    }
  }
  if (aIsAll) {
    m_instances.EndAll();
    m_role.OnAllRows(m_instances.HasOwnRow());
  }
  // Rows of a roll-out change far more often than those of instances.
  if (has_instance_rows) {
    SetInstances();
  }
  m_has_shared_rows |= aIsAll;
}

void
EntryControl::SetInstances()
{
  if (m_options.relay_address.empty()) {
    return;
  }
  std::vector<std::string> addresses;
  for (const core::KnownInstance& other : m_instances.Others()) {
    addresses.push_back(other.address);
  }
  for (const std::string& seed : m_options.relay_seeds) {
    if (seed != m_options.relay_address) {
      addresses.push_back(seed);
    }
  }
  m_paths.SetInstances(std::move(addresses));
  m_forwarder.SetInstances(m_instances.Others());
  m_streams.SetInstances(m_instances.All());
  UpdateHolders();
  m_role.Update(m_instances.All());
  m_rollout.SetLeaseDelay(m_role.Level() == core::HubLevel::kFollower
                            ? kFollowerLeaseDelay
                            : core::Duration(0));
}

void
EntryControl::UpdateHolders()
{
  const bool may_begin =
    m_holds_from == core::Instant::max() && m_instances.HasOwnRow();
  if (may_begin) {
    // A row that was there at the first read is of an earlier process.
    const core::Duration delay =
      m_has_shared_rows ? kHolderDelay : core::Duration(0);
    m_holds_from = core::RuntimeClock::now() + delay;
  }
  std::vector<std::string> ids;
  for (const core::KnownInstance& instance : m_instances.All()) {
    ids.push_back(instance.id);
  }
  if (ids == m_holders && !may_begin) {
    return;
  }
  m_holders = std::move(ids);
  m_forwarder.SetHolders(
    core::HolderRing(m_holders, m_options.instance_id.View()), m_holds_from);
}

void
EntryControl::UpdateShare()
{
  const core::Instant now = core::RuntimeClock::now();
  if (const auto as_of = m_platform.shared->CurrentAsOf()) {
    m_share.OnView(
      m_instances.RowCount(), m_instances.HasOwnRow(), *as_of, now);
  }
  const double share = m_share.At(now);
  if (share > 0) {
    m_forwarder.SetRetryShare(share, m_share.ValidUntil());
  }
}

asio::awaitable<void>
EntryControl::MaintainInstanceRows()
{
  core::Duration pause = FirstRowDelay();
  for (;;) {
    co_await net::Sleep(pause);
    pause = kInstanceRowsInterval;
    const auto write = m_instances.NextWrite(core::RuntimeClock::now());
    if (!write) {
      continue;
    }
    try {
      // The written row comes back with the next update.
      std::string key = std::string(kInstancePrefix) + write->id;
      co_await m_platform.shared->Put(
        std::move(key), write->value, write->expected_version);
    } catch (const PlatformError& error) {
      DecisionLog::WriteUnthrottled(LogLine("instance_row_unwritten")
                                      .Add("instance", write->id)
                                      .Add("why", error.what()));
    }
  }
}

void
EntryControl::OnQuarantineRow(const SharedRow& aRow)
{
  const auto quarantine = m_quarantines.OnRow(
    aRow.key, aRow.value, aRow.version, core::RuntimeClock::now());
  if (quarantine) {
    m_forwarder.OnRecordedQuarantine(*quarantine);
  }
}

void
EntryControl::UpdateQuarantines()
{
  const core::Instant now = core::RuntimeClock::now();
  if (now >= m_next_poison_tick) {
    m_next_poison_tick = now + kPoisonTickInterval;
    m_forwarder.TickPoison();
  }
  if (m_is_writing_quarantine) {
    return;
  }
  const auto rank_of = [this](std::string_view aKey) { return RankFor(aKey); };
  if (auto write = m_quarantines.NextWrite(rank_of, now)) {
    m_is_writing_quarantine = true;
    asio::co_spawn(
      m_context, WriteQuarantine(std::move(*write)), asio::detached);
  }
}

asio::awaitable<void>
EntryControl::WriteQuarantine(core::QuarantineRowWrite aWrite)
{
  core::Duration pause{};
  try {
    const auto version = co_await m_platform.shared->Put(
      aWrite.key, aWrite.value, aWrite.expected_version);
    if (version) {
      m_quarantines.OnRow(
        aWrite.key, aWrite.value, *version, core::RuntimeClock::now());
    } else {
      pause = kQuarantineRetry; // The changed row comes with the next update.
    }
  } catch (const PlatformError& error) {
    DecisionLog::WriteUnthrottled(
      LogLine("quarantine_unwritten")
        .Add("fingerprint", core::ToText(aWrite.fingerprint))
        .Add("why", error.what()));
    pause = kQuarantineRetry;
  }
  co_await net::Sleep(pause);
  m_is_writing_quarantine = false;
}

asio::awaitable<void>
EntryControl::ClaimProbe(core::Quarantine aNext, ProbeReply aReply)
{
  std::optional<core::Quarantine> begun;
  try {
    begun = co_await RecordNext(aNext);
  } catch (const PlatformError& error) {
    DecisionLog::WriteUnthrottled(
      LogLine("quarantine_unwritten")
        .Add("fingerprint", core::ToText(aNext.fingerprint))
        .Add("why", error.what()));
  }
  aReply(begun);
}

asio::awaitable<std::optional<core::Quarantine>>
EntryControl::RecordNext(core::Quarantine aNext)
{
  const auto write =
    m_quarantines.NextQuarantineWrite(aNext, core::RuntimeClock::now());
  if (!write) {
    co_return std::nullopt;
  }
  const auto version = co_await m_platform.shared->Put(
    write->key, write->value, write->expected_version);
  if (!version) {
    co_return std::nullopt; // The changed row comes with the next update.
  }
  co_return m_quarantines.OnRow(
    write->key, write->value, *version, core::RuntimeClock::now());
}

void
EntryControl::PublishTargets()
{
  std::vector<core::RegistrationChange> changes = m_book.TakeChanges();
  if (changes.empty()) {
    return;
  }
  DecisionLog::WriteUnthrottled(
    LogLine("targets_changed")
      .Add("targets", std::uint64_t(m_book.Size()))
      .Add("changed", std::uint64_t(changes.size()))
      .Add("leaving", std::uint64_t(m_book.LeavingCount()))
      .Add("lapsed", std::uint64_t(m_book.ExpiredCount())));
  m_software.Apply(changes, core::RuntimeClock::now());
  UpdateSoleVersions();
  m_rollout.ApplyTargets(changes);
  m_forwarder.ApplyTargets(std::move(changes));
}

asio::awaitable<void>
EntryControl::TickRegistry()
{
  for (;;) {
    co_await net::Sleep(kTickInterval);
    m_book.Tick(core::RuntimeClock::now());
    PublishTargets();
    UpdateSoleVersions();
    UpdateShare();
    UpdateQuarantines();
  }
}

} // namespace jujubehead::node
