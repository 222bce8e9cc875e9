#ifndef JUJUBEHEAD_CORE_BASE64URL_HPP
#define JUJUBEHEAD_CORE_BASE64URL_HPP

#include <cstdint>     // for uint8_t
#include <span>        // for span
#include <string>      // for string
#include <string_view> // for string_view

namespace jujubehead::core {

/// @return the bytes in the URL-safe base64 letters, without padding.
std::string
ToBase64Url(std::span<const std::uint8_t> aBytes);

/// @return whether the text has only letters of that kind, and any.
bool
IsBase64Url(std::string_view aText);

} // namespace jujubehead::core

#endif // JUJUBEHEAD_CORE_BASE64URL_HPP
