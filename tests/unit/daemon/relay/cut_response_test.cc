/// @file
/// Tests of responses whose runner ends the connection within them, at each byte: none may reach a
/// caller as complete. The tests are named after the failures that they guard against.
#include <memory>
#include <string>
#include <vector>

#include <doctest/doctest.h>

#include "unit/cut_response.h"
#include "unit/daemon/relay/forwarding_relay.h"

namespace workshatch::test {

using relay::RouteKind;

namespace {

/// @return a script that ends the connection after the first bytes of a response.
ScriptedRunner::Script cutScript(const std::string& bytes, Closing closing) {
  return [=](auto& socket, const std::string&) { sendAndEnd(socket, bytes, closing); };
}

/// @return a script that does so at the second request on a connection.
ScriptedRunner::Script cutScriptOfKept(const std::string& bytes, Closing closing) {
  return [=](auto& socket, const std::string&) {
    answerFirstRequest(socket);
    sendAndEnd(socket, bytes, closing);
  };
}

/// @return the caller's answer if the only runner runs the script.
std::string answerWith(const ScriptedRunner::Script& script, bool kept) {
  return answerOn(testRoute(RouteKind::RunOnce, 1), script, kept);
}

/// @return the caller's answer if the relay forwards the request to one whose runner runs the
/// script.
std::string answerBehindPeerWith(const ScriptedRunner::Script& script) {
  ScriptedRunner runner(script);
  TestRelay peer(testRoute(RouteKind::RunOnce, 1));
  peer.addRunner("runner-1", runner.address());
  peer.start();
  ForwardingRelay forwarding(peer.address());
  std::string answer = forwarding.relay.sendRequest("q1");
  CHECK(runner.requests() == 1);
  return answer;
}

/// Cuts each response at each byte, and leaves it whole.
/// @param closings_per_byte in how many of the ways, in turn, the connection ends after each byte
/// @param answer_of what a caller gets if the first bytes of a response are sent
template <typename AnswerOf> void checkCuts(size_t closings_per_byte, AnswerOf answer_of) {
  for (const WholeResponse& response : wholeResponses(signedFields("q1"))) {
    CAPTURE(response.name);
    for (size_t bytes = 0; bytes <= response.bytes.size(); ++bytes) {
      CAPTURE(bytes);
      for (size_t i = 0; i < closings_per_byte; ++i) {
        const Closing closing = kClosings[(bytes + i) % kClosings.size()];
        CAPTURE(static_cast<int>(closing));
        const std::string answer = answer_of(response.bytes.substr(0, bytes), closing);
        const bool complete = !response.isCut(bytes, closing);
        CHECK(answer.starts_with(complete ? "HTTP/1.1 200" : "HTTP/1.1 502"));
        const bool whole = bytes == response.bytes.size();
        CHECK((!complete || !whole || answer.ends_with("\r\n\r\ndone")));
      }
    }
  }
}

} // namespace

TEST_CASE("A response that its runner cuts at any byte reaches a caller as complete") {
  for (const bool kept : {false, true}) {
    CAPTURE(kept);
    checkCuts(kept ? 1 : kClosings.size(), [kept](const std::string& bytes, Closing closing) {
      return answerWith(kept ? cutScriptOfKept(bytes, closing) : cutScript(bytes, closing), kept);
    });
  }
}

TEST_CASE("A response that another relay cuts at any byte reaches a caller as complete") {
  checkCuts(1, [](const std::string& bytes, Closing closing) {
    return forwardedAnswerWith(cutScript(bytes, closing));
  });
}

TEST_CASE("A response that a runner cuts behind another relay reaches a caller as complete") {
  checkCuts(1, [](const std::string& bytes, Closing closing) {
    return answerBehindPeerWith(cutScript(bytes, closing));
  });
}

TEST_CASE("A stream that its runner cuts within its head or its end reaches a caller as complete") {
  const std::string events = chunk("id: 1\ndata: a\n\n");
  const std::string whole =
      "HTTP/1.1 100 Continue\r\n\r\n" + streamHead("q1") + events + kLastChunk;
  for (size_t bytes = 0; bytes <= whole.size(); ++bytes) {
    CAPTURE(bytes);
    for (const Closing closing : kClosings) {
      ScriptedRunner runner(cutScript(whole.substr(0, bytes), closing));
      TestRelay relay(testRoute(RouteKind::Streaming, 1));
      relay.addRunner("runner-1", runner.address());
      relay.start();
      const std::string answer = relay.sendRequest("q1");
      const bool complete = answer.starts_with("HTTP/1.1 200") && answer.ends_with(kLastChunk);
      CHECK(complete == (bytes == whole.size()));
    }
  }
}

TEST_CASE("An interim response is relayed as the final one, or the final one to the next caller") {
  for (const std::string status : {"100 Continue", "102 Processing", "103 Early Hints"}) {
    CAPTURE(status);
    ScriptedRunner runner([&](auto& socket, const std::string& request) {
      writeTo(socket, "HTTP/1.1 " + status + "\r\n" + signedFields(requestIdOf(request)) + "\r\n");
      std::this_thread::sleep_for(std::chrono::milliseconds(20));
      writeTo(socket, signedAnswer(requestIdOf(request), "of " + requestIdOf(request)));
    });
    TestRelay relay(testRoute(RouteKind::RunOnce, 1));
    relay.addRunner("runner-1", runner.address());
    relay.start();
    for (const std::string id : {"q1", "q2"}) {
      const std::string answer = relay.sendRequest(id);
      CHECK(answer.starts_with("HTTP/1.1 200"));
      CHECK(answer.ends_with("of " + id));
    }
  }
}

TEST_CASE("A response whose end its head does not state for certain is relayed as complete") {
  const std::vector<std::string> heads = {
      "HTTP/1.1 200 OK\r\nContent-Length: 4\r\nContent-Length: 2\r\n",
      "HTTP/1.1 200 OK\r\nContent-Length: 4, 2\r\n",
      "HTTP/1.1 200 OK\r\nContent-Length: 4x\r\n",
      "HTTP/1.1 200 OK\r\nContent-Length: -4\r\n",
      "HTTP/1.1 200 OK\r\nContent-Length: \r\n",
      "HTTP/1.1 200 OK\r\nContent-Length: 4\r\nTransfer-Encoding: chunked\r\n",
      "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\nContent-Length: 4\r\n",
      "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\nTransfer-Encoding: chunked\r\n",
      "HTTP/1.1 200 OK\r\nTransfer-Encoding: gzip\r\n",
      "HTTP/1.1 200 OK\r\nTransfer-Encoding: gzip\r\nContent-Length: 4\r\n",
      "HTTP/1.1 200 OK\r\nTransfer-Encoding: gzip, chunked\r\n",
      "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked, gzip\r\n",
      "HTTP/1.1 101 Switching Protocols\r\nUpgrade: x\r\n",
  };
  for (const std::string& head : heads) {
    CAPTURE(head);
    for (const std::string body : {"done", "4\r\ndone\r\n0\r\n\r\n"}) {
      const std::string bytes = head + signedFields("q1") + "\r\n" + body;
      CHECK(answerWith(cutScript(bytes, Closing::Fin), false).starts_with("HTTP/1.1 502"));
    }
  }
}

} // namespace workshatch::test
