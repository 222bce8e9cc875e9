#include "jujubehead/core/membership/instance_book.hpp"

#include <utility> // for move

namespace jujubehead::core {

InstanceBook::InstanceBook(std::string aSelf,
                           std::string aAddress,
                           InstanceBookOptions aOptions)
  : m_self(std::move(aSelf))
  , m_address(std::move(aAddress))
  , m_options(aOptions)
{
}

void
InstanceBook::OnRow(const std::string& aId,
                    std::optional<std::string> aAddress,
                    std::uint64_t aVersion,
                    Instant aNow)
{
  const auto known = m_rows.find(aId);
  if (known != m_rows.end() && aVersion <= known->second.version) {
    return;
  }
  if (aAddress) {
    m_rows[aId] = { std::move(*aAddress), aVersion, aNow };
  } else if (known != m_rows.end()) {
    m_rows.erase(known);
  }
}

std::vector<KnownInstance>
InstanceBook::Others() const
{
  std::vector<KnownInstance> others;
  for (const auto& [id, row] : m_rows) {
    if (id != m_self && row.address != m_address) {
      others.push_back({ id, row.address });
    }
  }
  return others;
}

std::vector<KnownInstance>
InstanceBook::All() const
{
  std::vector<KnownInstance> all = Others();
  all.push_back({ m_self, m_address });
  return all;
}

std::optional<InstanceRowWrite>
InstanceBook::NextWrite(Instant aNow) const
{
  if (!m_is_read) {
    return std::nullopt;
  }
  const auto own = m_rows.find(m_self);
  if (own == m_rows.end()) {
    return InstanceRowWrite{ m_self, m_address, 0 };
  }
  const bool is_old = aNow - own->second.seen >= m_options.refresh;
  if (own->second.address != m_address || is_old) {
    return InstanceRowWrite{ m_self, m_address, own->second.version };
  }
  for (const auto& [id, row] : m_rows) {
    if (id != m_self && aNow - row.seen >= m_options.expiry) {
      return InstanceRowWrite{ id, std::nullopt, row.version };
    }
  }
  return std::nullopt;
}

} // namespace jujubehead::core
