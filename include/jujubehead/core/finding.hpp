#ifndef JUJUBEHEAD_CORE_FINDING_HPP
#define JUJUBEHEAD_CORE_FINDING_HPP

#include <cstddef> // for size_t
#include <span>    // for span
#include <string>  // for string
#include <vector>  // for vector

#include <boost/system/result.hpp> // for result

namespace jujubehead::core {

/// @brief Location of a finding. Row and column 0: the whole file or row.
struct Place
{
  std::string file;       ///< File name, or `flags` / `environment`.
  std::size_t row = 0;    ///< Row, from 1.
  std::size_t column = 0; ///< Column (of a table: the cell), from 1.

  friend bool operator==(const Place&, const Place&) = default;
};

/// @brief One error in an input, and what was expected.
struct Finding
{
  Place place;
  std::string message;  ///< What is wrong.
  std::string expected; ///< The valid form; may be empty.

  friend bool operator==(const Finding&, const Finding&) = default;
};

/// @brief All errors of an input, in the order of their places.
using Findings = std::vector<Finding>;

/// @brief Result of a checked factory function: the value, or all findings.
template<typename T>
using Checked = boost::system::result<T, Findings>;

/// @brief Renders findings for people, one per line.
/// @return lines of the form `file:row:column: message (expected ...)`.
std::string
Render(std::span<const Finding> aFindings);

/// Needed by boost::system::result; Checked::value() on findings throws.
[[noreturn]] void
throw_exception_from_error(const Findings& aFindings,
                           const boost::source_location&);

} // namespace jujubehead::core

#endif // JUJUBEHEAD_CORE_FINDING_HPP
