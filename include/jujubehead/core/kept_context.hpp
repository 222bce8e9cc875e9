#ifndef JUJUBEHEAD_CORE_KEPT_CONTEXT_HPP
#define JUJUBEHEAD_CORE_KEPT_CONTEXT_HPP

#include <cstdint>     // for uint32_t, uint64_t
#include <optional>    // for optional
#include <span>        // for span
#include <string>      // for string
#include <string_view> // for string_view
#include <vector>      // for vector

#include "jujubehead/core/context_key.hpp" // for ContextKey
#include "jujubehead/core/directory.hpp"   // for CopyName

namespace jujubehead::core {

/// @brief Gives out generations that are never given out again.
///
/// The epoch of the store's ownership is the high half, so that two owners of
/// one store can't give out the same.
class GenerationSource
{
public:
  explicit GenerationSource(std::uint32_t aEpoch);
  /// @return a generation above all that this source has given out.
  std::uint64_t Next();

private:
  std::uint64_t m_last;
};

/// @return the handle under which a copy of these blocks is kept: the name of
/// the last block, which stands for scope, text and length.
std::string
HandleOf(std::span<const ContextKey> aKeys);

/// @brief What was true of a copy when an import of it was chosen.
struct ImportTicket
{
  CopyName copy;
  std::string salt;             ///< Of the request's scope.
  std::vector<ContextKey> keys; ///< The blocks that the request will use.
};

/// @brief What a store says of a copy.
struct CopyReading
{
  CopyName copy;
  bool committed = false;
  std::string salt;
  std::vector<ContextKey> keys;
  std::uint64_t bytes = 0;      ///< Size at the commit.
  std::uint64_t bytes_read = 0; ///< What has arrived.
};

enum class ImportVerdict
{
  kAccept,
  kOtherGeneration, ///< Freed, and perhaps written anew, since it was chosen.
  kUncommitted,     ///< Only partly written.
  kOtherScope,      ///< Another account's, model's, version's or adapter's.
  kOtherBlocks,     ///< Not the prompt's blocks, or fewer of them.
  kTruncated,       ///< Not all of its bytes have arrived.
};

/// @brief Chooses a copy for a request, before the first byte is read.
///
/// A copy that is still being written must not even be opened: blocks read
/// early would be older than the commit that vouches for them later.
/// @param aReading what the store says now; its bytes_read is not looked at.
/// @return the ticket to check again at the use; nothing when the copy is not
/// committed or holds none of the request's blocks.
std::optional<ImportTicket>
ChooseImport(const CopyReading& aReading,
             std::string aSalt,
             std::span<const ContextKey> aKeys);

/// @brief Checks at its use that what an import was chosen for is still true.
///
/// To be asked after the last byte has been read, with what the store says
/// then: a copy that was freed while it was being read is refused too.
/// @return kAccept when the blocks may go into an answer.
ImportVerdict
CheckImport(const ImportTicket& aTicket, const CopyReading& aReading);

/// @return the verdict as one word, for counters.
std::string_view
ToText(ImportVerdict aVerdict);

} // namespace jujubehead::core

#endif // JUJUBEHEAD_CORE_KEPT_CONTEXT_HPP
