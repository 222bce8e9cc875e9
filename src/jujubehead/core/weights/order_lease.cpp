#include "jujubehead/core/weights/order_lease.hpp"

#include <algorithm> // for min
#include <utility>   // for move

#include <nlohmann/json.hpp> // for json

namespace jujubehead::core {
namespace {

using nlohmann::json;

constexpr const char* kHolder = "holder";
constexpr const char* kBegun = "begun_ms";

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
    // Whoever wrote it is waited out from when the row was seen.
    return { aText, std::nullopt };
  }
  return row;
}

OrderLease::OrderLease(std::string aSelf, OrderLeaseOptions aOptions)
  : m_self(std::move(aSelf))
  , m_options(aOptions)
{
}

void
OrderLease::OnRow(std::string_view aHolder,
                  std::uint64_t aVersion,
                  Instant aNow,
                  std::optional<Instant> aBegun)
{
  if (m_unchanged_since && aVersion <= m_row_version) {
    return;
  }
  m_row_version = aVersion;
  m_unchanged_since = std::min(aNow, aBegun.value_or(aNow));
  m_is_mine = aHolder == m_self;
  if (!m_is_mine) {
    m_begun.reset();
  }
}

bool
OrderLease::MayTake(Instant aNow) const
{
  if (!m_unchanged_since || (m_is_retired && !Holds(aNow))) {
    return false;
  }
  if (m_row_version == 0 || m_is_mine) {
    return true;
  }
  return aNow - *m_unchanged_since >=
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
  m_unchanged_since = aBegun;
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
