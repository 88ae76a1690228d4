/// @file
/// The order and the bounded length of request queues, and when refused callers should retry.
#include <vector>

#include <doctest/doctest.h>

#include "core/scheduling/request_queues.h"
#include "core/scheduling/retry_after_scheduler.h"

namespace workshatch::test {

using relay::QueuePosition;
using relay::RequestQueues;

TEST_CASE("Requests are woken by priority, then by time left, then by order of arrival") {
  RequestQueues queue(8);
  std::vector<int> woken;
  const auto join = [&](int name, uint32_t priority, int64_t deadline_ms) {
    CHECK(queue.enqueue("s", queue.newPosition(priority, deadline_ms),
                        [&woken, name](RequestQueues::WakeReason) { woken.push_back(name); }));
  };
  join(1, 2, 100);
  join(2, 1, 300);
  join(3, 1, 200);
  join(4, 1, 200);
  CHECK(queue.hasRequestAhead("s", 1));
  CHECK_FALSE(queue.hasRequestAhead("s", 0));
  CHECK_FALSE(queue.hasRequestAhead("t", 9));
  for (int i = 0; i < 6; ++i) {
    queue.wakeNext("s");
  }
  CHECK(woken == std::vector<int>{3, 4, 2, 1});
  CHECK(queue.length("s") == 0);
}

TEST_CASE(
    "A full queue evicts its last request for one that goes before it, and accepts no other") {
  RequestQueues queue(2);
  std::vector<RequestQueues::WakeReason> first_reasons;
  std::vector<RequestQueues::WakeReason> last_reasons;
  const QueuePosition first = queue.newPosition(1, 100);
  CHECK(queue.enqueue("s", first,
                      [&](RequestQueues::WakeReason reason) { first_reasons.push_back(reason); }));
  CHECK(queue.enqueue("s", queue.newPosition(2, 100),
                      [&](RequestQueues::WakeReason reason) { last_reasons.push_back(reason); }));
  CHECK_FALSE(queue.enqueue("s", queue.newPosition(2, 200), [](RequestQueues::WakeReason) {}));
  CHECK(last_reasons.empty());
  CHECK(queue.enqueue("s", queue.newPosition(0, 500), [](RequestQueues::WakeReason) {}));
  CHECK(last_reasons == std::vector<RequestQueues::WakeReason>{RequestQueues::WakeReason::Evicted});
  queue.remove("s", first);
  queue.wakeNextOfEachService();
  queue.wakeNextOfEachService();
  CHECK(first_reasons.empty());
  CHECK(queue.length("s") == 0);
}

TEST_CASE("Refused callers retry one after the other, at the rate of the service's completions") {
  relay::RetryAfterScheduler scheduler;
  // 40 requests ended in the last two seconds; half of that rate is for callers that retry.
  for (int i = 0; i < 40; ++i) {
    scheduler.recordCompletion("s", 8000 + i * 50);
  }
  const uint32_t first = scheduler.nextDelayMs("s", 100'000, 10'000);
  CHECK(first == 250);
  CHECK(scheduler.nextDelayMs("s", 100'000, 10'000) == first + 100);
  CHECK(scheduler.nextDelayMs("s", 100'000, 10'000) == first + 200);
  CHECK(scheduler.nextDelayMs("t", 100'000, 10'000) == 250);
}

TEST_CASE("A caller's delay is at most a third of its time left, and a shortened delay delays no "
          "others") {
  relay::RetryAfterScheduler scheduler;
  constexpr int64_t kNow = 50'000;
  CHECK(scheduler.nextDelayMs("s", 600, kNow) == 180);
  CHECK(scheduler.nextDelayMs("s", 0, kNow) == 1);
  // If no request has ended recently, one caller retries every two seconds.
  CHECK(scheduler.nextDelayMs("s", 100'000, kNow) == 250);
  CHECK(scheduler.nextDelayMs("s", 100'000, kNow) == 2250);
  CHECK(scheduler.nextDelayMs("s", 9000, kNow) == 2700);
  CHECK(scheduler.nextDelayMs("s", 100'000, kNow) == 4250);
}

} // namespace workshatch::test
