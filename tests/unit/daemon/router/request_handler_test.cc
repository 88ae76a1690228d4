/// @file
/// Tests of the execution state that the request handler reports for requests that it refuses, and
/// of the limit of a tenant's requests in progress.
#include <optional>
#include <string>

#include <doctest/doctest.h>

#include "unit/daemon/router/router_fixture.h"

namespace workshatch::test {

namespace {

/// A model runner whose events have a number as their JSON member `id` instead of a string, which
/// makes the handler throw.
class UnexpectedRunner {
public:
  UnexpectedRunner() : server_(workers_, http::ServerLimits{}, &answer, &refuse) {
    address_ = std::get<std::string>(server_.listen("127.0.0.1:0"));
    workers_.start();
  }
  ~UnexpectedRunner() { workers_.stop(); }
  UnexpectedRunner(const UnexpectedRunner&) = delete;
  UnexpectedRunner& operator=(const UnexpectedRunner&) = delete;

  const std::string& address() const { return address_; }

private:
  static http::awaitable<void> answer(http::Exchange& exchange) {
    const std::string events = "id: 1\ndata: {\"id\":7}\n\n";
    http::Response response = http::makeResponse(http::Status::ok, "text/event-stream", events);
    co_await exchange.respond(std::move(response));
  }
  static http::Response refuse(http::Status status, const std::string&) {
    return http::makeResponse(status, "text/plain", "");
  }

  WorkerPool workers_{1};
  http::Server server_;
  std::string address_;
};

} // namespace

TEST_CASE("Without a lease, a request that resumes a stream is refused with execution unknown") {
  const TestRouter router;
  CHECK(router.executionHeaderFor(chatRequest()) == "not-run");

  http::Request resumed = chatRequest();
  resumed.set("Last-Event-ID", "assistant-1/0:3");
  CHECK(router.executionHeaderFor(std::move(resumed)) == "unknown");
}

// Guards against a tenant that is refused for good because a request whose handler threw still
// counts as in progress.
TEST_CASE("A request whose handler throws does not count as in progress any more") {
  const UnexpectedRunner runner;
  TestRouter router;
  router.serveTenant("acampar", runner.address());
  CHECK(router.statusFor(chatRequest()) == http::Status::internal_server_error);
  CHECK(router.statusFor(chatRequest()) != http::Status::too_many_requests);
}

} // namespace workshatch::test
