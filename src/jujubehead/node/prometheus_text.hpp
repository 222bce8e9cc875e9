#ifndef JUJUBEHEAD_NODE_PROMETHEUS_TEXT_HPP
#define JUJUBEHEAD_NODE_PROMETHEUS_TEXT_HPP

#include <cstdint>     // for uint64_t
#include <span>        // for span
#include <string>      // for string
#include <string_view> // for string_view
#include <vector>      // for vector

#include "jujubehead/node/metrics.hpp" // for Gauge

namespace jujubehead::node {

/// @brief One label of a sample.
struct MetricLabel
{
  std::string_view name;
  std::string_view value;
};

/// @brief Writes the Prometheus text exposition format, version 0.0.4.
class PrometheusText
{
public:
  /// @brief Begins a metric family; its samples follow.
  void Family(std::string_view aName,
              std::string_view aType,
              std::string_view aHelp);
  void Value(std::string_view aName,
             const std::vector<MetricLabel>& aLabels,
             double aValue);
  /// @brief A bucket of a histogram; `aCount` is of all up to this bound.
  void Bucket(std::string_view aName,
              std::string_view aLabelName,
              std::string_view aLabel,
              double aBound,
              std::uint64_t aCount);
  /// @brief The last bucket, sum and count of a histogram.
  void HistogramEnd(std::string_view aName,
                    std::string_view aLabelName,
                    std::string_view aLabel,
                    double aSum,
                    std::uint64_t aCount);
  /// @brief Gauges; those of one name must stand together.
  void Gauges(std::span<const Gauge> aGauges);

  [[nodiscard]] std::string Take();

private:
  std::string m_text;
};

} // namespace jujubehead::node

#endif // JUJUBEHEAD_NODE_PROMETHEUS_TEXT_HPP
