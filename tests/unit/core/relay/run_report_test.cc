/// @file
/// Tests of what a runner's reports show about the end of a run.
#include <cstdint>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include <doctest/doctest.h>

#include "core/relay/run_report.h"

namespace workshatch::test {

using relay::kMaxReportLagMs;
using relay::RunEndEvidence;
using relay::RunnerReport;

namespace {

constexpr int64_t kSentMs = 1000;
constexpr int64_t kBeganMs = 1200;

RunnerReport reportOf(std::vector<std::string> runs, uint32_t queued = 0) {
  const auto running = static_cast<uint32_t>(runs.size());
  return RunnerReport{.queued = queued, .running = running, .runs = std::move(runs)};
}

} // namespace

TEST_CASE("A report that lists the run does not show its end, however often it is asked for") {
  RunEndEvidence evidence("q1", kSentMs, kBeganMs);
  for (int64_t asked_ms = kBeganMs; asked_ms < kBeganMs + 4 * kMaxReportLagMs; asked_ms += 100) {
    CHECK_FALSE(evidence.showsEnd(reportOf({"q0", "q1"}), asked_ms));
  }
}

TEST_CASE("A run that is not listed any more has ended") {
  RunEndEvidence evidence("q1", kSentMs, kBeganMs);
  CHECK_FALSE(evidence.showsEnd(reportOf({"q1"}), kBeganMs + 1));
  CHECK(evidence.showsEnd(reportOf({"q0"}), kBeganMs + 2));
}

TEST_CASE("A report from before the run began does not show its end") {
  RunEndEvidence evidence("q1", kSentMs, kBeganMs);
  CHECK_FALSE(evidence.showsEnd(reportOf({}), kBeganMs + kMaxReportLagMs - 1));
  CHECK(evidence.showsEnd(reportOf({}), kBeganMs + kMaxReportLagMs));
}

TEST_CASE("A request that may wait for its run is not taken for one whose run has ended") {
  RunEndEvidence evidence("q1", kSentMs, std::nullopt);
  const int64_t late_ms = kSentMs + 2 * kMaxReportLagMs;
  CHECK_FALSE(evidence.showsEnd(reportOf({"q0"}, 1), late_ms));
  CHECK_FALSE(evidence.showsEnd(reportOf({"q0"}), kSentMs + kMaxReportLagMs - 1));
  RunnerReport unnamed = reportOf({"q0"});
  unnamed.running = 2;
  CHECK_FALSE(evidence.showsEnd(unnamed, late_ms));
  CHECK(evidence.showsEnd(reportOf({"q0"}), late_ms));
}

} // namespace workshatch::test
