#ifndef JUJUBEHEAD_APP_VERSION_HPP
#define JUJUBEHEAD_APP_VERSION_HPP

#include <string_view> // for string_view

namespace jujubehead::app {

/// The program's version, as the build names it.
inline constexpr std::string_view kVersion = JUJUBEHEAD_VERSION;

} // namespace jujubehead::app

#endif // JUJUBEHEAD_APP_VERSION_HPP
