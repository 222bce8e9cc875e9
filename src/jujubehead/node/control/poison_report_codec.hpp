#ifndef JUJUBEHEAD_NODE_CONTROL_POISON_REPORT_CODEC_HPP
#define JUJUBEHEAD_NODE_CONTROL_POISON_REPORT_CODEC_HPP

#include <string>      // for string
#include <string_view> // for string_view
#include <vector>      // for vector

#include "jujubehead/core/routing/poison_requests.hpp" // for PoisonReport
#include "jujubehead/core/runtime_clock.hpp"           // for Instant

namespace jujubehead::node {

/// @brief Encodes reports about suspects as CBOR, with the ages of their times,
/// and decodes them.
std::string
PoisonReportsToBytes(const std::vector<core::PoisonReport>& aReports,
                     core::Instant aNow);
/// @param aSentAt assumed time of sending, by the reader's clock.
/// @throws std::exception on malformed bytes.
std::vector<core::PoisonReport>
PoisonReportsFromBytes(std::string_view aBytes, core::Instant aSentAt);

} // namespace jujubehead::node

#endif // JUJUBEHEAD_NODE_CONTROL_POISON_REPORT_CODEC_HPP
