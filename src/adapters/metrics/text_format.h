/// @file
/// Output of counters, gauges and histograms in the Prometheus text format.
#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <map>
#include <string>

namespace workshatch::metrics {

/// Values of a metric by the value of its label.
using LabelledCounts = std::map<std::string, uint64_t>;

/// Content type of the Prometheus text format.
inline constexpr const char* kContentType = "text/plain; version=0.0.4";

/// Appends the HELP and TYPE lines of a metric.
/// @return the full name of the metric, with the prefix of the program.
std::string appendMetricHeader(std::string& out, const std::string& name, const std::string& help,
                               const std::string& type);

/// Appends a metric. `name` is without the prefix of the program.
void exposeCounter(std::string& out, const std::string& name, const std::string& help,
                   uint64_t value);
void exposeGauge(std::string& out, const std::string& name, const std::string& help, int64_t value);
/// Appends a metric with one value for each value of `label`.
void exposeCounters(std::string& out, const std::string& name, const std::string& help,
                    const std::string& label, const LabelledCounts& values);
void exposeGauges(std::string& out, const std::string& name, const std::string& help,
                  const std::string& label, const LabelledCounts& values);

/// Histogram of durations in milliseconds, with powers of two as bucket bounds. Not safe for
/// concurrent use.
class DurationHistogram {
public:
  void add(int64_t milliseconds);
  void expose(std::string& out, const std::string& name, const std::string& help) const;

private:
  static constexpr size_t kBuckets = 16;

  std::array<uint64_t, kBuckets> counts_{};
  uint64_t total_ = 0;
  int64_t sum_ms_ = 0;
};

} // namespace workshatch::metrics
