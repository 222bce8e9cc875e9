#ifndef JUJUBEHEAD_NET_RANDOM_TEXT_HPP
#define JUJUBEHEAD_NET_RANDOM_TEXT_HPP

#include <cstddef> // for size_t
#include <string>  // for string

namespace jujubehead::net {

/// @return that many random bytes as base64url text, fit for secrets and
/// unique tokens. @throws std::runtime_error when the random source fails.
std::string
RandomText(std::size_t aBytes);

} // namespace jujubehead::net

#endif // JUJUBEHEAD_NET_RANDOM_TEXT_HPP
