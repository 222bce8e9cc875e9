#ifndef JUJUBEHEAD_APP_TABLE_FILE_HPP
#define JUJUBEHEAD_APP_TABLE_FILE_HPP

#include <string> // for string

#include "jujubehead/core/table.hpp" // for Table

namespace jujubehead::app {

/// @return the table in that file, or every finding about it.
core::Checked<core::Table>
ReadTableFile(const std::string& aFile);

} // namespace jujubehead::app

#endif // JUJUBEHEAD_APP_TABLE_FILE_HPP
