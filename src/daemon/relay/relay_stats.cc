#include "daemon/relay/relay_stats.h"

#include <algorithm>
#include <bit>

#include "adapters/logging/line_log.h"

namespace workshatch::daemon {

namespace {

constexpr const char* kPrefix = "workshatch_relay_";

void exposeCounter(std::string& out, const std::string& name, const std::string& help,
                   uint64_t value) {
  const std::string full = kPrefix + name;
  out += "# HELP " + full + " " + help + "\n# TYPE " + full + " counter\n" + full + " " +
         std::to_string(value) + "\n";
}

void exposeByOutcome(std::string& out, const std::string& name, const std::string& help,
                     const std::map<std::string, uint64_t>& values) {
  const std::string full = kPrefix + name;
  out += "# HELP " + full + " " + help + "\n# TYPE " + full + " counter\n";
  for (const auto& [outcome, count] : values) {
    out += full + "{outcome=\"" + outcome + "\"} " + std::to_string(count) + "\n";
  }
}

} // namespace

void DurationHistogram::add(int64_t milliseconds) {
  const auto value = static_cast<uint64_t>(std::max<int64_t>(milliseconds, 0));
  const size_t bucket = std::min<size_t>(std::bit_width(value), kBuckets - 1);
  ++counts_[bucket];
  ++total_;
  sum_ms_ += static_cast<int64_t>(value);
}

void DurationHistogram::expose(std::string& out, const std::string& name,
                               const std::string& help) const {
  const std::string full = kPrefix + name;
  out += "# HELP " + full + " " + help + "\n# TYPE " + full + " histogram\n";
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

std::string RelayStats::expose() const {
  std::string out;
  exposeByOutcome(out, "requests_total", "requests by outcome", outcomes);
  exposeByOutcome(out, "attempts_total", "attempts at runners by outcome", attempts);
  exposeCounter(out, "repeats_total", "attempts beyond the first of a request", repeats);
  exposeCounter(out, "repeats_refused_total", "repeats that the budget did not allow",
                repeats_refused);
  exposeCounter(out, "resumed_streams_total", "streams that went on at another runner",
                resumed_streams);
  exposeCounter(out, "events_total", "events relayed", events);
  exposeCounter(out, "renewals_total", "lease renewals sent", renewals);
  exposeCounter(out, "dropped_log_lines_total", "log lines dropped", line_log::droppedLines());
  first_event.expose(out, "first_event_ms", "time to the first event of a stream");
  event_gap.expose(out, "event_gap_ms", "pause between events of a stream");
  answer.expose(out, "answer_ms", "time to a whole answer that is no stream");
  return out;
}

} // namespace workshatch::daemon
