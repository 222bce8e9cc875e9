#include "jujubehead/core/context_import.hpp"

#include <algorithm> // for equal, mismatch
#include <stdexcept> // for invalid_argument
#include <utility>   // for move

namespace jujubehead::core {
namespace {

constexpr unsigned kCounterBits = 32;

} // namespace

GenerationSource::GenerationSource(std::uint32_t aEpoch)
  : m_last(std::uint64_t{ aEpoch } << kCounterBits)
{
}

std::uint64_t
GenerationSource::Next()
{
  return ++m_last;
}

std::string
HandleOf(std::span<const ContextKey> aKeys)
{
  if (aKeys.empty()) {
    throw std::invalid_argument("HandleOf: aKeys is empty");
  }
  return aKeys.back().Hex();
}

std::optional<ImportTicket>
ChooseImport(const CopyState& aReading,
             std::string aSalt,
             std::span<const ContextKey> aKeys)
{
  if (!aReading.committed || aReading.salt != aSalt) {
    return std::nullopt;
  }
  const auto end =
    std::mismatch(
      aKeys.begin(), aKeys.end(), aReading.keys.begin(), aReading.keys.end())
      .first;
  if (end == aKeys.begin()) {
    return std::nullopt;
  }
  return ImportTicket{ aReading.copy,
                       std::move(aSalt),
                       { aKeys.begin(), end } };
}

ImportVerdict
CheckImport(const ImportTicket& aTicket, const CopyState& aReading)
{
  if (aReading.copy != aTicket.copy) {
    return ImportVerdict::kOtherGeneration;
  }
  if (!aReading.committed) {
    return ImportVerdict::kUncommitted;
  }
  if (aReading.salt != aTicket.salt) {
    return ImportVerdict::kOtherScope;
  }
  if (aReading.keys.size() < aTicket.keys.size() ||
      !std::equal(
        aTicket.keys.begin(), aTicket.keys.end(), aReading.keys.begin())) {
    return ImportVerdict::kOtherBlocks;
  }
  if (aReading.bytes_read != aReading.bytes) {
    return ImportVerdict::kTruncated;
  }
  return ImportVerdict::kAccept;
}

std::string_view
ToText(ImportVerdict aVerdict)
{
  switch (aVerdict) {
    case ImportVerdict::kAccept:
      return "accept";
    case ImportVerdict::kOtherGeneration:
      return "other_generation";
    case ImportVerdict::kUncommitted:
      return "uncommitted";
    case ImportVerdict::kOtherScope:
      return "other_scope";
    case ImportVerdict::kOtherBlocks:
      return "other_blocks";
    case ImportVerdict::kTruncated:
      return "truncated";
  }
  return "unknown";
}

} // namespace jujubehead::core
