#ifndef JUJUBEHEAD_CORE_BASE64URL_HPP
#define JUJUBEHEAD_CORE_BASE64URL_HPP

#include <cstdint>     // for uint8_t
#include <span>        // for span
#include <string>      // for string
#include <string_view> // for string_view

namespace jujubehead::core {

/// @return the bytes in URL-safe base64, without padding.
std::string
ToBase64Url(std::span<const std::uint8_t> aBytes);

/// @return whether the text is not empty and has only URL-safe base64
/// characters.
bool
IsBase64Url(std::string_view aText);

} // namespace jujubehead::core

#endif // JUJUBEHEAD_CORE_BASE64URL_HPP
