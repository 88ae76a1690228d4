/// @file
/// Selects the requests to put into quarantine: those that were running at the crashes, but not
/// requests that ran beside them.
#include <string>
#include <vector>

#include <doctest/doctest.h>

#include "core/relay/runner_crash_counts.h"
#include "core/relay/runner_crash_times.h"

namespace workshatch::test {

namespace {

using relay::RequestIdentity;
using relay::RunnerCrashCounts;

constexpr uint64_t kWallMs = 1'700'000'000'000;

RequestIdentity request(uint64_t content) {
  return RequestIdentity{.caller = 1, .content = content};
}

/// The leader's crash counts, with reports at times that the test sets.
class Leader {
public:
  /// Reports the requests that were in progress at a runner that crashed just now.
  void runnerCrashed(uint64_t runner, const std::vector<uint64_t>& contents) {
    for (const uint64_t content : contents) {
      report(runner, content, 0);
    }
  }

  void report(uint64_t runner, uint64_t content, uint32_t age_ms) {
    v1::LeaseRenewal renewal;
    v1::RunnerEnd* end = renewal.add_runner_ends();
    *end->mutable_request() = relay::messageOf(request(content));
    end->set_runner(runner);
    end->set_age_ms(age_ms);
    counts_.addReport(renewal, now_ms_);
  }

  void requestCompleted(uint64_t content) {
    v1::LeaseRenewal renewal;
    *renewal.add_ran_whole() = relay::messageOf(request(content));
    counts_.addReport(renewal, now_ms_);
  }

  /// Advances the time and commits the orders that are due. @return contents of the requests put
  /// into quarantine.
  std::vector<uint64_t> advance(int64_t ms) {
    now_ms_ += ms;
    std::vector<uint64_t> quarantined;
    for (const v1::QuarantineOrder& order : counts_.dueOrders(now_ms_, wallMs())) {
      if (order.begin()) {
        quarantined.push_back(order.request().request().content());
        *list_.add_requests() = order.request();
      } else {
        released_.push_back(order.request().request().content());
        list_.clear_requests();
      }
    }
    counts_.setQuarantine(list_);
    return quarantined;
  }

  const std::vector<uint64_t>& released() const { return released_; }
  size_t countedRequests() const { return counts_.requestCount(); }

private:
  uint64_t wallMs() const { return kWallMs + static_cast<uint64_t>(now_ms_); }

  RunnerCrashCounts counts_;
  v1::QuarantineList list_;
  std::vector<uint64_t> released_;
  int64_t now_ms_ = 1'000'000;
};

constexpr int64_t kBetweenCrashesMs = 700;

using Contents = std::vector<uint64_t>;

} // namespace

TEST_CASE("A request is put into quarantine once, after three runner crashes") {
  Leader leader;
  leader.runnerCrashed(11, {1, 100, 101});
  CHECK(leader.advance(kBetweenCrashesMs).empty());
  leader.runnerCrashed(12, {1, 102});
  CHECK(leader.advance(kBetweenCrashesMs).empty());
  leader.runnerCrashed(13, {1, 103, 104});
  CHECK(leader.advance(kBetweenCrashesMs) == Contents{1});
  CHECK(leader.advance(kBetweenCrashesMs).empty());
}

TEST_CASE("Reports of one crash by several relays, or repeated by one, count once") {
  Leader leader;
  for (uint64_t runner = 11; runner <= 12; ++runner) {
    leader.report(runner, 1, 0);
    leader.advance(100);
    // Another relay detected the same crash a little earlier.
    leader.report(runner, 1, 150);
    leader.advance(kBetweenCrashesMs);
  }
  // A relay has a new link and sends all its reports again.
  leader.report(11, 1, 1650);
  leader.report(12, 1, 850);
  CHECK(leader.advance(kBetweenCrashesMs).empty());
  leader.report(13, 1, 0);
  CHECK(leader.advance(kBetweenCrashesMs) == Contents{1});
}

TEST_CASE("A runner that restarts under its id and crashes again counts as two crashes") {
  Leader leader;
  for (int end = 0; end < 3; ++end) {
    CHECK(leader.advance(5000).empty());
    leader.report(11, 1, 0);
  }
  CHECK(leader.advance(kBetweenCrashesMs) == Contents{1});
}

TEST_CASE(
    "A request that ran beside the bad one at two of three crashes is not put into quarantine") {
  Leader leader;
  leader.runnerCrashed(11, {1, 2});
  leader.advance(kBetweenCrashesMs);
  leader.runnerCrashed(12, {1, 2});
  leader.advance(kBetweenCrashesMs);
  leader.runnerCrashed(13, {1, 3});
  CHECK(leader.advance(kBetweenCrashesMs) == Contents{1});
  // Its next crashes have another cause than those at which the bad request was running.
  leader.runnerCrashed(14, {2});
  leader.runnerCrashed(15, {2});
  CHECK(leader.advance(kBetweenCrashesMs).empty());
}

TEST_CASE(
    "Of two requests at the same three crashes, the one at the fourth is put into quarantine") {
  Leader leader;
  for (uint64_t runner = 11; runner <= 13; ++runner) {
    leader.runnerCrashed(runner, {1, 2});
    CHECK(leader.advance(kBetweenCrashesMs).empty());
  }
  leader.runnerCrashed(14, {1, 3});
  CHECK(leader.advance(kBetweenCrashesMs) == Contents{1});
  CHECK(leader.advance(kBetweenCrashesMs).empty());
}

TEST_CASE("Two requests that are both running at five crashes are both put into quarantine") {
  Leader leader;
  for (uint64_t runner = 11; runner <= 14; ++runner) {
    leader.runnerCrashed(runner, {1, 2});
    CHECK(leader.advance(kBetweenCrashesMs).empty());
  }
  leader.runnerCrashed(15, {1, 2});
  CHECK(leader.advance(kBetweenCrashesMs) == Contents{1, 2});
}

TEST_CASE("Two requests that crash different runners are both put into quarantine") {
  Leader leader;
  for (uint64_t round = 0; round < 3; ++round) {
    leader.runnerCrashed(10 + round, {1, 100 + round});
    leader.runnerCrashed(20 + round, {2, 200 + round});
    const Contents quarantined = leader.advance(kBetweenCrashesMs);
    CHECK(quarantined == (round == 2 ? Contents{1, 2} : Contents{}));
  }
}

TEST_CASE("The decision waits for delayed reports of the last crash") {
  Leader leader;
  leader.runnerCrashed(11, {1, 2});
  leader.advance(kBetweenCrashesMs);
  leader.runnerCrashed(12, {1, 2});
  leader.advance(kBetweenCrashesMs);
  // The report of one relay arrives first; another relay saw the other request at the same crash.
  leader.report(13, 2, 0);
  CHECK(leader.advance(20).empty());
  leader.report(13, 1, 20);
  CHECK(leader.advance(kBetweenCrashesMs).empty());
}

TEST_CASE("A steady flow of reports about other requests does not delay the decision") {
  Leader leader;
  leader.runnerCrashed(11, {1});
  leader.runnerCrashed(12, {1});
  leader.runnerCrashed(13, {1});
  Contents quarantined;
  int64_t waited_ms = 0;
  constexpr int64_t kBetweenReportsMs = 20;
  for (uint64_t runner = 100; quarantined.empty() && waited_ms < 1000; ++runner) {
    quarantined = leader.advance(kBetweenReportsMs);
    waited_ms += kBetweenReportsMs;
    leader.report(runner, 1000 + runner, 0);
  }
  CHECK(quarantined == Contents{1});
  CHECK(waited_ms <= 100);
}

TEST_CASE("A request that completes is cleared, also after it was put into quarantine") {
  Leader leader;
  leader.runnerCrashed(11, {1});
  leader.runnerCrashed(12, {1});
  leader.requestCompleted(1);
  leader.runnerCrashed(13, {1});
  CHECK(leader.advance(kBetweenCrashesMs).empty());
  leader.runnerCrashed(21, {2});
  leader.runnerCrashed(22, {2});
  leader.runnerCrashed(23, {2});
  CHECK(leader.advance(kBetweenCrashesMs) == Contents{2});
  leader.requestCompleted(2);
  leader.advance(kBetweenCrashesMs);
  CHECK(leader.released() == Contents{2});
}

TEST_CASE("Crashes and quarantines expire") {
  Leader leader;
  leader.runnerCrashed(11, {1});
  leader.runnerCrashed(12, {1});
  leader.advance(relay::kCrashWindowMs);
  leader.runnerCrashed(13, {1});
  CHECK(leader.advance(kBetweenCrashesMs).empty());
  leader.runnerCrashed(14, {1});
  leader.runnerCrashed(15, {1});
  CHECK(leader.advance(kBetweenCrashesMs) == Contents{1});
  leader.advance(relay::kQuarantineMs - kBetweenCrashesMs);
  CHECK(leader.released().empty());
  leader.advance(2 * kBetweenCrashesMs);
  CHECK(leader.released() == Contents{1});
}

TEST_CASE("An order that does not take effect is given again") {
  RunnerCrashCounts counts;
  v1::LeaseRenewal renewal;
  for (uint64_t runner = 11; runner <= 13; ++runner) {
    v1::RunnerEnd* end = renewal.add_runner_ends();
    *end->mutable_request() = relay::messageOf(request(1));
    end->set_runner(runner);
  }
  counts.addReport(renewal, 0);
  CHECK(counts.dueOrders(100, kWallMs).size() == 1);
  CHECK(counts.dueOrders(200, kWallMs).empty());
  CHECK(counts.dueOrders(700, kWallMs).size() == 1);
}

TEST_CASE("A flood of different requests does not evict those with the most crashes") {
  Leader leader;
  leader.runnerCrashed(11, {1});
  leader.runnerCrashed(12, {1});
  for (uint64_t content = 1000; content < 11'000; ++content) {
    leader.report(13, content, 0);
  }
  CHECK(leader.countedRequests() <= 4096);
  leader.runnerCrashed(14, {1});
  CHECK(leader.advance(kBetweenCrashesMs) == Contents{1});
}

} // namespace workshatch::test
