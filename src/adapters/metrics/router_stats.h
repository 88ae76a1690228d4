/// @file
/// Metrics of the router role. Each counter is declared once, in the list below.
#pragma once

#include <array>
#include <atomic>
#include <cstdint>
#include <string>

namespace workshatch::metrics {

/// Name and HELP text of each counter.
// NOLINTNEXTLINE(cppcoreguidelines-macro-usage): one list for declaration and exposition.
#define WORKSHATCH_ROUTER_COUNTERS(COUNTER)                                                        \
  COUNTER(requests_total, "requests of callers")                                                   \
  COUNTER(answers_completed_total, "requests answered in full")                                    \
  COUNTER(answers_not_run_total, "final refusals of requests that did not run")                    \
  COUNTER(answers_unknown_total, "answers of requests of which it is not known whether they ran")  \
  COUNTER(decisions_total, "routing decisions")                                                    \
  COUNTER(retries_total, "further engines tried after the first")                                  \
  COUNTER(stream_resumes_total, "streams taken up again after a runner broke off")                 \
  COUNTER(permits_local_total, "permits given by this router to itself")                           \
  COUNTER(permits_remote_total, "permits given by other routers")                                  \
  COUNTER(permit_timeouts_total, "owners that did not answer")                                     \
  COUNTER(permit_full_total, "permits refused since the engine was at its limit")                  \
  COUNTER(session_redirects_total, "sessions sent to the engine that holds their cache")           \
  COUNTER(ledger_begins_total, "requests that may not be repeated, begun")                         \
  COUNTER(ledger_replays_total, "resends answered from the ledger")                                \
  COUNTER(lease_renewals_total, "serving leases renewed")                                          \
  COUNTER(lease_failures_total, "renewals that failed")                                            \
  COUNTER(not_serving_total, "requests refused for want of a serving lease")                       \
  COUNTER(cancelled_total, "requests cancelled since the caller hung up")                          \
  COUNTER(limited_total, "requests refused by a tenant's limit")                                   \
  COUNTER(platform_failures_total, "reads of the platform's list that failed")

/// Upper bounds of the histogram buckets, in microseconds.
constexpr std::array<uint64_t, 12> kLatencyBounds = {
    100, 250, 500, 1'000, 2'500, 5'000, 10'000, 25'000, 100'000, 500'000, 1'000'000, 5'000'000};

/// Histogram of latencies. Safe for concurrent use.
class LatencyHistogram {
public:
  void record(uint64_t microseconds);
  /// @return the histogram in the Prometheus text format, in seconds.
  std::string expose(const std::string& name, const std::string& help) const;

private:
  std::array<std::atomic<uint64_t>, kLatencyBounds.size() + 1> counts_{};
  std::atomic<uint64_t> sum_{0};
};

/// All metrics of the router role. Safe for concurrent use.
struct RouterStats {
// NOLINTNEXTLINE(cppcoreguidelines-macro-usage)
#define WORKSHATCH_DECLARE(name, help) std::atomic<uint64_t> name{0};
  WORKSHATCH_ROUTER_COUNTERS(WORKSHATCH_DECLARE)
#undef WORKSHATCH_DECLARE
  LatencyHistogram decision_latency;

  /// @return the counters and the histogram in the Prometheus text format.
  std::string expose() const;
};

/// @return a gauge in the Prometheus text format.
std::string exposeGauge(const std::string& name, const std::string& help, uint64_t value);

} // namespace workshatch::metrics
