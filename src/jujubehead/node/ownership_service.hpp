#ifndef JUJUBEHEAD_NODE_OWNERSHIP_SERVICE_HPP
#define JUJUBEHEAD_NODE_OWNERSHIP_SERVICE_HPP

#include <optional> // for optional

#include <boost/asio/awaitable.hpp> // for awaitable

#include "jujubehead/core/ownership.hpp"      // for Ownership
#include "jujubehead/net/ownership_store.hpp" // for OwnershipStore
#include "jujubehead/node/owner_map.hpp"      // for OwnerMap

namespace jujubehead::node {

class MemberBook;
class OwnerService;
class PeerCalls;
class StoreService;

/// @brief Carries out what core::Ownership decides: the messages, the rows of
/// the table service, and which targets this instance admits work to.
class OwnershipService : public OwnerMap
{
public:
  /// @param aPeers, aMembers, aStore, aOwner, aStores outlive this.
  OwnershipService(PeerCalls& aPeers,
                   const MemberBook& aMembers,
                   net::OwnershipStore& aStore,
                   OwnerService& aOwner,
                   StoreService& aStores,
                   core::DataCentreId aDataCentre);

  /// @brief Ticks for as long as the context runs.
  boost::asio::awaitable<void> Run();

  /// @brief The platform's list changed.
  void OnMembers();
  void OnMessage(const core::InstanceId& aFrom,
                 const core::OwnershipMessage& aMessage);
  void OnHandover(const core::GroupHandover& aHanded);
  /// @brief Planned stop of this instance: hands everything over.
  void Leave();

  [[nodiscard]] std::optional<core::InstanceId> OwnerOf(
    const core::TargetId& aTarget) const override;
  [[nodiscard]] std::optional<core::InstanceId> OwnerOf(
    const core::StoreId& aStore) const override;
  [[nodiscard]] bool MayAdmit(const core::TargetId& aTarget) const;
  /// @return whether requests can find owners: all rows were read, or peers
  /// have told the owner of every target while the table service is away.
  [[nodiscard]] bool KnowsOwners() const;
  [[nodiscard]] bool HasLeft() const { return m_ownership.HasLeft(); }

private:
  struct CarryOut;

  /// @brief Begins to admit work to a target, or to schedule a store's link.
  void Start(const core::StartOwning& aStart);
  void Stop(const core::GroupId& aGroup);
  [[nodiscard]] bool IsStore(const core::GroupId& aGroup) const;
  void TakeActions();
  boost::asio::awaitable<void> Write(core::WriteRows aWrite);
  boost::asio::awaitable<void> Read(core::ReadRows aRead);

  PeerCalls& m_peers;
  const MemberBook& m_members;
  net::OwnershipStore& m_store;
  OwnerService& m_owner;
  StoreService& m_stores;
  core::Ownership m_ownership;
};

} // namespace jujubehead::node

#endif // JUJUBEHEAD_NODE_OWNERSHIP_SERVICE_HPP
