#include "adapters/metrics/text_format.h"

#include <algorithm>
#include <bit>

namespace workshatch::metrics {

namespace {

constexpr const char* kPrefix = "workshatch_";

void appendLabelled(std::string& out, const std::string& full_name, const std::string& label,
                    const LabelledCounts& values) {
  for (const auto& [value, count] : values) {
    out += full_name + "{" + label + "=\"" + value + "\"} " + std::to_string(count) + "\n";
  }
}

} // namespace

std::string appendMetricHeader(std::string& out, const std::string& name, const std::string& help,
                               const std::string& type) {
  std::string full_name = kPrefix + name;
  out += "# HELP " + full_name + " " + help + "\n# TYPE " + full_name + " " + type + "\n";
  return full_name;
}

void exposeCounter(std::string& out, const std::string& name, const std::string& help,
                   uint64_t value) {
  const std::string full_name = appendMetricHeader(out, name, help, "counter");
  out += full_name + " " + std::to_string(value) + "\n";
}

void exposeGauge(std::string& out, const std::string& name, const std::string& help,
                 int64_t value) {
  const std::string full_name = appendMetricHeader(out, name, help, "gauge");
  out += full_name + " " + std::to_string(value) + "\n";
}

void exposeCounters(std::string& out, const std::string& name, const std::string& help,
                    const std::string& label, const LabelledCounts& values) {
  appendLabelled(out, appendMetricHeader(out, name, help, "counter"), label, values);
}

void exposeGauges(std::string& out, const std::string& name, const std::string& help,
                  const std::string& label, const LabelledCounts& values) {
  appendLabelled(out, appendMetricHeader(out, name, help, "gauge"), label, values);
}

void DurationHistogram::add(int64_t milliseconds) {
  const auto value = static_cast<uint64_t>(std::max<int64_t>(milliseconds, 0));
  const size_t bucket = std::min<size_t>(std::bit_width(value), kBuckets - 1);
  ++counts_[bucket];
  ++total_;
  sum_ms_ += static_cast<int64_t>(value);
}

void DurationHistogram::expose(std::string& out, const std::string& name,
                               const std::string& help) const {
  const std::string full_name = appendMetricHeader(out, name, help, "histogram");
  uint64_t cumulative = 0;
  for (size_t bucket = 0; bucket + 1 < kBuckets; ++bucket) {
    cumulative += counts_[bucket];
    const uint64_t bound = (uint64_t{1} << bucket) - 1;
    out += full_name + "_bucket{le=\"" + std::to_string(bound) + "\"} " +
           std::to_string(cumulative) + "\n";
  }
  out += full_name + "_bucket{le=\"+Inf\"} " + std::to_string(total_) + "\n";
  out += full_name + "_sum " + std::to_string(sum_ms_) + "\n";
  out += full_name + "_count " + std::to_string(total_) + "\n";
}

} // namespace workshatch::metrics
