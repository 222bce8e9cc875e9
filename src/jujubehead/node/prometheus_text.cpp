#include "prometheus_text.hpp"

#include <array>    // for array
#include <charconv> // for to_chars
#include <utility>  // for move

namespace jujubehead::node {
namespace {

/// The longest double in this form is its least, with 1074 decimals.
constexpr std::size_t kMaxFixedLetters = 1100;

std::string
NumberText(double aNumber)
{
  std::array<char, kMaxFixedLetters> text{};
  const auto end = std::to_chars(
    text.data(), text.data() + text.size(), aNumber, std::chars_format::fixed);
  return { text.data(), end.ptr };
}

std::string
Escaped(std::string_view aText)
{
  std::string escaped;
  for (const char letter : aText) {
    if (letter == '\n') {
      escaped += "\\n";
      continue;
    }
    if (letter == '\\' || letter == '"') {
      escaped += '\\';
    }
    escaped += letter;
  }
  return escaped;
}

std::string
LabelsText(const std::vector<MetricLabel>& aLabels)
{
  if (aLabels.empty()) {
    return {};
  }
  std::string text;
  for (const MetricLabel& label : aLabels) {
    text += text.empty() ? '{' : ',';
    text += std::string(label.name) + "=\"" + Escaped(label.value) + '"';
  }
  return text + '}';
}

} // namespace

void
PrometheusText::Family(std::string_view aName,
                       std::string_view aType,
                       std::string_view aHelp)
{
  const std::string name(aName);
  m_text += "# HELP " + name + ' ' + std::string(aHelp) + '\n';
  m_text += "# TYPE " + name + ' ' + std::string(aType) + '\n';
}

void
PrometheusText::Value(std::string_view aName,
                      const std::vector<MetricLabel>& aLabels,
                      double aValue)
{
  m_text +=
    std::string(aName) + LabelsText(aLabels) + ' ' + NumberText(aValue) + '\n';
}

void
PrometheusText::Bucket(std::string_view aName,
                       std::string_view aLabelName,
                       std::string_view aLabel,
                       double aBound,
                       std::uint64_t aCount)
{
  const std::string bound = NumberText(aBound);
  Value(std::string(aName) + "_bucket",
        { { aLabelName, aLabel }, { "le", bound } },
        static_cast<double>(aCount));
}

void
PrometheusText::HistogramEnd(std::string_view aName,
                             std::string_view aLabelName,
                             std::string_view aLabel,
                             double aSum,
                             std::uint64_t aCount)
{
  const std::string name(aName);
  const auto count = static_cast<double>(aCount);
  Value(name + "_bucket", { { aLabelName, aLabel }, { "le", "+Inf" } }, count);
  Value(name + "_sum", { { aLabelName, aLabel } }, aSum);
  Value(name + "_count", { { aLabelName, aLabel } }, count);
}

void
PrometheusText::Gauges(std::span<const Gauge> aGauges)
{
  std::string_view family;
  for (const Gauge& gauge : aGauges) {
    if (gauge.name != family) {
      family = gauge.name;
      Family(gauge.name, "gauge", gauge.help);
    }
    std::vector<MetricLabel> labels;
    if (!gauge.label.empty()) {
      labels.push_back({ gauge.label, gauge.label_value });
    }
    Value(gauge.name, labels, gauge.value);
  }
}

std::string
PrometheusText::Take()
{
  return std::move(m_text);
}

} // namespace jujubehead::node
