/// @file
/// Tests of metrics in the Prometheus text format.
#include <string>

#include <doctest/doctest.h>

#include "adapters/metrics/text_format.h"

namespace workshatch::test {

TEST_CASE("Counters and gauges are exposed with their type, with and without labels") {
  std::string out;
  metrics::exposeCounter(out, "events_total", "events", 7);
  metrics::exposeGauge(out, "age_ms", "age", -1);
  metrics::exposeGauges(out, "load", "load", "runner", {{"a", 1}, {"b", 2}});
  CHECK(out == "# HELP workshatch_events_total events\n# TYPE workshatch_events_total counter\n"
               "workshatch_events_total 7\n"
               "# HELP workshatch_age_ms age\n# TYPE workshatch_age_ms gauge\n"
               "workshatch_age_ms -1\n"
               "# HELP workshatch_load load\n# TYPE workshatch_load gauge\n"
               "workshatch_load{runner=\"a\"} 1\nworkshatch_load{runner=\"b\"} 2\n");
}

TEST_CASE("Histogram buckets are cumulative, and the longest durations count in +Inf only") {
  metrics::DurationHistogram histogram;
  for (const int64_t milliseconds : {0, 1, 3, 1'000'000}) {
    histogram.add(milliseconds);
  }
  std::string out;
  histogram.expose(out, "d", "durations");
  CHECK(out.find("workshatch_d_bucket{le=\"0\"} 1\n") != std::string::npos);
  CHECK(out.find("workshatch_d_bucket{le=\"3\"} 3\n") != std::string::npos);
  CHECK(out.find("workshatch_d_bucket{le=\"+Inf\"} 4\n") != std::string::npos);
  CHECK(out.find("workshatch_d_sum 1000004\n") != std::string::npos);
}

} // namespace workshatch::test
