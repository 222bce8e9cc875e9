#ifndef JUJUBEHEAD_NET_TABLE_LAYOUT_HPP
#define JUJUBEHEAD_NET_TABLE_LAYOUT_HPP

#include <cstddef>     // for size_t
#include <cstdint>     // for uint64_t
#include <string>      // for string
#include <string_view> // for string_view

#include "jujubehead/core/change_log.hpp"   // for ChangeEntry
#include "jujubehead/net/table_service.hpp" // for ItemKey, Condition

namespace jujubehead::net::detail {

// Where the table's sequence lies in the table service and the object store.

inline constexpr std::string_view kChangePk = "change";
inline constexpr std::string_view kSnapshotPk = "snapshot";
inline constexpr std::string_view kHeadSk = "head";
inline constexpr std::string_view kSnapshotSk = "snapshot";

/// Items that one query brings.
inline constexpr std::size_t kTablePage = 100;
/// Versions from one snapshot to the next.
inline constexpr std::uint64_t kSnapshotEvery = 200;
/// Versions that are kept to look back at: a week of the changes of 2 years
/// from now.
inline constexpr std::uint64_t kVersionsKept = 40'000;

/// @return the version as text that sorts like the number.
std::string
VersionText(std::uint64_t aVersion);

/// @return the key of an entry.
ItemKey
ChangeKey(std::uint64_t aVersion);

/// @return the key of a snapshot's item.
ItemKey
SnapshotKey(std::uint64_t aVersion);

/// @return the key of the head or of what names the newest snapshot.
ItemKey
TableKey(std::string_view aSk);

/// @return the object of a snapshot.
std::string
SnapshotObject(std::uint64_t aVersion);

/// @return the object of a large entry's changes.
std::string
ChangesObject(const core::ChangeEntry& aEntry);

/// @return the condition that the head is at a version; that of version 0 is
/// absent.
Condition
HeadIs(std::uint64_t aVersion);

} // namespace jujubehead::net::detail

#endif // JUJUBEHEAD_NET_TABLE_LAYOUT_HPP
