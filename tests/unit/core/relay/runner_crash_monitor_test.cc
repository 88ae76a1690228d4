/// @file
/// Detection of runner crashes at a relay, and the requests that it reports.
#include <doctest/doctest.h>

#include "core/relay/runner_crash_monitor.h"
#include "core/relay/runner_crash_times.h"

namespace workshatch::test {

namespace {

using relay::RequestIdentity;
using relay::RunnerCrashMonitor;
using AfterDisconnect = RunnerCrashMonitor::AfterDisconnect;

constexpr uint64_t kRunner = 7;

RequestIdentity identity(uint64_t content) {
  return RequestIdentity{.caller = 1, .content = content};
}

RunnerCrashMonitor::PresentRequest request(uint64_t content) {
  return RunnerCrashMonitor::PresentRequest{.request = identity(content)};
}

int reportsIn(RunnerCrashMonitor& monitor, bool first_on_link, int64_t now_ms) {
  v1::LeaseRenewal renewal;
  monitor.fill(renewal, first_on_link, now_ms);
  return renewal.runner_ends_size();
}

} // namespace

TEST_CASE("A disconnect is reported once the runner's address refuses connections") {
  RunnerCrashMonitor monitor;
  CHECK(monitor.recordDisconnect(kRunner, request(1), 1000) == AfterDisconnect::Probe);
  CHECK(monitor.recordDisconnect(kRunner, request(2), 1001) == AfterDisconnect::Nothing);
  CHECK(reportsIn(monitor, false, 1002) == 0);
  CHECK(monitor.recordConnectionRefused(kRunner, 1003));
  // The disconnect of a third request is detected a moment later.
  CHECK(monitor.recordDisconnect(kRunner, request(3), 1010) == AfterDisconnect::Report);
  v1::LeaseRenewal renewal;
  monitor.fill(renewal, false, 1100);
  REQUIRE(renewal.runner_ends_size() == 3);
  CHECK(renewal.runner_ends(0).runner() == kRunner);
  CHECK(renewal.runner_ends(0).age_ms() == 100);
  CHECK(renewal.runner_ends(2).request().content() == 3);
}

TEST_CASE("A runner that breaks off a response and keeps listening has not crashed") {
  RunnerCrashMonitor monitor;
  CHECK(monitor.recordDisconnect(kRunner, request(1), 1000) == AfterDisconnect::Probe);
  monitor.recordListening(kRunner);
  // A later connection is refused because of a planned restart.
  CHECK_FALSE(monitor.recordConnectionRefused(kRunner, 1400));
  CHECK(reportsIn(monitor, true, 1500) == 0);
}

TEST_CASE("A refused connection long after a disconnect belongs to another event") {
  RunnerCrashMonitor monitor;
  monitor.recordDisconnect(kRunner, request(1), 1000);
  CHECK_FALSE(monitor.recordConnectionRefused(kRunner, 2500));
  CHECK(monitor.recordDisconnect(kRunner, request(2), 4000) == AfterDisconnect::Probe);
}

TEST_CASE("A runner that repeatedly breaks off responses is probed at a limited rate") {
  RunnerCrashMonitor monitor;
  int probes = 0;
  for (int64_t now_ms = 1000; now_ms < 6000; now_ms += 10) {
    probes += monitor.recordDisconnect(kRunner, request(static_cast<uint64_t>(now_ms)), now_ms) ==
              AfterDisconnect::Probe;
    monitor.recordListening(kRunner);
  }
  CHECK(probes <= 11);
}

TEST_CASE("A report is sent once on a link, and again on the next one") {
  RunnerCrashMonitor monitor;
  monitor.recordDisconnect(kRunner, request(1), 1000);
  monitor.recordConnectionRefused(kRunner, 1001);
  CHECK(reportsIn(monitor, false, 1100) == 1);
  CHECK(reportsIn(monitor, false, 1200) == 0);
  CHECK(reportsIn(monitor, true, 1300) == 1);
  CHECK(reportsIn(monitor, true, 1000 + relay::kCrashWindowMs) == 0);
}

TEST_CASE("A request that completed recently is not reported") {
  RunnerCrashMonitor monitor;
  monitor.recordCompleted(identity(1), 1000);
  CHECK(monitor.recordDisconnect(kRunner, request(1), 20'000) == AfterDisconnect::Nothing);
  monitor.recordConnectionRefused(kRunner, 20'001);
  CHECK(reportsIn(monitor, true, 20'002) == 0);
  CHECK(monitor.recordDisconnect(8, request(1), 100'000) == AfterDisconnect::Probe);
}

TEST_CASE("The memory for completed requests and for reports is bounded") {
  RunnerCrashMonitor monitor;
  for (uint64_t content = 1; content <= 20'000; ++content) {
    monitor.recordCompleted(identity(content), 1000);
    monitor.recordDisconnect(kRunner, request(1'000'000 + content), 1000);
  }
  CHECK(monitor.completedRecently(identity(20'000), 1000));
  CHECK_FALSE(monitor.completedRecently(identity(1), 1000));
  monitor.recordConnectionRefused(kRunner, 1001);
  CHECK(reportsIn(monitor, true, 1002) <= 256);
}

} // namespace workshatch::test
