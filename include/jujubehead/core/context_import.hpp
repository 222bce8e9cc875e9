#ifndef JUJUBEHEAD_CORE_CONTEXT_IMPORT_HPP
#define JUJUBEHEAD_CORE_CONTEXT_IMPORT_HPP

#include <cstdint>     // for uint32_t, uint64_t
#include <optional>    // for optional
#include <span>        // for span
#include <string>      // for string
#include <string_view> // for string_view
#include <vector>      // for vector

#include "jujubehead/core/context_key.hpp" // for ContextKey
#include "jujubehead/core/directory.hpp"   // for CopyId

namespace jujubehead::core {

/// @brief Generates unique generation numbers.
///
/// The store's ownership epoch is the high half, so that two owners of one
/// store never generate the same number.
class GenerationSource
{
public:
  explicit GenerationSource(std::uint32_t aEpoch);
  /// @return a number above all earlier ones of this source.
  std::uint64_t Next();

private:
  std::uint64_t m_last;
};

/// @return the handle of a copy of these blocks: the key of the last block,
/// which identifies scope, text and length.
std::string
HandleOf(std::span<const ContextKey> aKeys);

/// @brief State of a copy when it was chosen for an import.
struct ImportTicket
{
  CopyId copy;
  std::string salt;             ///< Of the request's scope.
  std::vector<ContextKey> keys; ///< The blocks that the request will use.
};

/// @brief State of a copy as reported by its store.
struct CopyState
{
  CopyId copy;
  bool committed = false;
  std::string salt;
  std::vector<ContextKey> keys;
  std::uint64_t bytes = 0;      ///< Size at the commit.
  std::uint64_t bytes_read = 0; ///< Bytes received.
};

enum class ImportVerdict
{
  kAccept,
  kOtherGeneration, ///< Freed, and perhaps rewritten, since the choice.
  kUncommitted,     ///< Only partly written.
  kOtherScope,      ///< Another account's, model's, version's or adapter's.
  kOtherBlocks,     ///< Other blocks than the prompt's, or fewer.
  kTruncated,       ///< Not all of its bytes were received.
};

/// @brief Chooses a copy for a request, before the first byte is read.
///
/// A copy that is still being written must not be opened: blocks read before
/// the commit may differ from the committed ones.
/// @param aReading the current state; bytes_read is ignored.
/// @return the ticket for CheckImport(); nothing when the copy is not committed
/// or holds none of the request's blocks.
std::optional<ImportTicket>
ChooseImport(const CopyState& aReading,
             std::string aSalt,
             std::span<const ContextKey> aKeys);

/// @brief Checks before use that an imported copy is still the one chosen.
///
/// Call it after the last byte has been read, with the state at that time, so
/// that a copy that was freed during the read is rejected too.
/// @return kAccept when the blocks may be used for a response.
ImportVerdict
CheckImport(const ImportTicket& aTicket, const CopyState& aReading);

/// @return the verdict as a counter label.
std::string_view
ToText(ImportVerdict aVerdict);

} // namespace jujubehead::core

#endif // JUJUBEHEAD_CORE_CONTEXT_IMPORT_HPP
