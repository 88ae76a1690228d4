/// @file
/// Which requests come into quarantine: the one that was there at the ends, not those beside it.
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

/// The leader's counts, told by relays at times that the test sets.
class Leader {
public:
  /// Relays report the requests that were in progress at a runner that ended just now.
  void runnerEnded(uint64_t runner, const std::vector<uint64_t>& contents) {
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

  /// Lets time pass, and commits the orders that are given. @return contents put into quarantine.
  std::vector<uint64_t> after(int64_t ms) {
    now_ms_ += ms;
    std::vector<uint64_t> put;
    for (const v1::QuarantineOrder& order : counts_.dueOrders(now_ms_, wallMs())) {
      if (order.begin()) {
        put.push_back(order.request().request().content());
        *list_.add_requests() = order.request();
      } else {
        released_.push_back(order.request().request().content());
        list_.clear_requests();
      }
    }
    counts_.setQuarantine(list_);
    return put;
  }

  const std::vector<uint64_t>& released() const { return released_; }
  size_t counted() const { return counts_.requestCount(); }

private:
  uint64_t wallMs() const { return kWallMs + static_cast<uint64_t>(now_ms_); }

  RunnerCrashCounts counts_;
  v1::QuarantineList list_;
  std::vector<uint64_t> released_;
  int64_t now_ms_ = 1'000'000;
};

constexpr int64_t kBetweenEndsMs = 700;

using Contents = std::vector<uint64_t>;

} // namespace

TEST_CASE("A request is put into quarantine after three ends of runners, once") {
  Leader leader;
  leader.runnerEnded(11, {1, 100, 101});
  CHECK(leader.after(kBetweenEndsMs).empty());
  leader.runnerEnded(12, {1, 102});
  CHECK(leader.after(kBetweenEndsMs).empty());
  leader.runnerEnded(13, {1, 103, 104});
  CHECK(leader.after(kBetweenEndsMs) == Contents{1});
  CHECK(leader.after(kBetweenEndsMs).empty());
}

TEST_CASE("What several relays tell of one end, or one tells again, counts once") {
  Leader leader;
  for (uint64_t runner = 11; runner <= 12; ++runner) {
    leader.report(runner, 1, 0);
    leader.after(100);
    // Another relay saw the same connection cut a little earlier.
    leader.report(runner, 1, 150);
    leader.after(kBetweenEndsMs);
  }
  // A relay has a new link, and tells all that it knows.
  leader.report(11, 1, 1650);
  leader.report(12, 1, 850);
  CHECK(leader.after(kBetweenEndsMs).empty());
  leader.report(13, 1, 0);
  CHECK(leader.after(kBetweenEndsMs) == Contents{1});
}

TEST_CASE("A runner that is back under its name and ends again has ended twice") {
  Leader leader;
  for (int end = 0; end < 3; ++end) {
    CHECK(leader.after(5000).empty());
    leader.report(11, 1, 0);
  }
  CHECK(leader.after(kBetweenEndsMs) == Contents{1});
}

TEST_CASE("A request that ran beside the bad one at two of three ends is left alone") {
  Leader leader;
  leader.runnerEnded(11, {1, 2});
  leader.after(kBetweenEndsMs);
  leader.runnerEnded(12, {1, 2});
  leader.after(kBetweenEndsMs);
  leader.runnerEnded(13, {1, 3});
  CHECK(leader.after(kBetweenEndsMs) == Contents{1});
  // Its next end has another cause than the ends at which the bad one was running.
  leader.runnerEnded(14, {2});
  leader.runnerEnded(15, {2});
  CHECK(leader.after(kBetweenEndsMs).empty());
}

TEST_CASE("Of two requests that were at the same three ends the fourth tells which it is") {
  Leader leader;
  for (uint64_t runner = 11; runner <= 13; ++runner) {
    leader.runnerEnded(runner, {1, 2});
    CHECK(leader.after(kBetweenEndsMs).empty());
  }
  leader.runnerEnded(14, {1, 3});
  CHECK(leader.after(kBetweenEndsMs) == Contents{1});
  CHECK(leader.after(kBetweenEndsMs).empty());
}

TEST_CASE("Two requests that are at all of five ends are both put into quarantine") {
  Leader leader;
  for (uint64_t runner = 11; runner <= 14; ++runner) {
    leader.runnerEnded(runner, {1, 2});
    CHECK(leader.after(kBetweenEndsMs).empty());
  }
  leader.runnerEnded(15, {1, 2});
  CHECK(leader.after(kBetweenEndsMs) == Contents{1, 2});
}

TEST_CASE("Two requests that end runners of their own are both put into quarantine") {
  Leader leader;
  for (uint64_t round = 0; round < 3; ++round) {
    leader.runnerEnded(10 + round, {1, 100 + round});
    leader.runnerEnded(20 + round, {2, 200 + round});
    const Contents put = leader.after(kBetweenEndsMs);
    CHECK(put == (round == 2 ? Contents{1, 2} : Contents{}));
  }
}

TEST_CASE("Reports of the last end that come one after another are waited for") {
  Leader leader;
  leader.runnerEnded(11, {1, 2});
  leader.after(kBetweenEndsMs);
  leader.runnerEnded(12, {1, 2});
  leader.after(kBetweenEndsMs);
  // One relay's report comes first; another relay saw the other request there.
  leader.report(13, 2, 0);
  CHECK(leader.after(20).empty());
  leader.report(13, 1, 20);
  CHECK(leader.after(kBetweenEndsMs).empty());
}

TEST_CASE("Reports that come all the time, of other requests, do not put a verdict off") {
  Leader leader;
  leader.runnerEnded(11, {1});
  leader.runnerEnded(12, {1});
  leader.runnerEnded(13, {1});
  Contents put;
  int64_t waited_ms = 0;
  constexpr int64_t kBetweenReportsMs = 20;
  for (uint64_t runner = 100; put.empty() && waited_ms < 1000; ++runner) {
    put = leader.after(kBetweenReportsMs);
    waited_ms += kBetweenReportsMs;
    leader.report(runner, 1000 + runner, 0);
  }
  CHECK(put == Contents{1});
  CHECK(waited_ms <= 100);
}

TEST_CASE("A request that ran whole is cleared, also after it was put into quarantine") {
  Leader leader;
  leader.runnerEnded(11, {1});
  leader.runnerEnded(12, {1});
  leader.requestCompleted(1);
  leader.runnerEnded(13, {1});
  CHECK(leader.after(kBetweenEndsMs).empty());
  leader.runnerEnded(21, {2});
  leader.runnerEnded(22, {2});
  leader.runnerEnded(23, {2});
  CHECK(leader.after(kBetweenEndsMs) == Contents{2});
  leader.requestCompleted(2);
  leader.after(kBetweenEndsMs);
  CHECK(leader.released() == Contents{2});
}

TEST_CASE("Ends are forgotten, and a quarantine is over, after their times") {
  Leader leader;
  leader.runnerEnded(11, {1});
  leader.runnerEnded(12, {1});
  leader.after(relay::kCrashWindowMs);
  leader.runnerEnded(13, {1});
  CHECK(leader.after(kBetweenEndsMs).empty());
  leader.runnerEnded(14, {1});
  leader.runnerEnded(15, {1});
  CHECK(leader.after(kBetweenEndsMs) == Contents{1});
  leader.after(relay::kQuarantineMs - kBetweenEndsMs);
  CHECK(leader.released().empty());
  leader.after(2 * kBetweenEndsMs);
  CHECK(leader.released() == Contents{1});
}

TEST_CASE("An order that does not come into force is given again") {
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

TEST_CASE("A flood of different requests leaves those with most ends") {
  Leader leader;
  leader.runnerEnded(11, {1});
  leader.runnerEnded(12, {1});
  for (uint64_t content = 1000; content < 11'000; ++content) {
    leader.report(13, content, 0);
  }
  CHECK(leader.counted() <= 4096);
  leader.runnerEnded(14, {1});
  CHECK(leader.after(kBetweenEndsMs) == Contents{1});
}

} // namespace workshatch::test
