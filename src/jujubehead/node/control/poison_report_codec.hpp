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
/// @param aEarliest, aLatest when they were sent, by the reader's clock.
/// Crashes are dated by the latter, which is off by one transit only; answers
/// by the former, as an answer that comes back must not seem a newer one.
/// @throws std::exception on malformed bytes.
std::vector<core::PoisonReport>
PoisonReportsFromBytes(std::string_view aBytes,
                       core::Instant aEarliest,
                       core::Instant aLatest);

} // namespace jujubehead::node

#endif // JUJUBEHEAD_NODE_CONTROL_POISON_REPORT_CODEC_HPP
