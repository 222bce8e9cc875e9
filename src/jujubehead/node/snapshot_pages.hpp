#ifndef JUJUBEHEAD_NODE_SNAPSHOT_PAGES_HPP
#define JUJUBEHEAD_NODE_SNAPSHOT_PAGES_HPP

#include <cstdint> // for uint64_t
#include <string>  // for string

#include "jujubehead/core/change_log.hpp"    // for TableSnapshot
#include "jujubehead/core/runtime_clock.hpp" // for Instant
#include "jujubehead/wire/messages.hpp" // for TablePageRequest, TablePageReply

namespace jujubehead::node {

/// @brief Gives a snapshot of the table to peers page by page: that of 46,000
/// accounts is several times what a link takes as one message.
///
/// The text of one snapshot is kept while pages of it are asked for.
class SnapshotPages
{
public:
  /// @return a page; empty when the asked version is not kept: begin again.
  wire::TablePageReply Page(const wire::TablePageRequest& aAsk,
                            const core::TableSnapshot& aCurrent,
                            core::Instant aNow);
  /// @brief Frees the text when nobody has asked for some seconds.
  /// @return whether there was one to free.
  bool DropIfIdle(core::Instant aNow);

private:
  std::uint64_t m_version = 0;
  std::string m_text;
  core::Instant m_asked_at;
};

/// @brief Puts pages together at the other side.
class SnapshotAssembly
{
public:
  [[nodiscard]] wire::TablePageRequest Next() const;
  /// @return whether the answer was what Next() asked for.
  bool Add(const wire::TablePageReply& aAnswer);
  [[nodiscard]] bool IsWhole() const;
  /// @return the snapshot in CBOR.
  [[nodiscard]] std::string Take();

private:
  std::uint64_t m_version = 0;
  std::uint64_t m_size = 0;
  std::string m_text;
};

} // namespace jujubehead::node

#endif // JUJUBEHEAD_NODE_SNAPSHOT_PAGES_HPP
