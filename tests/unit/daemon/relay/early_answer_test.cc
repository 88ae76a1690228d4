/// @file
/// Tests of responses without a length that a runner sends while it is still being sent a long
/// body: a reset within one may not reach a caller as its end. The tests are named after the
/// failures that they guard against.
#include <string>

#include <doctest/doctest.h>

#include "unit/cut_response.h"
#include "unit/daemon/relay/forwarding_relay.h"

namespace workshatch::test {

using relay::RouteKind;

namespace {

ScriptedRunner::Script scriptOf(const EarlyAnswer& answer) {
  return [answer](auto& socket, const std::string&) { answer.sendTo(socket); };
}

std::string uploadTo(const std::string& address) {
  return answerTo(
      requestText(CallerRequest{.id = "q1", .body = std::string(kLongUploadBytes, 'x')}), address);
}

/// @return what a caller of this route gets for a long upload.
std::string answerOn(const relay::Route& route, const EarlyAnswer& answer) {
  ScriptedRunner runner(scriptOf(answer));
  TestRelay relay(route);
  relay.addRunner("runner-1", runner.address());
  relay.start();
  return uploadTo(relay.address());
}

/// @return the same, if the relay forwards the request to one that answers so.
std::string forwardedAnswerTo(const EarlyAnswer& answer) {
  ScriptedRunner peer(scriptOf(answer));
  const ForwardingRelay forwarding(peer.address());
  return uploadTo(forwarding.relay.address());
}

void checkPlainAnswer(const std::string& received, const EarlyAnswer& sent,
                      const std::string& status) {
  if (sent.isWhole()) {
    CHECK(received.starts_with("HTTP/1.1 " + status));
    CHECK(received.ends_with("\r\n\r\npart"));
  } else {
    CHECK(received.starts_with("HTTP/1.1 502"));
  }
}

} // namespace

TEST_CASE("A part of an answer that its runner resets during the upload is whole for a caller") {
  for (const std::string version : {"HTTP/1.1 ", "HTTP/1.0 "}) {
    for (const std::string status : {"200", "413"}) {
      const std::string head = version + status + " Early\r\n" + signedFields("q1");
      for (const EarlyAnswer& answer : earlyAnswers(head, "part")) {
        CAPTURE(head);
        CAPTURE(static_cast<int>(answer.end));
        CAPTURE(answer.pause.count());
        checkPlainAnswer(answerOn(testRoute(RouteKind::RunOnce, 1), answer), answer, status);
        checkPlainAnswer(forwardedAnswerTo(answer), answer, status);
      }
    }
  }
}

TEST_CASE("A part of a stream that its runner resets during the upload is whole for a caller") {
  const std::string head =
      "HTTP/1.1 200 OK\r\n" + signedFields("q1") + "Content-Type: text/event-stream\r\n";
  for (const EarlyAnswer& answer : earlyAnswers(head, "id: 1\ndata: a\n\n")) {
    CAPTURE(static_cast<int>(answer.end));
    CAPTURE(answer.pause.count());
    for (const bool resumable : {false, true}) {
      CAPTURE(resumable);
      const std::string received = answerOn(testRoute(RouteKind::Streaming, 1, resumable), answer);
      CHECK(received.starts_with("HTTP/1.1 200"));
      CHECK(received.ends_with(kLastChunk) == answer.isWhole());
    }
  }
}

} // namespace workshatch::test
