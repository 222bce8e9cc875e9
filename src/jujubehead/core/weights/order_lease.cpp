#include "jujubehead/core/weights/order_lease.hpp"

#include <utility> // for move

namespace jujubehead::core {

OrderLease::OrderLease(std::string aSelf, OrderLeaseOptions aOptions)
  : m_self(std::move(aSelf))
  , m_options(aOptions)
{
}

void
OrderLease::OnRow(std::string_view aHolder,
                  std::uint64_t aVersion,
                  Instant aNow)
{
  if (m_row_seen && aVersion <= m_row_version) {
    return;
  }
  m_row_version = aVersion;
  m_row_seen = aNow;
  m_is_mine = aHolder == m_self;
  if (!m_is_mine) {
    m_begun.reset();
  }
}

bool
OrderLease::MayTake(Instant aNow) const
{
  if (!m_row_seen || (m_is_retired && !Holds(aNow))) {
    return false;
  }
  if (m_row_version == 0 || m_is_mine) {
    return true;
  }
  return aNow - *m_row_seen >=
         m_options.term + m_options.gap + m_options.margin;
}

bool
OrderLease::IsRenewalDue(Instant aNow) const
{
  return !m_begun || aNow - *m_begun >= m_options.renewal;
}

void
OrderLease::OnWritten(std::uint64_t aVersion, Instant aBegun)
{
  const bool was_held = Holds(aBegun);
  m_row_version = aVersion;
  m_row_seen = aBegun;
  m_is_mine = true;
  m_begun = aBegun;
  if (!was_held) {
    m_token = aVersion;
  }
}

bool
OrderLease::Holds(Instant aUntil) const
{
  return m_is_mine && m_begun && aUntil < *m_begun + m_options.term;
}

} // namespace jujubehead::core
