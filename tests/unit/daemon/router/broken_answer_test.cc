/// @file
/// Tests of responses that break the protocol in their head, as the router's client and the
/// router's callers get them. The tests are named after the failures that they guard against.
#include <string>
#include <vector>

#include <doctest/doctest.h>

#include "unit/broken_response.h"
#include "unit/cut_response.h"
#include "unit/daemon/relay/relay_fixture.h"
#include "unit/daemon/router/router_fixture.h"
#include "unit/loop_client.h"

namespace workshatch::test {

namespace {

void checkNotReadByClient(const std::vector<BrokenResponse>& responses) {
  for (const BrokenResponse& response : responses) {
    CAPTURE(response.name);
    ScriptedRunner server([&](auto& socket, const std::string&) {
      sendAndEnd(socket, response.bytes, Closing::Fin);
    });
    LoopClient client;
    CHECK_FALSE(client.call(server.address()).has_value());
  }
}

/// Checks that a router's caller does not get the response.
void checkNotRelayedByRouter(const BrokenResponse& response) {
  CAPTURE(response.name);
  ScriptedRunner runner(
      [&](auto& socket, const std::string&) { sendAndEnd(socket, response.bytes, Closing::Fin); });
  TestRouter router;
  router.serveTenant("acampar", runner.address(), "plain");
  const auto answer = router.answerTo(serviceRequest());
  REQUIRE(answer.has_value());
  CHECK(answer->status == http::Status::service_unavailable);
}

} // namespace

TEST_CASE("The router's client or its callers get a response with an invalid status") {
  const std::vector<BrokenResponse> responses = responsesWithInvalidStatus("X-Other: 1\r\n");
  checkNotReadByClient(responses);
  checkNotRelayedByRouter(responses.back());
}

TEST_CASE("The router's client or its callers get a response with a line that is no header field") {
  const std::vector<BrokenResponse> responses = responsesWithInvalidField("X-Other: 1\r\n");
  checkNotReadByClient(responses);
  checkNotReadByClient(responsesWithInvalidTrailer("X-Other: 1\r\n"));
  checkNotRelayedByRouter(responses.front());
}

TEST_CASE("The router's client or its callers get the body of an interim response") {
  const std::vector<BrokenResponse> responses = interimResponsesWithBody("X-Other: 1\r\n");
  checkNotReadByClient(responses);
  checkNotRelayedByRouter(responses.front());
}

TEST_CASE("A status without a registered name is lost on its way to the caller of a router") {
  for (const unsigned status : {299U, 499U, 520U, 599U}) {
    CAPTURE(status);
    ScriptedRunner runner([&](auto& socket, const std::string&) {
      sendAndEnd(socket,
                 "HTTP/1.1 " + std::to_string(status) + " x\r\nContent-Length: 4\r\n\r\ndone",
                 Closing::Fin);
    });
    TestRouter router;
    router.serveTenant("acampar", runner.address(), "plain");
    const auto answer = router.answerTo(serviceRequest());
    REQUIRE(answer.has_value());
    CHECK(static_cast<unsigned>(answer->status) == status);
    CHECK(answer->body == "done");
  }
}

TEST_CASE("The body that a response without one states is the response to the client's next call") {
  ScriptedRunner server(lateBodyScript(""));
  LoopClient client;
  const auto first = client.call(server.address());
  REQUIRE(first.has_value());
  CHECK(first->status == http::Status::no_content);
  const auto second = client.call(server.address());
  REQUIRE(second.has_value());
  CHECK(second->body == "own");
}

} // namespace workshatch::test
