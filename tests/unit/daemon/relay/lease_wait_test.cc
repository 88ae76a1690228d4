/// @file
/// Requests that come to a relay before its first lease.
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <doctest/doctest.h>

#include "core/relay/first_lease.h"
#include "daemon/relay/lease_wait.h"
#include "unit/daemon/relay/relay_fixture.h"

namespace workshatch::test {

namespace {

http::Request requestWithPatience(const std::string& patience_ms) {
  http::Request request(http::Verb::post, "/work", 11);
  request.set("W-Deadline", patience_ms);
  return request;
}

} // namespace

TEST_CASE(
    "Until the first lease is due a request waits, for a small part of its caller's patience") {
  CHECK(relay::firstLeaseWaitMs(0, 12'000) == 360);
  CHECK(relay::firstLeaseWaitMs(500, 12'000) == 100);
  CHECK(relay::firstLeaseWaitMs(0, 600) == 18);
  // A lease that is overdue is not waited for, nor one for a caller that tells no patience.
  CHECK(relay::firstLeaseWaitMs(600, 12'000) == 0);
  CHECK(relay::firstLeaseWaitMs(5'000, 12'000) == 0);
  CHECK(relay::firstLeaseWaitMs(0, 0) == 0);
}

TEST_CASE("A relay that has had a lease lets nobody wait for one") {
  const SystemClock clock;
  const TestDialect dialect;
  daemon::RelayState state(settings::RelaySettings{}, clock, dialect);
  const http::Request request = requestWithPatience("12000");
  CHECK(daemon::leaseWaitMs(request, state, state.started_ms) == 360);
  CHECK(daemon::leaseWaitMs(requestWithPatience("soon"), state, state.started_ms) == 0);
  state.lease.confirmed(state.lease.renewalSent(clock.monotonicMs()));
  CHECK(daemon::leaseWaitMs(request, state, state.started_ms) == 0);
}

TEST_CASE("The lease wakes all that wait for it, and those over the bound do not wait") {
  constexpr std::chrono::hours kLong{1};
  constexpr int kAsked = 400;
  boost::asio::io_context context;
  daemon::LeaseWait lease_wait(context);
  int ended = 0;
  const auto ask = [&]() -> boost::asio::awaitable<void> {
    co_await lease_wait.wait(kLong);
    ++ended;
  };
  for (int i = 0; i < kAsked; ++i) {
    boost::asio::co_spawn(context, ask(), boost::asio::detached);
  }
  context.poll();
  CHECK(ended == kAsked - 300);
  lease_wait.wakeAll();
  context.run();
  CHECK(ended == kAsked);
}

} // namespace workshatch::test
