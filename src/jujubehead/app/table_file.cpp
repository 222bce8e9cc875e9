#include "table_file.hpp"

#include <fstream> // for ifstream
#include <sstream> // for ostringstream

namespace jujubehead::app {

core::Checked<core::Table>
ReadTableFile(const std::string& aFile)
{
  std::ifstream file(aFile, std::ios::binary);
  std::ostringstream text;
  if (!file || (file.peek() != std::ifstream::traits_type::eof() &&
                !(text << file.rdbuf()))) {
    return core::Findings{
      { core::Place{ aFile, 0, 0 }, "cannot be read", "a table as CSV" }
    };
  }
  return core::Table::FromCsv(aFile, text.str());
}

} // namespace jujubehead::app
