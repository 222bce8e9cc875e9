#include "standin/store_model.hpp"

#include <algorithm> // for max, min

namespace jujubehead::standin {
namespace {

constexpr std::uint64_t kMicrosecondsPerSecond = 1'000'000;

} // namespace

StoreModel::StoreModel(StoreOptions aOptions)
  : m_options(aOptions)
  , m_events(aOptions.events)
{
}

bool
StoreModel::Begin(const PieceId& aId, StoredPiece aPiece)
{
  m_pieces.erase(aId);
  if (m_full || !MakeRoom(aPiece.bytes)) {
    ++m_refused_full;
    return false;
  }
  aPiece.committed = false;
  aPiece.on_disk = false;
  aPiece.last_used = ++m_uses;
  m_pieces.emplace(aId, std::move(aPiece));
  return true;
}

bool
StoreModel::Commit(const PieceId& aId, EpochMs aNow)
{
  const auto found = m_pieces.find(aId);
  if (found == m_pieces.end()) {
    return false;
  }
  if (!found->second.committed) {
    found->second.committed = true;
    ++m_commits;
    Publish("stored", aId, aNow);
  }
  return true;
}

bool
StoreModel::Remove(const PieceId& aId, EpochMs aNow)
{
  const StoredPiece* piece = Find(aId);
  if (piece == nullptr) {
    return false;
  }
  if (piece->committed) {
    Publish("removed", aId, aNow);
  }
  m_pieces.erase(aId);
  return true;
}

void
StoreModel::Clear(EpochMs aNow)
{
  m_pieces.clear();
  m_events.Add(aNow, { { "kind", "cleared" } });
}

const StoredPiece*
StoreModel::Find(const PieceId& aId) const
{
  const auto found = m_pieces.find(aId);
  return found == m_pieces.end() ? nullptr : &found->second;
}

std::uint64_t
StoreModel::BookLink(const PieceId& aId,
                     std::optional<std::size_t> aBlocks,
                     std::uint64_t aNowMicroseconds)
{
  StoredPiece& piece = m_pieces.at(aId);
  piece.last_used = ++m_uses;
  const std::size_t all = std::max<std::size_t>(piece.keys.size(), 1);
  const std::size_t blocks = std::min(aBlocks.value_or(all), all);
  const std::uint64_t bytes = piece.bytes * blocks / all;
  ++m_reads;
  m_link_bytes += bytes;
  m_link_free_at =
    std::max(m_link_free_at, aNowMicroseconds) +
    bytes * kMicrosecondsPerSecond /
      std::max<std::uint64_t>(m_options.link_bytes_per_second, 1);
  const std::uint64_t disk =
    piece.on_disk ? static_cast<std::uint64_t>(m_options.disk_ms) * 1000 : 0;
  return m_link_free_at - aNowMicroseconds + disk;
}

nlohmann::json
StoreModel::Events(std::uint64_t aAfter, EpochMs aNow) const
{
  return m_events.After(aAfter, aNow);
}

nlohmann::json
StoreModel::Load(EpochMs aNow) const
{
  return { { "as_of_ms", aNow },
           { "memory_used", Used(false) },
           { "memory_total", m_options.memory_bytes },
           { "disk_used", Used(true) },
           { "disk_total", m_options.disk_bytes },
           { "link_bytes", m_link_bytes } };
}

nlohmann::json
StoreModel::Stats() const
{
  return { { "pieces", m_pieces.size() },
           { "link_transfers", m_reads },
           { "link_bytes", m_link_bytes },
           { "commits", m_commits },
           { "refused_full", m_refused_full } };
}

std::uint64_t
StoreModel::Used(bool aOnDisk) const
{
  std::uint64_t used = 0;
  for (const auto& [id, piece] : m_pieces) {
    used += piece.on_disk == aOnDisk ? piece.bytes : 0;
  }
  return used;
}

bool
StoreModel::MakeRoom(std::uint64_t aBytes)
{
  if (aBytes > m_options.memory_bytes) {
    return false;
  }
  while (Used(false) + aBytes > m_options.memory_bytes) {
    if (!MoveOldestToDisk()) {
      return false;
    }
  }
  return true;
}

bool
StoreModel::MoveOldestToDisk()
{
  StoredPiece* oldest = nullptr;
  for (auto& [id, piece] : m_pieces) {
    const bool movable = !piece.on_disk && piece.committed;
    if (movable && (oldest == nullptr || piece.last_used < oldest->last_used)) {
      oldest = &piece;
    }
  }
  if (oldest == nullptr || Used(true) + oldest->bytes > m_options.disk_bytes) {
    return false;
  }
  oldest->on_disk = true;
  return true;
}

void
StoreModel::Publish(const char* aKind, const PieceId& aId, EpochMs aNow)
{
  m_events.Add(aNow,
               { { "kind", aKind },
                 { "handle", aId.first },
                 { "generation", aId.second },
                 { "keys", m_pieces.at(aId).keys } });
}

} // namespace jujubehead::standin
