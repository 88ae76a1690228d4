/// @file
/// The order of requests that wait, the bound of a line, and when refused callers come back.
#include <vector>

#include <doctest/doctest.h>

#include "core/relay/request_queues.h"
#include "core/relay/retry_after_scheduler.h"

namespace workshatch::test {

using relay::QueuePosition;
using relay::RequestQueues;

TEST_CASE("The more urgent is called first, then who has less time left, then who came first") {
  RequestQueues line(8);
  std::vector<int> called;
  const auto join = [&](int name, uint32_t priority, int64_t deadline_ms) {
    CHECK(line.enqueue("s", line.newPosition(priority, deadline_ms),
                       [&called, name](RequestQueues::WakeReason) { called.push_back(name); }));
  };
  join(1, 2, 100);
  join(2, 1, 300);
  join(3, 1, 200);
  join(4, 1, 200);
  CHECK(line.hasRequestAhead("s", 1));
  CHECK_FALSE(line.hasRequestAhead("s", 0));
  CHECK_FALSE(line.hasRequestAhead("t", 9));
  for (int i = 0; i < 6; ++i) {
    line.wakeNext("s");
  }
  CHECK(called == std::vector<int>{3, 4, 2, 1});
  CHECK(line.length("s") == 0);
}

TEST_CASE("A full line lets go of its last for one that goes first, and takes no other") {
  RequestQueues line(2);
  std::vector<RequestQueues::WakeReason> first_told;
  std::vector<RequestQueues::WakeReason> last_told;
  const QueuePosition first = line.newPosition(1, 100);
  CHECK(line.enqueue("s", first,
                     [&](RequestQueues::WakeReason call) { first_told.push_back(call); }));
  CHECK(line.enqueue("s", line.newPosition(2, 100),
                     [&](RequestQueues::WakeReason call) { last_told.push_back(call); }));
  CHECK_FALSE(line.enqueue("s", line.newPosition(2, 200), [](RequestQueues::WakeReason) {}));
  CHECK(last_told.empty());
  CHECK(line.enqueue("s", line.newPosition(0, 500), [](RequestQueues::WakeReason) {}));
  CHECK(last_told == std::vector<RequestQueues::WakeReason>{RequestQueues::WakeReason::Evicted});
  line.remove("s", first);
  line.wakeNextOfEachService();
  line.wakeNextOfEachService();
  CHECK(first_told.empty());
  CHECK(line.length("s") == 0);
}

TEST_CASE("Refused callers come back one after the other at the service's pace") {
  relay::RetryAfterScheduler times;
  // 40 requests ended in the last two seconds: half of that pace is for those who come back.
  for (int i = 0; i < 40; ++i) {
    times.recordCompletion("s", 8000 + i * 50);
  }
  const uint32_t first = times.nextDelayMs("s", 100'000, 10'000);
  CHECK(first == 250);
  CHECK(times.nextDelayMs("s", 100'000, 10'000) == first + 100);
  CHECK(times.nextDelayMs("s", 100'000, 10'000) == first + 200);
  CHECK(times.nextDelayMs("t", 100'000, 10'000) == 250);
}

TEST_CASE("Nobody is sent away for more than a third of the time left, nor delays others by it") {
  relay::RetryAfterScheduler times;
  constexpr int64_t kNow = 50'000;
  CHECK(times.nextDelayMs("s", 600, kNow) == 180);
  CHECK(times.nextDelayMs("s", 0, kNow) == 1);
  // Where nothing has ended lately, one comes back every two seconds.
  CHECK(times.nextDelayMs("s", 100'000, kNow) == 250);
  CHECK(times.nextDelayMs("s", 100'000, kNow) == 2250);
  CHECK(times.nextDelayMs("s", 9000, kNow) == 2700);
  CHECK(times.nextDelayMs("s", 100'000, kNow) == 4250);
}

} // namespace workshatch::test
