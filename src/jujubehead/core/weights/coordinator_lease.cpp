#include "jujubehead/core/weights/coordinator_lease.hpp"

#include <algorithm> // for min
#include <utility>   // for move

#include <nlohmann/json.hpp> // for json

namespace jujubehead::core {
namespace {

using nlohmann::json;

constexpr const char* kHolder = "holder";
constexpr const char* kBegun = "begun_ms";

/// @return the instance of which a holder is one run.
std::string_view
InstanceOf(std::string_view aHolder)
{
  return aHolder.substr(0, aHolder.rfind('/'));
}

} // namespace

std::string
ToText(const LeaseRow& aRow)
{
  json row = { { kHolder, aRow.holder } };
  if (aRow.begun) {
    row[kBegun] = *aRow.begun;
  }
  return row.dump();
}

LeaseRow
LeaseRowOf(const std::string& aText)
{
  LeaseRow row;
  try {
    const json parsed = json::parse(aText);
    row.holder = parsed.at(kHolder).get<std::string>();
    if (const auto begun = parsed.find(kBegun); begun != parsed.end()) {
      row.begun = begun->get<RemoteMs>();
    }
  } catch (const json::exception&) {
    // Unknown writer: its term counts from when the row was first seen.
    return { aText, std::nullopt };
  }
  return row;
}

CoordinatorLease::CoordinatorLease(std::string aSelf,
                                   CoordinatorLeaseOptions aOptions)
  : m_self(std::move(aSelf))
  , m_options(aOptions)
{
}

void
CoordinatorLease::OnRow(std::string_view aHolder,
                        std::uint64_t aVersion,
                        Instant aNow,
                        std::optional<Instant> aBegun)
{
  if (m_unchanged_since && aVersion <= m_row_version) {
    return;
  }
  m_row_version = aVersion;
  m_unchanged_since = std::min(aNow, aBegun.value_or(aNow));
  m_was_last_holder = aHolder == m_self;
  m_is_own = InstanceOf(aHolder) == Instance();
  if (!m_was_last_holder) {
    m_last_write_start.reset();
  }
}

std::string_view
CoordinatorLease::Instance() const
{
  return InstanceOf(m_self);
}

bool
CoordinatorLease::MayAcquire(Instant aNow) const
{
  if (!m_unchanged_since || (m_is_retired && !Holds(aNow))) {
    return false;
  }
  if (m_row_version == 0 || m_is_own) {
    return true;
  }
  return aNow - *m_unchanged_since >=
         m_options.term + m_options.gap + m_options.margin;
}

bool
CoordinatorLease::IsRenewalDue(Instant aNow) const
{
  return !m_last_write_start || aNow - *m_last_write_start >= m_options.renewal;
}

void
CoordinatorLease::OnWritten(std::uint64_t aVersion, Instant aBegun)
{
  const bool was_held = Holds(aBegun);
  m_row_version = aVersion;
  m_unchanged_since = aBegun;
  m_was_last_holder = true;
  m_is_own = true;
  m_last_write_start = aBegun;
  if (!was_held) {
    m_token = aVersion;
  }
}

bool
CoordinatorLease::Holds(Instant aUntil) const
{
  return m_was_last_holder && m_last_write_start &&
         aUntil < *m_last_write_start + m_options.term;
}

} // namespace jujubehead::core
