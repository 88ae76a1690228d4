/// @file
/// Tests of responses whose runner ends the connection within them, at each byte, as the router's
/// client and the router's callers get them. The tests are named after the failures that they guard
/// against.
#include <array>
#include <optional>
#include <string>
#include <thread>

#include <boost/asio/read_until.hpp>
#include <doctest/doctest.h>

#include "unit/cut_response.h"
#include "unit/daemon/relay/relay_fixture.h"
#include "unit/daemon/router/router_fixture.h"
#include "unit/loop_client.h"

namespace workshatch::test {

TEST_CASE("A response that is cut at any byte is complete for the router's client") {
  for (const WholeResponse& response : wholeResponses("X-Other: 1\r\n")) {
    CAPTURE(response.name);
    for (size_t bytes = 0; bytes <= response.bytes.size(); ++bytes) {
      CAPTURE(bytes);
      for (const Closing closing : kClosings) {
        CAPTURE(static_cast<int>(closing));
        ScriptedRunner server([&](auto& socket, const std::string&) {
          sendAndEnd(socket, response.bytes.substr(0, bytes), closing);
        });
        LoopClient client;
        const auto answer = client.call(server.address());
        CHECK(answer.has_value() == !response.isCut(bytes, closing));
        CHECK((!answer || answer->status == http::Status::ok));
      }
    }
  }
}

TEST_CASE("A part of a response that is reset during the upload is whole for the router's client") {
  const std::string upload(kLongUploadBytes, 'x');
  for (const EarlyAnswer& early : earlyAnswers("HTTP/1.0 200 OK\r\n", "part")) {
    CAPTURE(static_cast<int>(early.end));
    CAPTURE(early.pause.count());
    ScriptedRunner server([&](auto& socket, const std::string&) { early.sendTo(socket); });
    LoopClient client;
    CHECK((!client.call(server.address(), upload) || early.isWhole()));
  }
}

TEST_CASE("The router's client gets an interim response, and the next call the one after it") {
  for (const std::string status : {"100 Continue", "102 Processing", "103 Early Hints"}) {
    CAPTURE(status);
    ScriptedRunner server([&](auto& socket, const std::string&) {
      for (int call = 1; call <= 2; ++call) {
        writeTo(socket, "HTTP/1.1 " + status + "\r\n\r\n");
        std::this_thread::sleep_for(std::chrono::milliseconds(20));
        writeTo(socket, "HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\n" + std::to_string(call));
        std::string next;
        boost::system::error_code ended;
        boost::asio::read_until(socket, boost::asio::dynamic_buffer(next), "\r\n\r\n", ended);
      }
    });
    LoopClient client;
    for (const std::string call : {"1", "2"}) {
      const auto answer = client.call(server.address());
      REQUIRE(answer.has_value());
      CHECK(answer->status == http::Status::ok);
      CHECK(answer->body == call);
    }
  }
}

TEST_CASE("The router's client takes a response for complete whose end is not stated for certain") {
  for (const std::string field :
       {"Content-Length: 4\r\nContent-Length: 2", "Content-Length: 4, 2",
        "Content-Length: 4\r\nTransfer-Encoding: chunked",
        "Transfer-Encoding: chunked\r\nContent-Length: 4", "Transfer-Encoding: gzip",
        "Transfer-Encoding: gzip\r\nContent-Length: 4", "Transfer-Encoding: chunked, gzip"}) {
    CAPTURE(field);
    ScriptedRunner server([&](auto& socket, const std::string&) {
      sendAndEnd(socket, "HTTP/1.1 200 OK\r\n" + field + "\r\n\r\n4\r\ndone\r\n0\r\n\r\n",
                 Closing::Fin);
    });
    LoopClient client;
    CHECK_FALSE(client.call(server.address()).has_value());
  }
}

TEST_CASE("A response that its runner cuts reaches a caller of the router as complete") {
  const std::string go_on = "HTTP/1.1 103 Early Hints\r\n\r\n";
  const std::string head = "HTTP/1.1 200 OK\r\nContent-Length: 12";
  for (const std::string& bytes : {go_on, go_on + head, go_on + head + "\r\n\r\ndone"}) {
    CAPTURE(bytes);
    ScriptedRunner runner(
        [&](auto& socket, const std::string&) { sendAndEnd(socket, bytes, Closing::Fin); });
    TestRouter router;
    router.serveTenant("acampar", runner.address(), "plain");
    const auto answer = router.answerTo(serviceRequest());
    REQUIRE(answer.has_value());
    CHECK(answer->status == http::Status::service_unavailable);
  }
}

TEST_CASE("A stream that its runner cuts reaches a caller of the router as complete") {
  const std::string event = "id: 1\ndata: {\"id\":\"flood-312\",\"choices\":[]}\n\n";
  const std::string head = "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\n"
                           "Content-Type: text/event-stream\r\n";
  for (const std::string& bytes : {head, head + "\r\n" + event}) {
    CAPTURE(bytes);
    ScriptedRunner runner(
        [&](auto& socket, const std::string&) { sendAndEnd(socket, bytes, Closing::Fin); });
    TestRouter router;
    router.serveTenant("acampar", runner.address());
    const auto answer = router.answerTo(chatRequest());
    CHECK((!answer || answer->status != http::Status::ok));
  }
}

} // namespace workshatch::test
