#include "jujubehead/node/ownership_service.hpp"

#include <algorithm> // for all_of
#include <random>    // for random_device
#include <utility>   // for move

#include <boost/asio/co_spawn.hpp> // for co_spawn
#include <boost/asio/detached.hpp> // for detached

#include "jujubehead/net/timer.hpp"          // for Sleep
#include "jujubehead/node/member_book.hpp"   // for MemberBook
#include "jujubehead/node/owner_service.hpp" // for OwnerService
#include "jujubehead/node/peer_calls.hpp"    // for PeerCalls
#include "jujubehead/node/store_service.hpp" // for StoreService

namespace jujubehead::node {
namespace {

namespace asio = boost::asio;
using core::RuntimeClock;

constexpr core::Duration kTick = std::chrono::milliseconds(100);

core::OwnershipOptions
OptionsFor(const core::InstanceId& aSelf, core::DataCentreId aDataCentre)
{
  core::OwnershipOptions options;
  options.self = aSelf;
  options.data_centre = std::move(aDataCentre);
  // The low bits of an incarnation count the leases of this process.
  options.process = std::random_device{}();
  return options;
}

core::TargetId
TargetOf(const core::GroupId& aGroup)
{
  return core::TargetId(aGroup.Text());
}

} // namespace

/// Takes each action to whom it concerns.
struct OwnershipService::CarryOut
{
  OwnershipService& self;

  void operator()(core::SendMessage& aSend) const
  {
    std::visit(
      [&](auto& aMessage) {
        self.m_peers.Tell(aSend.to, wire::Message(std::move(aMessage)));
      },
      aSend.message);
  }
  void operator()(core::WriteRows& aWrite) const
  {
    asio::co_spawn(
      self.m_peers.Context(), self.Write(std::move(aWrite)), asio::detached);
  }
  void operator()(core::ReadRows& aRead) const
  {
    asio::co_spawn(
      self.m_peers.Context(), self.Read(std::move(aRead)), asio::detached);
  }
  void operator()(const core::StartOwning& aStart) const { self.Start(aStart); }
  void operator()(const core::StopOwning& aStop) const
  {
    self.Stop(aStop.group);
  }
  void operator()(const core::HandOverGroup& aHandOver) const
  {
    self.m_peers.Tell(aHandOver.row.owner.instance,
                      self.m_owner.HandOver(aHandOver.row));
    self.Stop(aHandOver.row.group);
  }
};

OwnershipService::OwnershipService(PeerCalls& aPeers,
                                   const MemberBook& aMembers,
                                   net::OwnershipStore& aStore,
                                   OwnerService& aOwner,
                                   StoreService& aStores,
                                   core::DataCentreId aDataCentre)
  : m_peers(aPeers)
  , m_members(aMembers)
  , m_store(aStore)
  , m_owner(aOwner)
  , m_stores(aStores)
  , m_ownership(
      core::Ownership::Create(OptionsFor(aPeers.Self(), std::move(aDataCentre)),
                              RuntimeClock::now()))
{
}

asio::awaitable<void>
OwnershipService::Run()
{
  for (;;) {
    m_ownership.Tick(RuntimeClock::now());
    TakeActions();
    co_await net::Sleep(kTick);
  }
}

void
OwnershipService::OnMembers()
{
  std::vector<core::InstanceMember> instances;
  for (const net::Member* member : m_members.Instances()) {
    instances.push_back(
      { core::InstanceId(member->id), member->data_centre, member->leaving });
  }
  std::vector<core::GroupId> groups;
  for (const net::Member* member : m_members.Targets()) {
    groups.emplace_back(member->id);
  }
  for (const net::Member* member : m_members.Stores()) {
    groups.emplace_back(member->id);
  }
  m_ownership.SetMembers(instances, RuntimeClock::now());
  m_ownership.SetGroups(groups, RuntimeClock::now());
  TakeActions();
}

bool
OwnershipService::IsStore(const core::GroupId& aGroup) const
{
  const net::Member* member = m_members.Find(aGroup.View());
  return member != nullptr && member->kind == net::MemberKind::kStore;
}

void
OwnershipService::Start(const core::StartOwning& aStart)
{
  if (IsStore(aStart.group)) {
    m_stores.Own(core::StoreId(aStart.group.Text()), aStart.epoch);
  } else {
    m_owner.Own(TargetOf(aStart.group), aStart);
  }
}

void
OwnershipService::Stop(const core::GroupId& aGroup)
{
  m_stores.Disown(core::StoreId(aGroup.Text()));
  m_owner.Disown(TargetOf(aGroup));
}

void
OwnershipService::OnMessage(const core::InstanceId& aFrom,
                            const core::OwnershipMessage& aMessage)
{
  m_ownership.OnMessage(aFrom, aMessage, RuntimeClock::now());
  TakeActions();
}

void
OwnershipService::OnHandover(const core::GroupHandover& aHanded)
{
  m_ownership.OnHandover(aHanded, RuntimeClock::now());
  TakeActions();
}

void
OwnershipService::Leave()
{
  m_ownership.Leave(RuntimeClock::now());
  TakeActions();
}

std::optional<core::InstanceId>
OwnershipService::OwnerOf(const core::TargetId& aTarget) const
{
  return m_ownership.OwnerOf(core::GroupId(aTarget.Text()));
}

std::optional<core::InstanceId>
OwnershipService::OwnerOf(const core::StoreId& aStore) const
{
  return m_ownership.OwnerOf(core::GroupId(aStore.Text()));
}

bool
OwnershipService::KnowsOwners() const
{
  if (m_ownership.IsReady()) {
    return true;
  }
  const auto targets = m_members.Targets();
  return !targets.empty() &&
         std::all_of(
           targets.begin(), targets.end(), [this](const net::Member* aTarget) {
             return OwnerOf(core::TargetId(aTarget->id)).has_value();
           });
}

bool
OwnershipService::MayAdmit(const core::TargetId& aTarget) const
{
  return m_ownership.MayAdmit(core::GroupId(aTarget.Text()),
                              RuntimeClock::now());
}

void
OwnershipService::TakeActions()
{
  for (core::OwnershipAction& action : m_ownership.TakeActions()) {
    std::visit(CarryOut{ *this }, action);
  }
}

asio::awaitable<void>
OwnershipService::Write(core::WriteRows aWrite)
{
  const std::uint64_t token = aWrite.token;
  const core::WriteOutcome outcome = co_await m_store.Write(std::move(aWrite));
  m_ownership.OnWritten(token, outcome, RuntimeClock::now());
  TakeActions();
}

asio::awaitable<void>
OwnershipService::Read(core::ReadRows aRead)
{
  const core::RowsRead rows = co_await m_store.Read(std::move(aRead));
  m_ownership.OnRead(rows, RuntimeClock::now());
  TakeActions();
}

} // namespace jujubehead::node
