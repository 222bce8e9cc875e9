#ifndef JUJUBEHEAD_STANDIN_STORE_MODEL_HPP
#define JUJUBEHEAD_STANDIN_STORE_MODEL_HPP

#include <cstddef>  // for size_t
#include <cstdint>  // for uint64_t
#include <map>      // for map
#include <optional> // for optional
#include <string>   // for string
#include <utility>  // for pair
#include <vector>   // for vector

#include <nlohmann/json.hpp> // for json

#include "standin/event_log.hpp" // for EventLog, EpochMs

namespace jujubehead::standin {

/// @brief How a KV store behaves.
struct StoreOptions
{
  std::uint64_t memory_bytes = 64ULL << 20U;
  std::uint64_t disk_bytes = 1ULL << 30U;
  std::uint64_t link_bytes_per_second = 100ULL << 20U;
  EpochMs disk_ms = 20; ///< Added to a read from disk.
  EventOptions events;
};

/// @brief A kept piece of KV cache, by handle and generation.
struct StoredPiece
{
  std::vector<std::string> keys;
  std::uint64_t bytes = 0;
  std::string salt;
  bool committed = false;
  bool on_disk = false;
  std::uint64_t last_used = 0; ///< Order of use.
};

using PieceId = std::pair<std::string, std::string>; ///< Handle, generation.

/// @brief A KV store without its sockets: two tiers and a link that carries
/// one piece after another.
class StoreModel
{
public:
  explicit StoreModel(StoreOptions aOptions);

  /// @brief Makes room and opens a piece, unreadable until its commit.
  /// @return false when neither tier has room.
  bool Begin(const PieceId& aId, StoredPiece aPiece);
  /// @return false when no such piece was begun.
  bool Commit(const PieceId& aId, EpochMs aNow);
  bool Remove(const PieceId& aId, EpochMs aNow);
  void Clear(EpochMs aNow);
  [[nodiscard]] const StoredPiece* Find(const PieceId& aId) const;

  /// @brief Books the link for a piece's leading blocks (all: no value).
  /// @return when they have crossed, in microseconds from now.
  std::uint64_t BookLink(const PieceId& aId,
                         std::optional<std::size_t> aBlocks,
                         std::uint64_t aNowMicroseconds);
  void SetFull(bool aFull) { m_full = aFull; }

  [[nodiscard]] nlohmann::json Events(std::uint64_t aAfter, EpochMs aNow) const;
  [[nodiscard]] nlohmann::json Load(EpochMs aNow) const;
  [[nodiscard]] nlohmann::json Stats() const;

private:
  [[nodiscard]] std::uint64_t Used(bool aOnDisk) const;
  bool MakeRoom(std::uint64_t aBytes);
  bool MoveOldestToDisk();
  void Publish(const char* aKind, const PieceId& aId, EpochMs aNow);

  StoreOptions m_options;
  EventLog m_events;
  std::map<PieceId, StoredPiece> m_pieces;
  std::uint64_t m_uses = 0;
  std::uint64_t m_link_free_at = 0; // Microseconds.
  std::uint64_t m_link_bytes = 0;
  std::uint64_t m_reads = 0;
  std::uint64_t m_commits = 0;
  std::uint64_t m_refused_full = 0;
  bool m_full = false;
};

} // namespace jujubehead::standin

#endif // JUJUBEHEAD_STANDIN_STORE_MODEL_HPP
