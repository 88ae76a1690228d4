/// @file
/// Tests of the blocking client of the command line. The tests are named after the failures that
/// they guard against.
#include <string>
#include <variant>
#include <vector>

#include <doctest/doctest.h>

#include "adapters/http/blocking_client.h"
#include "unit/broken_response.h"
#include "unit/cut_response.h"
#include "unit/daemon/relay/relay_fixture.h"

namespace workshatch::test {

namespace {

/// Calls a server that sends these bytes.
Result<http::Response> responseTo(const std::string& bytes) {
  ScriptedRunner server(
      [&](auto& socket, const std::string&) { sendAndEnd(socket, bytes, Closing::Fin); });
  return http::blockingCall(server.address(), http::Verb::get, "/", "", {});
}

void checkNoResponse(const std::vector<BrokenResponse>& responses) {
  for (const BrokenResponse& response : responses) {
    CAPTURE(response.name);
    CHECK(isError(responseTo(response.bytes)));
  }
}

} // namespace

TEST_CASE("The command line takes a response with an invalid status for one") {
  checkNoResponse(responsesWithInvalidStatus(""));
}

TEST_CASE("The command line takes a response with a line that is no header field for one") {
  checkNoResponse(responsesWithInvalidField(""));
  checkNoResponse(responsesWithInvalidTrailer(""));
}

TEST_CASE("The command line takes a part of a response that is reset during the upload for whole") {
  const std::string upload(kLongUploadBytes, 'x');
  for (const EarlyAnswer& early : earlyAnswers("HTTP/1.0 200 OK\r\n", "part")) {
    CAPTURE(static_cast<int>(early.end));
    CAPTURE(early.pause.count());
    ScriptedRunner server([&](auto& socket, const std::string&) { early.sendTo(socket); });
    const auto response = http::blockingCall(server.address(), http::Verb::post, "/", upload, {});
    CHECK((isError(response) || early.isWhole()));
  }
}

TEST_CASE("The command line takes an interim response, or its body, for the final one") {
  checkNoResponse(interimResponsesWithBody(""));
  for (const std::string status : {"100 Continue", "102 Processing", "103 Early Hints"}) {
    CAPTURE(status);
    const auto response =
        responseTo("HTTP/1.1 " + status + "\r\nX-Hint: 1\r\n\r\n" + wholeResponse("", "done"));
    REQUIRE_FALSE(isError(response));
    CHECK(std::get<http::Response>(response).result() == http::Status::ok);
    CHECK(std::get<http::Response>(response).body() == "done");
  }
}

} // namespace workshatch::test
