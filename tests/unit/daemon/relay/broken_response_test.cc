/// @file
/// Tests of responses that break the protocol in their head, as callers of a relay get them. The
/// tests are named after the failures that they guard against.
#include <memory>
#include <string>
#include <utility>
#include <variant>
#include <vector>

#include <doctest/doctest.h>

#include "daemon/relay/runner_report_call.h"
#include "daemon/runner_list_reader.h"
#include "unit/broken_response.h"
#include "unit/cut_response.h"
#include "unit/daemon/list_codecs.h"
#include "unit/daemon/relay/forwarding_relay.h"
#include "unit/result_of.h"

namespace workshatch::test {

using relay::RouteKind;

namespace {

/// @return a script that sends the bytes and leaves the connection open.
ScriptedRunner::Script brokenScript(const std::string& bytes) {
  return [bytes](auto& socket, const std::string&) { sendAndWait(socket, bytes); };
}

/// @return a script that sends the bytes as the response to the second request on a connection.
ScriptedRunner::Script brokenScriptOfKept(const std::string& bytes) {
  return [bytes](auto& socket, const std::string&) {
    answerFirstRequest(socket);
    sendAndWait(socket, bytes);
  };
}

/// Checks that callers of a relay get none of the responses, whichever way they come, and learn at
/// once that there is none.
void checkNotRelayed(const std::vector<BrokenResponse>& responses) {
  for (const BrokenResponse& response : responses) {
    CAPTURE(response.name);
    const std::string run_once =
        answerOn(testRoute(RouteKind::RunOnce, 1), brokenScript(response.bytes));
    CHECK(run_once.starts_with("HTTP/1.1 502"));
    const std::string kept =
        answerOn(testRoute(RouteKind::RunOnce, 1), brokenScriptOfKept(response.bytes), true);
    CHECK(kept.starts_with("HTTP/1.1 502"));
    const std::string forwarded = forwardedAnswerWith(brokenScript(response.bytes));
    CHECK(forwarded.starts_with("HTTP/1.1 502"));
  }
}

/// As `checkNotRelayed`, for streams that may be resumed and those that may not.
void checkNotRelayedAsStream(const std::vector<BrokenResponse>& responses) {
  for (const BrokenResponse& response : responses) {
    CAPTURE(response.name);
    for (const bool resumable : {false, true}) {
      CAPTURE(resumable);
      const std::string answer =
          answerOn(testRoute(RouteKind::Streaming, 1, resumable), brokenScript(response.bytes));
      CHECK(answer.starts_with("HTTP/1.1 502"));
    }
  }
}

/// Asks for reports at a path that a ScriptedRunner leaves to its script.
class ScriptedReportDialect : public TestDialect {
public:
  const CallPaths& paths() const override {
    static const CallPaths paths = {.runner_report = "/state"};
    return paths;
  }
};

/// Checks that neither a runner's report nor the platform's list is read from a response.
/// @param script_of what a server does that sends such a response
template <typename ScriptOf>
void checkNoReportOrList(const std::vector<BrokenResponse>& responses, ScriptOf script_of) {
  const ScriptedReportDialect dialect;
  const EmptyListCodec codec;
  const SystemClock clock;
  const AddressOverrides addresses;
  const daemon::RunnerReportCall call(dialect, daemon::RunnerDialer(addresses));
  for (const BrokenResponse& response : responses) {
    CAPTURE(response.name);
    ScriptedRunner server(script_of(response.bytes));
    boost::asio::io_context context;
    relay::Runner runner;
    runner.entry.set_address(server.address());
    {
      const auto connection = std::make_shared<http::RunnerConnection>(context);
      const auto report = resultOf(context, call.ask(connection, runner));
      connection->close();
      const auto* failure = std::get_if<daemon::ReportFailure>(&report);
      CHECK((failure != nullptr && *failure == daemon::ReportFailure::NoResponse));
    }
    daemon::RunnerListReader reader(context, clock, server.address(), codec);
    CHECK(isError(resultOf(context, reader.read())));
  }
}

/// As above, for responses that leave the connection open.
void checkNoReportOrList(const std::vector<BrokenResponse>& responses) {
  checkNoReportOrList(responses, brokenScript);
}

const std::string kStreamFields = signedFields("q1") + "Content-Type: text/event-stream\r\n";

} // namespace

TEST_CASE(
    "A response with an invalid status, or what follows it, reaches a caller or holds it up") {
  checkNotRelayed(responsesWithInvalidStatus(signedFields("q1")));
  checkNotRelayedAsStream(responsesWithInvalidStatus(kStreamFields));
}

TEST_CASE("A report or a list is read from a response with an invalid status") {
  checkNoReportOrList(responsesWithInvalidStatus(""));
}

TEST_CASE("A response with a line that is no header field reaches a caller") {
  checkNotRelayed(responsesWithInvalidField(signedFields("q1")));
  checkNotRelayedAsStream(responsesWithInvalidField(kStreamFields));
}

TEST_CASE("A response with a trailer line that is no header field is whole for a caller") {
  checkNotRelayed(responsesWithInvalidTrailer(signedFields("q1")));
  for (const BrokenResponse& response : responsesWithInvalidTrailer(kStreamFields)) {
    CAPTURE(response.name);
    const std::string answer =
        answerOn(testRoute(RouteKind::Streaming, 1), brokenScript(response.bytes));
    CHECK_FALSE(answer.ends_with(kLastChunk));
  }
}

TEST_CASE("A report or a list is read from a response with a line that is no header field") {
  checkNoReportOrList(responsesWithInvalidField(""));
  checkNoReportOrList(responsesWithInvalidTrailer(""));
}

TEST_CASE("A caller gets the body of an interim response") {
  checkNotRelayed(interimResponsesWithBody(signedFields("q1")));
  checkNotRelayedAsStream(interimResponsesWithBody(kStreamFields));
}

TEST_CASE("A report or a list is read from a part of a response that is reset") {
  const auto resetScript = [](const std::string& bytes) {
    return [bytes](auto& socket, const std::string&) { sendAndEnd(socket, bytes, Closing::Reset); };
  };
  checkNoReportOrList({{"without a length", "HTTP/1.1 200 OK\r\n\r\n0 "},
                       {"with a length", "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\n0 "},
                       {"of HTTP/1.0", "HTTP/1.0 200 OK\r\n\r\n0 "}},
                      resetScript);
}

TEST_CASE("An interim response that states a length of zero loses the final one") {
  const std::string bytes = "HTTP/1.1 100 Continue\r\nContent-Length: 0\r\n\r\n" +
                            wholeResponse(signedFields("q1"), "done");
  const std::string answer = answerOn(testRoute(RouteKind::RunOnce, 1), brokenScript(bytes));
  CHECK(answer.starts_with("HTTP/1.1 200"));
  CHECK(answer.ends_with("\r\n\r\ndone"));
}

TEST_CASE("A report or a list is read from the body of an interim response") {
  checkNoReportOrList(interimResponsesWithBody(""));
}

TEST_CASE("The body that a response without one states reaches the next caller") {
  ScriptedRunner runner(lateBodyScript(signedFields("q1")));
  TestRelay relay(testRoute(RouteKind::RunOnce, 1));
  relay.addRunner("runner-1", runner.address());
  relay.start();
  CHECK(relay.sendRequest("q1").starts_with("HTTP/1.1 204"));
  CHECK(relay.sendRequest("q1").ends_with("own"));
}

} // namespace workshatch::test
