#ifndef JUJUBEHEAD_WIRE_CODEC_HPP
#define JUJUBEHEAD_WIRE_CODEC_HPP

#include <cstdint>   // for uint8_t
#include <span>      // for span
#include <stdexcept> // for runtime_error
#include <vector>    // for vector

#include "jujubehead/wire/messages.hpp" // for Envelope

namespace jujubehead::wire {

/// @brief Thrown when bytes do not decode to an Envelope.
class DecodeError : public std::runtime_error
{
public:
  using std::runtime_error::runtime_error;
};

/// @brief Encodes an envelope as CBOR: `[type, call, is_reply, [fields...]]`.
std::vector<std::uint8_t>
Encode(const Envelope& aEnvelope);

/// @brief Decodes the output of Encode().
/// @throws DecodeError on malformed input; never reads past `aBytes`.
Envelope
Decode(std::span<const std::uint8_t> aBytes);

} // namespace jujubehead::wire

#endif // JUJUBEHEAD_WIRE_CODEC_HPP
