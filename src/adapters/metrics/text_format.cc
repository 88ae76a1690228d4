#include "adapters/metrics/text_format.h"

#include <algorithm>
#include <bit>

namespace workshatch::metrics {

namespace {

constexpr const char* kPrefix = "workshatch_";

void appendLabelled(std::string& out, const std::string& full, const std::string& label,
                    const LabelledCounts& values) {
  for (const auto& [value, count] : values) {
    out += full + "{" + label + "=\"" + value + "\"} " + std::to_string(count) + "\n";
  }
}

} // namespace

std::string beginMetric(std::string& out, const std::string& name, const std::string& help,
                        const std::string& type) {
  std::string full = kPrefix + name;
  out += "# HELP " + full + " " + help + "\n# TYPE " + full + " " + type + "\n";
  return full;
}

void exposeCounter(std::string& out, const std::string& name, const std::string& help,
                   uint64_t value) {
  const std::string full = beginMetric(out, name, help, "counter");
  out += full + " " + std::to_string(value) + "\n";
}

void exposeGauge(std::string& out, const std::string& name, const std::string& help,
                 int64_t value) {
  const std::string full = beginMetric(out, name, help, "gauge");
  out += full + " " + std::to_string(value) + "\n";
}

void exposeCounters(std::string& out, const std::string& name, const std::string& help,
                    const std::string& label, const LabelledCounts& values) {
  appendLabelled(out, beginMetric(out, name, help, "counter"), label, values);
}

void exposeGauges(std::string& out, const std::string& name, const std::string& help,
                  const std::string& label, const LabelledCounts& values) {
  appendLabelled(out, beginMetric(out, name, help, "gauge"), label, values);
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
  const std::string full = beginMetric(out, name, help, "histogram");
  uint64_t below = 0;
  for (size_t bucket = 0; bucket + 1 < kBuckets; ++bucket) {
    below += counts_[bucket];
    const uint64_t bound = (uint64_t{1} << bucket) - 1;
    out += full + "_bucket{le=\"" + std::to_string(bound) + "\"} " + std::to_string(below) + "\n";
  }
  out += full + "_bucket{le=\"+Inf\"} " + std::to_string(total_) + "\n";
  out += full + "_sum " + std::to_string(sum_ms_) + "\n";
  out += full + "_count " + std::to_string(total_) + "\n";
}

} // namespace workshatch::metrics
