/// @file
/// What a relay takes for the end of a runner, and which requests it reports.
#include <doctest/doctest.h>

#include "core/relay/runner_end_times.h"
#include "core/relay/runner_end_watch.h"

namespace workshatch::test {

namespace {

using relay::RequestIdentity;
using relay::RunnerEndWatch;
using AfterCut = RunnerEndWatch::AfterCut;

constexpr uint64_t kRunner = 7;

RequestIdentity request(uint64_t content) {
  return RequestIdentity{.caller = 1, .content = content};
}

int reportsIn(RunnerEndWatch& watch, bool first_on_link, int64_t now_ms) {
  v1::LeaseRenewal renewal;
  watch.fill(renewal, first_on_link, now_ms);
  return renewal.runner_ends_size();
}

} // namespace

TEST_CASE("A cut is reported once the runner's address refuses connections") {
  RunnerEndWatch watch;
  CHECK(watch.noteCut(kRunner, request(1), 1000) == AfterCut::Look);
  CHECK(watch.noteCut(kRunner, request(2), 1001) == AfterCut::Nothing);
  CHECK(reportsIn(watch, false, 1002) == 0);
  CHECK(watch.noteRefused(kRunner, 1003));
  // The connection of a third request is found cut a moment later.
  CHECK(watch.noteCut(kRunner, request(3), 1010) == AfterCut::Report);
  v1::LeaseRenewal renewal;
  watch.fill(renewal, false, 1100);
  REQUIRE(renewal.runner_ends_size() == 3);
  CHECK(renewal.runner_ends(0).runner() == kRunner);
  CHECK(renewal.runner_ends(0).age_ms() == 100);
  CHECK(renewal.runner_ends(2).request().content() == 3);
}

TEST_CASE("A runner that breaks an answer off and goes on listening has not ended") {
  RunnerEndWatch watch;
  CHECK(watch.noteCut(kRunner, request(1), 1000) == AfterCut::Look);
  watch.noteListening(kRunner);
  // It is refused later, when the process is restarted in a planned way.
  CHECK_FALSE(watch.noteRefused(kRunner, 1400));
  CHECK(reportsIn(watch, true, 1500) == 0);
}

TEST_CASE("A refusal long after a cut is of another event") {
  RunnerEndWatch watch;
  watch.noteCut(kRunner, request(1), 1000);
  CHECK_FALSE(watch.noteRefused(kRunner, 2500));
  CHECK(watch.noteCut(kRunner, request(2), 4000) == AfterCut::Look);
}

TEST_CASE("A runner that breaks off answer after answer is looked at now and then only") {
  RunnerEndWatch watch;
  int looks = 0;
  for (int64_t now_ms = 1000; now_ms < 6000; now_ms += 10) {
    looks +=
        watch.noteCut(kRunner, request(static_cast<uint64_t>(now_ms)), now_ms) == AfterCut::Look;
    watch.noteListening(kRunner);
  }
  CHECK(looks <= 11);
}

TEST_CASE("A report is told once on a link, and again on the next") {
  RunnerEndWatch watch;
  watch.noteCut(kRunner, request(1), 1000);
  watch.noteRefused(kRunner, 1001);
  CHECK(reportsIn(watch, false, 1100) == 1);
  CHECK(reportsIn(watch, false, 1200) == 0);
  CHECK(reportsIn(watch, true, 1300) == 1);
  CHECK(reportsIn(watch, true, 1000 + relay::kEndCountsMs) == 0);
}

TEST_CASE("A request that ran whole lately is not reported") {
  RunnerEndWatch watch;
  watch.noteWhole(request(1), 1000);
  CHECK(watch.noteCut(kRunner, request(1), 20'000) == AfterCut::Nothing);
  watch.noteRefused(kRunner, 20'001);
  CHECK(reportsIn(watch, true, 20'002) == 0);
  CHECK(watch.noteCut(8, request(1), 100'000) == AfterCut::Look);
}

TEST_CASE("Memory of whole runs and of reports is bounded") {
  RunnerEndWatch watch;
  for (uint64_t content = 1; content <= 20'000; ++content) {
    watch.noteWhole(request(content), 1000);
    watch.noteCut(kRunner, request(1'000'000 + content), 1000);
  }
  CHECK(watch.ranWhole(request(20'000), 1000));
  CHECK_FALSE(watch.ranWhole(request(1), 1000));
  watch.noteRefused(kRunner, 1001);
  CHECK(reportsIn(watch, true, 1002) <= 256);
}

} // namespace workshatch::test
