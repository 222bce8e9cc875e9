#include "jujubehead/core/ownership.hpp"

#include <utility> // for move

#include "ownership_impl.hpp" // for Ownership::Impl

namespace jujubehead::core {

Ownership::Ownership(std::unique_ptr<Impl> aImpl)
  : m_impl(std::move(aImpl))
{
}

Ownership::Ownership(Ownership&&) noexcept = default;
Ownership&
Ownership::operator=(Ownership&&) noexcept = default;
Ownership::~Ownership() = default;

Ownership
Ownership::Create(OwnershipOptions aOptions, Instant aNow)
{
  return Ownership(std::make_unique<Impl>(std::move(aOptions), aNow));
}

void
Ownership::SetMembers(std::span<const InstanceMember> aMembers, Instant aNow)
{
  m_impl->SetMembers(aMembers, aNow);
}

void
Ownership::SetGroups(std::span<const GroupId> aGroups, Instant /*aNow*/)
{
  m_impl->SetGroups(aGroups);
}

void
Ownership::OnMessage(const InstanceId& aFrom,
                     const OwnershipMessage& aMessage,
                     Instant aNow)
{
  m_impl->OnMessage(aFrom, aMessage, aNow);
}

void
Ownership::OnHandover(const GroupHandover& aHandover, Instant aNow)
{
  m_impl->OnHandover(aHandover, aNow);
}

void
Ownership::OnWritten(std::uint64_t aToken, WriteOutcome aOutcome, Instant aNow)
{
  m_impl->OnWritten(aToken, aOutcome, aNow);
}

void
Ownership::OnRead(const RowsRead& aRead, Instant aNow)
{
  m_impl->OnRead(aRead, aNow);
}

void
Ownership::Tick(Instant aNow)
{
  m_impl->Tick(aNow);
}

void
Ownership::Leave(Instant aNow)
{
  m_impl->Leave(aNow);
}

std::vector<OwnershipAction>
Ownership::TakeActions()
{
  return m_impl->TakeActions();
}

bool
Ownership::MayAdmit(const GroupId& aGroup, Instant aNow) const
{
  return m_impl->MayAdmit(aGroup, aNow);
}

std::optional<std::uint64_t>
Ownership::EpochOf(const GroupId& aGroup) const
{
  return m_impl->EpochOf(aGroup);
}

std::optional<InstanceId>
Ownership::OwnerOf(const GroupId& aGroup) const
{
  return m_impl->OwnerOf(aGroup);
}

std::vector<GroupId>
Ownership::Owned() const
{
  return m_impl->Owned();
}

Instant
Ownership::LeaseExpiresAt() const
{
  return m_impl->LeaseExpiresAt();
}

std::optional<LeaseRow>
Ownership::Lease() const
{
  return m_impl->Lease();
}

bool
Ownership::IsReady() const
{
  return m_impl->IsReady();
}

bool
Ownership::HasLeft() const
{
  return m_impl->HasLeft();
}

} // namespace jujubehead::core
