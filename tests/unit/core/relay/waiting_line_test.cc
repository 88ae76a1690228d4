/// @file
/// The order of requests that wait, the bound of a line, and when refused callers come back.
#include <vector>

#include <doctest/doctest.h>

#include "core/relay/return_times.h"
#include "core/relay/waiting_line.h"

namespace workshatch::test {

using relay::LinePlace;
using relay::WaitingLine;

TEST_CASE("The more urgent is called first, then who has less time left, then who came first") {
  WaitingLine line(8);
  std::vector<int> called;
  const auto join = [&](int name, uint32_t priority, int64_t deadline_ms) {
    CHECK(line.join("s", line.newPlace(priority, deadline_ms),
                    [&called, name](WaitingLine::Call) { called.push_back(name); }));
  };
  join(1, 2, 100);
  join(2, 1, 300);
  join(3, 1, 200);
  join(4, 1, 200);
  CHECK(line.hasBefore("s", 1));
  CHECK_FALSE(line.hasBefore("s", 0));
  CHECK_FALSE(line.hasBefore("t", 9));
  for (int i = 0; i < 6; ++i) {
    line.callNext("s");
  }
  CHECK(called == std::vector<int>{3, 4, 2, 1});
  CHECK(line.length("s") == 0);
}

TEST_CASE("A full line lets go of its last for one that goes first, and takes no other") {
  WaitingLine line(2);
  std::vector<WaitingLine::Call> first_told;
  std::vector<WaitingLine::Call> last_told;
  const LinePlace first = line.newPlace(1, 100);
  CHECK(line.join("s", first, [&](WaitingLine::Call call) { first_told.push_back(call); }));
  CHECK(line.join("s", line.newPlace(2, 100),
                  [&](WaitingLine::Call call) { last_told.push_back(call); }));
  CHECK_FALSE(line.join("s", line.newPlace(2, 200), [](WaitingLine::Call) {}));
  CHECK(last_told.empty());
  CHECK(line.join("s", line.newPlace(0, 500), [](WaitingLine::Call) {}));
  CHECK(last_told == std::vector<WaitingLine::Call>{WaitingLine::Call::GiveUp});
  line.leave("s", first);
  line.callNextOfEach();
  line.callNextOfEach();
  CHECK(first_told.empty());
  CHECK(line.length("s") == 0);
}

TEST_CASE("Refused callers come back one after the other at the service's pace") {
  relay::ReturnTimes times;
  // 40 requests ended in the last two seconds: half of that pace is for those who come back.
  for (int i = 0; i < 40; ++i) {
    times.noteEnded("s", 8000 + i * 50);
  }
  const uint32_t first = times.nextAfterMs("s", 100'000, 10'000);
  CHECK(first == 250);
  CHECK(times.nextAfterMs("s", 100'000, 10'000) == first + 100);
  CHECK(times.nextAfterMs("s", 100'000, 10'000) == first + 200);
  CHECK(times.nextAfterMs("t", 100'000, 10'000) == 250);
}

TEST_CASE("Nobody is sent away for more than a third of the time left, nor delays others by it") {
  relay::ReturnTimes times;
  constexpr int64_t kNow = 50'000;
  CHECK(times.nextAfterMs("s", 600, kNow) == 180);
  CHECK(times.nextAfterMs("s", 0, kNow) == 1);
  // Where nothing has ended lately, one comes back every two seconds.
  CHECK(times.nextAfterMs("s", 100'000, kNow) == 250);
  CHECK(times.nextAfterMs("s", 100'000, kNow) == 2250);
  CHECK(times.nextAfterMs("s", 9000, kNow) == 2700);
  CHECK(times.nextAfterMs("s", 100'000, kNow) == 4250);
}

} // namespace workshatch::test
