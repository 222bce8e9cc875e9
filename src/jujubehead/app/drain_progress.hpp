#ifndef JUJUBEHEAD_APP_DRAIN_PROGRESS_HPP
#define JUJUBEHEAD_APP_DRAIN_PROGRESS_HPP

#include <cstdint> // for uint64_t
#include <span>    // for span
#include <string>  // for string
#include <vector>  // for vector

#include "instance_reports.hpp"           // for InstanceReport
#include "jujubehead/core/change_log.hpp" // for StopSubject

namespace jujubehead::app {

/// @return what a planned stop still waits for, one reason each; none: it is
/// over. Only what instances say counts: one that does not answer, or does not
/// know of the stop yet, is a reason too.
/// @param aVersion of the table that has the stop mark.
std::vector<std::string>
WaitsFor(const core::StopSubject& aSubject,
         std::uint64_t aVersion,
         std::span<const InstanceReport> aReports);

} // namespace jujubehead::app

#endif // JUJUBEHEAD_APP_DRAIN_PROGRESS_HPP
