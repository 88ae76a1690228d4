/// @file
/// Counters, gauges and histograms in the Prometheus text format.
#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <map>
#include <string>

namespace workshatch::metrics {

/// Values by that of one label.
using LabelledCounts = std::map<std::string, uint64_t>;

/// Content type of the format.
inline constexpr const char* kContentType = "text/plain; version=0.0.4";

/// Appends what comes before the values of a metric. @return the metric's full name.
std::string appendMetricHeader(std::string& out, const std::string& name, const std::string& help,
                               const std::string& type);

/// Appends one metric; `name` is without the program's prefix.
void exposeCounter(std::string& out, const std::string& name, const std::string& help,
                   uint64_t value);
void exposeGauge(std::string& out, const std::string& name, const std::string& help, int64_t value);
/// Appends one metric with a value for each value of `label`.
void exposeCounters(std::string& out, const std::string& name, const std::string& help,
                    const std::string& label, const LabelledCounts& values);
void exposeGauges(std::string& out, const std::string& name, const std::string& help,
                  const std::string& label, const LabelledCounts& values);

/// Durations by powers of two of a millisecond. Not safe for concurrent use.
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
