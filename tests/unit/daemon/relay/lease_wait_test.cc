/// @file
/// Tests of the wait of requests that arrive before the relay's first lease.
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <doctest/doctest.h>

#include "core/relay/first_lease.h"
#include "daemon/relay/lease_wait.h"
#include "unit/daemon/relay/relay_fixture.h"

namespace workshatch::test {

namespace {

http::Request requestWithTimeout(const std::string& timeout_ms) {
  http::Request request(http::Verb::post, "/work", 11);
  request.set("W-Deadline", timeout_ms);
  return request;
}

} // namespace

TEST_CASE("A request waits for the first lease for at most a small part of its caller's timeout") {
  CHECK(relay::firstLeaseWaitMs(0, 12'000) == 360);
  CHECK(relay::firstLeaseWaitMs(500, 12'000) == 100);
  CHECK(relay::firstLeaseWaitMs(0, 600) == 18);
  // There is no wait if the lease is overdue, or if the caller gives no timeout.
  CHECK(relay::firstLeaseWaitMs(600, 12'000) == 0);
  CHECK(relay::firstLeaseWaitMs(5'000, 12'000) == 0);
  CHECK(relay::firstLeaseWaitMs(0, 0) == 0);
}

TEST_CASE("Requests do not wait at a relay that has had a lease") {
  const SystemClock clock;
  const TestDialect dialect;
  daemon::RelayState state(settings::RelaySettings{}, clock, dialect);
  const http::Request request = requestWithTimeout("12000");
  CHECK(daemon::leaseWaitMs(request, state, state.started_ms) == 360);
  CHECK(daemon::leaseWaitMs(requestWithTimeout("soon"), state, state.started_ms) == 0);
  state.lease.confirmed(state.lease.renewalSent(clock.monotonicMs()));
  CHECK(daemon::leaseWaitMs(request, state, state.started_ms) == 0);
}

TEST_CASE("The lease resumes all waiting requests, and requests above the maximum do not wait") {
  constexpr std::chrono::hours kLong{1};
  constexpr int kRequests = 400;
  boost::asio::io_context context;
  daemon::LeaseWait lease_wait(context);
  int finished = 0;
  const auto waiter = [&]() -> boost::asio::awaitable<void> {
    co_await lease_wait.wait(kLong);
    ++finished;
  };
  for (int i = 0; i < kRequests; ++i) {
    boost::asio::co_spawn(context, waiter(), boost::asio::detached);
  }
  context.poll();
  CHECK(finished == kRequests - 300);
  lease_wait.wakeAll();
  context.run();
  CHECK(finished == kRequests);
}

} // namespace workshatch::test
