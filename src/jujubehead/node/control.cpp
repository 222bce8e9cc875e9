#include "jujubehead/node/control.hpp"

#include <boost/asio/detached.hpp> // for detached

#include "jujubehead/net/random_text.hpp"            // for RandomText
#include "jujubehead/net/timer.hpp"                  // for Sleep
#include "jujubehead/node/counted_table_service.hpp" // for CountCalls

namespace jujubehead::node {
namespace {

namespace asio = boost::asio;

constexpr core::Duration kMembersInterval = std::chrono::milliseconds(500);
constexpr std::size_t kTokenBytes = 9;
constexpr core::Duration kOwnerTick = std::chrono::milliseconds(50);
// Every instance's address is set on each reading, so links follow restarts.
constexpr core::Duration kMembersTimeout = std::chrono::seconds(2);

std::int64_t
EpochMilliseconds()
{
  return std::chrono::duration_cast<std::chrono::milliseconds>(
           std::chrono::system_clock::now().time_since_epoch())
    .count();
}

net::PeerLinksOptions
LinkOptions(const ServeOptions& aOptions)
{
  net::PeerLinksOptions links;
  links.self = aOptions.instance_id;
  links.address = aOptions.peer_address;
  links.port = aOptions.peer_port;
  links.secret = aOptions.peer_secret;
  links.tls = aOptions.peer_tls;
  return links;
}

} // namespace

std::unique_ptr<Control>
Control::Create(const ServeOptions& aOptions)
{
  return std::unique_ptr<Control>(new Control(aOptions));
}

Control::Control(const ServeOptions& aOptions)
  : m_options(aOptions)
  , m_metrics(Metrics::Create())
  , m_control_metrics(m_metrics->ForThread())
  , m_context(1)
  , m_work(m_context.get_executor())
  , m_client(net::HttpClient::Create(m_context))
  , m_member_list(
      net::MemberList::Create(*m_client, aOptions.members, kMembersTimeout))
  , m_table_service(
      CountCalls(net::TableService::Create(*m_client, aOptions.table_service),
                 m_control_metrics))
  , m_object_store(net::ObjectStore::Create(*m_client, aOptions.object_store))
  , m_log(net::TableLog::Create(*m_table_service, *m_object_store))
  , m_claims(
      net::ClaimStore::Create(m_context, *m_table_service, EpochMilliseconds))
  , m_peers(m_context, LinkOptions(aOptions))
  , m_table(*m_log, m_peers, m_members, [this] { OnTableChanged(); })
  , m_directory(m_peers, m_members)
  , m_owner(m_peers, m_members, m_table.View(), m_directory)
  , m_stores(m_peers, *m_client, m_members, m_directory, m_control_metrics)
  , m_ownership_store(net::OwnershipStore::Create(*m_table_service,
                                                  net::RandomText(kTokenBytes)))
  , m_ownership(m_peers,
                m_members,
                *m_ownership_store,
                m_owner,
                m_stores,
                aOptions.data_centre)
  , m_entry(m_peers, m_members, m_table.View(), m_ownership, m_directory)
  , m_target_watch(m_context, *m_client, m_members, m_owner)
{
  m_published.Set(m_table.View().Current());
  m_owner.SetMayAdmit([this](const core::TargetId& aTarget) {
    return m_ownership.MayAdmit(aTarget);
  });
  m_peers.SetHandler([this](core::InstanceId aFrom, wire::Message aMessage) {
    return OnMessage(std::move(aFrom), std::move(aMessage));
  });
}

Control::~Control()
{
  Stop();
}

void
Control::Start()
{
  asio::co_spawn(m_context, WatchMembers(), asio::detached);
  asio::co_spawn(m_context, m_table.Run(), asio::detached);
  asio::co_spawn(m_context, TickOwners(), asio::detached);
  asio::co_spawn(m_context, m_ownership.Run(), asio::detached);
  asio::co_spawn(m_context, m_target_watch.Run(), asio::detached);
  m_thread = std::thread([this] { m_context.run(); });
}

void
Control::Stop()
{
  if (!m_thread.joinable()) {
    return;
  }
  m_work.reset();
  m_context.stop();
  m_thread.join();
}

/// Takes each message to the service that it is for.
struct Control::Dispatch
{
  Control& self;
  const core::InstanceId& from;

  wire::Message operator()(const wire::QuoteRequest& aAsk) const
  {
    return self.m_owner.Quote(aAsk);
  }
  wire::Message operator()(const wire::PermitAcquire& aAsk) const
  {
    self.m_owner.OnAsk(from, aAsk);
    return wire::Ack{};
  }
  wire::Message operator()(const wire::PermitReply& aAnswer) const
  {
    self.m_entry.OnAnswer(aAnswer);
    return wire::Ack{};
  }
  wire::Message operator()(const wire::PermitWithdraw& aWithdraw) const
  {
    self.m_owner.OnWithdraw(aWithdraw);
    return wire::Ack{};
  }
  wire::Message operator()(const wire::PermitStarted& aStarted) const
  {
    self.m_owner.OnStarted(aStarted);
    return wire::Ack{};
  }
  wire::Message operator()(const wire::PermitRelease& aRelease) const
  {
    self.m_owner.OnRelease(aRelease);
    return wire::Ack{};
  }
  wire::Message operator()(const wire::HoldingsRequest& aAsk) const
  {
    return self.m_entry.Holdings(aAsk);
  }
  wire::Message operator()(const wire::HoldersRequest& aAsk) const
  {
    return self.m_directory.Answer(aAsk);
  }
  wire::Message operator()(const wire::TargetHint& aHint) const
  {
    self.m_directory.Learn(aHint);
    return wire::Ack{};
  }
  wire::Message operator()(const wire::StoreHint& aHint) const
  {
    self.m_directory.Learn(aHint);
    return wire::Ack{};
  }
  wire::Message operator()(const wire::TablePageRequest& aAsk) const
  {
    return self.m_table.Page(aAsk);
  }
  wire::Message operator()(const wire::TableHead& /*aHead*/) const
  {
    return self.m_table.Head();
  }
  wire::Message operator()(const wire::ExportOffer& aOffer) const
  {
    self.m_stores.OnOffer(aOffer);
    return wire::Ack{};
  }
  wire::Message operator()(const wire::CopyMissing& aMissing) const
  {
    self.m_stores.OnMissing(aMissing);
    return wire::Ack{};
  }
  wire::Message operator()(const wire::LinkQuoteRequest& aAsk) const
  {
    return self.m_stores.Quote(aAsk);
  }
  wire::Message operator()(const core::GroupHandover& aHanded) const
  {
    self.m_ownership.OnHandover(aHanded);
    return wire::Ack{};
  }
  template<typename Message>
  requires std::is_constructible_v<core::OwnershipMessage, const Message&>
    wire::Message operator()(const Message& aMessage) const
  {
    self.m_ownership.OnMessage(from, aMessage);
    return wire::Ack{};
  }
  // Answers that come as questions, from a peer that errs.
  template<typename Other>
  wire::Message operator()(const Other& /*aOther*/) const
  {
    return wire::Ack{};
  }
};

asio::awaitable<wire::Message>
Control::OnMessage(core::InstanceId aFrom, wire::Message aMessage)
{
  co_return std::visit(Dispatch{ *this, aFrom }, aMessage);
}

asio::awaitable<void>
Control::WatchMembers()
{
  for (;;) {
    try {
      net::Members reading = co_await m_member_list->Read();
      if (m_members.Replace(std::move(reading))) {
        OnMembersChanged();
      }
    } catch (const net::MemberListError&) {
      // The last reading stays in use until the list answers again.
    }
    co_await net::Sleep(kMembersInterval);
  }
}

asio::awaitable<void>
Control::TickOwners()
{
  for (;;) {
    m_owner.Tick();
    m_stores.Tick();
    co_await net::Sleep(kOwnerTick);
  }
}

void
Control::OnMembersChanged()
{
  for (const net::Member* instance : m_members.Instances()) {
    m_peers.SetAddress(core::InstanceId(instance->id), instance->peer_address);
  }
  m_ownership.OnMembers();
  m_owner.ApplyTable();
}

void
Control::OnTableChanged()
{
  m_control_metrics.Add(Counter::kTableChanges);
  m_published.Set(m_table.View().Current());
  m_owner.ApplyTable();
}

std::string
Control::NotReadyBecause() const
{
  if (m_leaving) {
    return "this instance is stopping";
  }
  if (m_members.IsEmpty()) {
    return "the membership list has not been read";
  }
  if (auto why = m_table.NotReady()) {
    return *why;
  }
  return m_ownership.KnowsOwners() ? ""
                                   : "the owners of targets are not known yet";
}

void
Control::Leave()
{
  m_leaving = true;
  m_ownership.Leave();
}

InstanceStatus
Control::Status() const
{
  InstanceStatus status;
  status.instance_id = m_options.instance_id.Text();
  status.data_centre = m_options.data_centre.Text();
  status.not_ready = NotReadyBecause();
  status.ready = status.not_ready.empty();
  status.table_version = m_table.View().Version();
  status.open_requests = m_open_requests.load();
  status.targets = m_owner.Status();
  status.stores = m_stores.Status();
  status.runs = m_entry.Runs();
  for (const core::StopMark& mark : m_table.View().Current()->stops) {
    status.stops.push_back({ std::string(core::StopKindName(mark.subject.kind)),
                             mark.subject.id,
                             mark.deadline_ms });
  }
  return status;
}

} // namespace jujubehead::node
