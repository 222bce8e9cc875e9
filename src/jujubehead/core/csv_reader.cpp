#include "jujubehead/core/csv_reader.hpp"

#include <algorithm> // for count
#include <new>       // for bad_alloc
#include <vector>    // for vector

#include <csv.h> // for csv_parse

namespace jujubehead::core::detail {
namespace {

constexpr std::string_view kByteOrderMark = "\xEF\xBB\xBF";

/// Collects the callbacks of libcsv into rows.
class Reader
{
public:
  explicit Reader(const OnCsvRow& aOnRow)
    : m_on_row(aOnRow)
  {
    constexpr unsigned char kOptions =
      CSV_STRICT | CSV_STRICT_FINI | CSV_REPALL_NL;
    if (csv_init(&m_parser, kOptions) != 0) {
      throw std::bad_alloc();
    }
  }
  ~Reader() { csv_free(&m_parser); }
  Reader(const Reader&) = delete;
  Reader& operator=(const Reader&) = delete;

  std::optional<CsvError> Read(std::string_view aText)
  {
    const std::size_t read = csv_parse(
      &m_parser, aText.data(), aText.size(), &Reader::Cell, &Reader::End, this);
    if (read != aText.size() ||
        csv_fini(&m_parser, &Reader::Cell, &Reader::End, this) != 0) {
      return CsvError{ m_line, csv_strerror(csv_error(&m_parser)) };
    }
    return std::nullopt;
  }

private:
  static void Cell(void* aText, std::size_t aSize, void* aSelf)
  {
    auto& self = *static_cast<Reader*>(aSelf);
    const auto* text = static_cast<const char*>(aText);
    self.m_cells.emplace_back(text == nullptr ? "" : text, aSize);
  }

  static void End(int aTerminator, void* aSelf)
  {
    auto& self = *static_cast<Reader*>(aSelf);
    self.FinishRow();
    if (aTerminator == '\n') {
      ++self.m_line;
    }
  }

  void FinishRow()
  {
    if (m_cells.empty()) {
      return;
    }
    m_on_row(m_line, m_cells);
    for (const std::string& cell : m_cells) {
      m_line +=
        static_cast<std::size_t>(std::count(cell.begin(), cell.end(), '\n'));
    }
    m_cells.clear();
  }

  const OnCsvRow& m_on_row;
  csv_parser m_parser{};
  std::vector<std::string> m_cells;
  std::size_t m_line = 1;
};

} // namespace

std::optional<CsvError>
ReadCsv(std::string_view aText, const OnCsvRow& aOnRow)
{
  if (aText.starts_with(kByteOrderMark)) {
    aText.remove_prefix(kByteOrderMark.size());
  }
  return Reader(aOnRow).Read(aText);
}

std::string
CsvCell(std::string_view aCell)
{
  if (aCell.find_first_of(",\"\r\n") == std::string_view::npos &&
      aCell.find(' ') == std::string_view::npos) {
    return std::string(aCell);
  }
  std::string quoted(aCell.size() * 2 + 2, '\0');
  quoted.resize(
    csv_write(quoted.data(), quoted.size(), aCell.data(), aCell.size()));
  return quoted;
}

} // namespace jujubehead::core::detail
