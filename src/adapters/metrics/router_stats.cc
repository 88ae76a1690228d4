#include "adapters/metrics/router_stats.h"

#include <algorithm>

#include "adapters/metrics/text_format.h"

namespace workshatch::metrics {

namespace {

constexpr double kMicrosPerSecond = 1e6;

std::string seconds(uint64_t microseconds) {
  return std::to_string(static_cast<double>(microseconds) / kMicrosPerSecond);
}

} // namespace

void LatencyHistogram::record(uint64_t microseconds) {
  const auto bound = std::lower_bound(kLatencyBounds.begin(), kLatencyBounds.end(), microseconds);
  ++counts_[static_cast<size_t>(bound - kLatencyBounds.begin())];
  sum_ += microseconds;
}

std::string LatencyHistogram::expose(const std::string& name, const std::string& help) const {
  std::string text;
  const std::string full_name = appendMetricHeader(text, name, help, "histogram");
  uint64_t cumulative = 0;
  for (size_t i = 0; i < counts_.size(); ++i) {
    cumulative += counts_[i].load();
    const std::string bound = i < kLatencyBounds.size() ? seconds(kLatencyBounds[i]) : "+Inf";
    text += full_name + "_bucket{le=\"" + bound + "\"} " + std::to_string(cumulative) + "\n";
  }
  text += full_name + "_sum " + seconds(sum_.load()) + "\n";
  text += full_name + "_count " + std::to_string(cumulative) + "\n";
  return text;
}

std::string RouterStats::expose() const {
  std::string text;
// NOLINTNEXTLINE(cppcoreguidelines-macro-usage)
#define WORKSHATCH_EXPOSE(name, help) exposeCounter(text, #name, help, name.load());
  WORKSHATCH_ROUTER_COUNTERS(WORKSHATCH_EXPOSE)
#undef WORKSHATCH_EXPOSE
  text += decision_latency.expose("decision_seconds", "time from request to chosen engine");
  return text;
}

std::string exposeGauge(const std::string& name, const std::string& help, uint64_t value) {
  std::string text;
  exposeGauge(text, name, help, static_cast<int64_t>(value));
  return text;
}

} // namespace workshatch::metrics
