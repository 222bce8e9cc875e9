#include "table_layout.hpp"

#include <array>  // for array
#include <cstdio> // for snprintf

namespace jujubehead::net::detail {
namespace {

constexpr std::string_view kTablePk = "table";

} // namespace

std::string
VersionText(std::uint64_t aVersion)
{
  std::array<char, 24> text{};
  std::snprintf(text.data(),
                text.size(),
                "%020llu",
                static_cast<unsigned long long>(aVersion));
  return text.data();
}

ItemKey
ChangeKey(std::uint64_t aVersion)
{
  return { std::string(kChangePk), VersionText(aVersion) };
}

ItemKey
SnapshotKey(std::uint64_t aVersion)
{
  return { std::string(kSnapshotPk), VersionText(aVersion) };
}

ItemKey
TableKey(std::string_view aSk)
{
  return { std::string(kTablePk), std::string(aSk) };
}

std::string
SnapshotObject(std::uint64_t aVersion)
{
  return "table/snapshot/" + VersionText(aVersion);
}

std::string
ChangesObject(const core::ChangeEntry& aEntry)
{
  return "table/change/" + VersionText(aEntry.version) + '.' + aEntry.token;
}

Condition
HeadIs(std::uint64_t aVersion)
{
  return aVersion == 0 ? Condition(ItemAbsent{}) : Condition(RevIs{ aVersion });
}

} // namespace jujubehead::net::detail
