#ifndef JUJUBEHEAD_CORE_CONTEXT_KEY_HPP
#define JUJUBEHEAD_CORE_CONTEXT_KEY_HPP

#include <array>       // for array
#include <compare>     // for strong_ordering
#include <cstddef>     // for size_t
#include <cstdint>     // for uint8_t
#include <cstring>     // for memcpy
#include <functional>  // for hash
#include <optional>    // for optional
#include <string>      // for string
#include <string_view> // for string_view
#include <vector>      // for vector

#include "jujubehead/core/ids.hpp" // for AccountId, ModelId

namespace jujubehead::core {

/// Default bytes of prompt text in a block.
inline constexpr std::size_t kDefaultBlockBytes = 1024;

/// @brief Everything besides the text that cached blocks depend on. Contexts of
/// two scopes share no key, whatever their text.
struct ContextScope
{
  AccountId account;
  ModelId model;
  std::string version; ///< Weight version.
  std::string adapter; ///< Adapter; empty when none.

  friend bool operator==(const ContextScope&, const ContextScope&) = default;
};

/// @brief Identifies one block of a prompt together with all before it.
///
/// 128 bits of a SHA-256 chain that starts from the scope: equal keys mean
/// equal scope and equal text from the first byte to the end of the block.
class ContextKey
{
public:
  static constexpr std::size_t kBytes = 16;
  using Bytes = std::array<std::uint8_t, kBytes>;

  ContextKey() = default;
  explicit ContextKey(const Bytes& aBytes)
    : m_bytes(aBytes)
  {
  }

  /// @return the key of 32 lower-case hex digits; nothing for other text.
  [[nodiscard]] static std::optional<ContextKey> FromHex(
    std::string_view aText);
  /// @return 32 lower-case hex digits.
  [[nodiscard]] std::string Hex() const;
  [[nodiscard]] const Bytes& Raw() const { return m_bytes; }

  friend bool operator==(const ContextKey&, const ContextKey&) = default;
  // NOLINTNEXTLINE(modernize-use-nullptr)
  friend auto operator<=>(const ContextKey&, const ContextKey&) = default;

private:
  Bytes m_bytes{};
};

/// @brief Computes the keys of a prompt's blocks.
/// @param aBlockBytes size of a block in bytes; above 0.
/// @return one key for each full block, in order. A partial last block has
/// none, as it can't be distinguished from the start of a longer one.
/// @throws std::invalid_argument when aBlockBytes is 0.
std::vector<ContextKey>
ChainKeys(const ContextScope& aScope,
          std::string_view aPrompt,
          std::size_t aBlockBytes = kDefaultBlockBytes);

/// @return 32 hex digits that differ between any two scopes. Engines and stores
/// save them with the blocks and compare them before they return blocks.
std::string
Salt(const ContextScope& aScope);

} // namespace jujubehead::core

template<>
struct std::hash<jujubehead::core::ContextKey>
{
  std::size_t operator()(
    const jujubehead::core::ContextKey& aKey) const noexcept
  {
    // The bytes are uniform already, so the first ones serve as the hash.
    std::size_t value = 0;
    std::memcpy(&value, aKey.Raw().data(), sizeof value);
    return value;
  }
};

#endif // JUJUBEHEAD_CORE_CONTEXT_KEY_HPP
