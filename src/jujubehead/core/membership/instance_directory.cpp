#include "jujubehead/core/membership/instance_directory.hpp"

#include <algorithm> // for max
#include <sstream>   // for istringstream, ostringstream
#include <utility>   // for move

namespace jujubehead::core {

namespace {

constexpr char kSeparator = ' ';

} // namespace

std::string
EncodeInstanceRow(const KnownInstance& aInstance)
{
  const bool has_data_centre = !aInstance.data_centre.View().empty();
  if (aInstance.capacity <= 0 && !has_data_centre) {
    return aInstance.address;
  }
  std::ostringstream row;
  row << aInstance.address << kSeparator << std::max(aInstance.capacity, 0.0);
  if (has_data_centre) {
    row << kSeparator << aInstance.data_centre.View();
    if (!aInstance.tunnel_address.empty()) {
      row << kSeparator << aInstance.tunnel_address;
    }
  }
  return row.str();
}

KnownInstance
DecodeInstanceRow(std::string aId, std::string_view aRow)
{
  const std::size_t end = aRow.find(kSeparator);
  KnownInstance instance;
  instance.id = std::move(aId);
  instance.address = aRow.substr(0, end);
  if (end != std::string_view::npos) {
    // What cannot be parsed stays unknown.
    std::istringstream rest{ std::string(aRow.substr(end)) };
    std::string data_centre;
    if (rest >> instance.capacity >> data_centre) {
      instance.data_centre = DataCentreId(std::move(data_centre));
      rest >> instance.tunnel_address;
    }
  }
  return instance;
}

InstanceDirectory::InstanceDirectory(KnownInstance aSelf,
                                     InstanceDirectoryOptions aOptions)
  : m_self(std::move(aSelf))
  , m_options(aOptions)
{
}

void
InstanceDirectory::OnRow(const std::string& aId,
                         std::optional<std::string> aValue,
                         std::uint64_t aVersion,
                         Instant aNow)
{
  const auto known = m_rows.find(aId);
  if (known != m_rows.end() && aVersion <= known->second.version) {
    return;
  }
  if (aValue) {
    m_rows[aId] = { std::move(*aValue), aVersion, aNow };
  } else if (known != m_rows.end()) {
    m_rows.erase(known);
  }
}

std::vector<KnownInstance>
InstanceDirectory::Others() const
{
  std::vector<KnownInstance> others;
  for (const auto& [id, row] : m_rows) {
    KnownInstance other = DecodeInstanceRow(id, row.value);
    if (id != m_self.id && other.address != m_self.address) {
      others.push_back(std::move(other));
    }
  }
  return others;
}

std::vector<KnownInstance>
InstanceDirectory::All() const
{
  std::vector<KnownInstance> all = Others();
  all.push_back(m_self);
  return all;
}

std::optional<InstanceRowWrite>
InstanceDirectory::NextWrite(Instant aNow) const
{
  if (!m_is_read) {
    return std::nullopt;
  }
  const auto own = m_rows.find(m_self.id);
  if (own == m_rows.end()) {
    return InstanceRowWrite{ m_self.id, EncodeInstanceRow(m_self), 0 };
  }
  const bool is_old = aNow - own->second.seen >= m_options.refresh;
  if (own->second.value != EncodeInstanceRow(m_self) || is_old) {
    return InstanceRowWrite{ m_self.id,
                             EncodeInstanceRow(m_self),
                             own->second.version };
  }
  for (const auto& [id, row] : m_rows) {
    if (id != m_self.id && aNow - row.seen >= m_options.expiry) {
      return InstanceRowWrite{ id, std::nullopt, row.version };
    }
  }
  return std::nullopt;
}

} // namespace jujubehead::core
