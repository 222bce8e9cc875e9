#include "jujubehead/core/finding.hpp"

#include <stdexcept> // for invalid_argument

namespace jujubehead::core {
namespace {

std::string
RenderPlace(const Place& aPlace)
{
  std::string text = aPlace.file;
  if (aPlace.row != 0) {
    text += ':' + std::to_string(aPlace.row);
  }
  if (aPlace.column != 0) {
    text += ':' + std::to_string(aPlace.column);
  }
  return text;
}

} // namespace

std::string
Render(std::span<const Finding> aFindings)
{
  std::string text;
  for (const Finding& finding : aFindings) {
    text += RenderPlace(finding.place) + ": " + finding.message;
    if (!finding.expected.empty()) {
      text += " (expected " + finding.expected + ")";
    }
    text += '\n';
  }
  return text;
}

void
throw_exception_from_error(const Findings& aFindings,
                           const boost::source_location& /*aWhere*/)
{
  throw std::invalid_argument(Render(aFindings));
}

} // namespace jujubehead::core
