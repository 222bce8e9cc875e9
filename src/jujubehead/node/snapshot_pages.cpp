#include "jujubehead/node/snapshot_pages.hpp"

#include <chrono>  // for seconds
#include <utility> // for exchange, move

namespace jujubehead::node {
namespace {

constexpr std::size_t kPageBytes = std::size_t{ 256 } * 1024;
constexpr core::Duration kIdle = std::chrono::seconds(10);
/// More than a table may ever take; guards against a peer that never ends.
constexpr std::uint64_t kMaxBytes = std::uint64_t{ 256 } * 1024 * 1024;

} // namespace

wire::TablePageReply
SnapshotPages::Page(const wire::TablePageRequest& aAsk,
                    const core::TableSnapshot& aCurrent,
                    core::Instant aNow)
{
  if (aAsk.version == 0 && m_version != aCurrent.version) {
    const auto cbor = core::ToCbor(aCurrent);
    m_text.assign(cbor.begin(), cbor.end());
    m_version = aCurrent.version;
  }
  const bool is_kept = aAsk.version == 0 || aAsk.version == m_version;
  if (!is_kept || m_version == 0 || aAsk.offset >= m_text.size()) {
    return {};
  }
  m_asked_at = aNow;
  return { m_version, m_text.size(), m_text.substr(aAsk.offset, kPageBytes) };
}

bool
SnapshotPages::DropIfIdle(core::Instant aNow)
{
  if (m_version == 0 || aNow - m_asked_at < kIdle) {
    return false;
  }
  m_version = 0;
  m_text = std::string();
  return true;
}

wire::TablePageRequest
SnapshotAssembly::Next() const
{
  return { m_version, m_text.size() };
}

bool
SnapshotAssembly::Add(const wire::TablePageReply& aAnswer)
{
  const bool is_first = m_text.empty();
  const bool fits =
    !aAnswer.bytes.empty() && aAnswer.size <= kMaxBytes &&
    m_text.size() + aAnswer.bytes.size() <= aAnswer.size &&
    (is_first || (aAnswer.version == m_version && aAnswer.size == m_size));
  if (!fits) {
    return false;
  }
  m_version = aAnswer.version;
  m_size = aAnswer.size;
  m_text += aAnswer.bytes;
  return true;
}

bool
SnapshotAssembly::IsWhole() const
{
  return m_size != 0 && m_text.size() == m_size;
}

std::string
SnapshotAssembly::Take()
{
  return std::exchange(m_text, {});
}

} // namespace jujubehead::node
