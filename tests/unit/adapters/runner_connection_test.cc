/// @file
/// Tests of connections to runners that a reset ends within a response without a length. The tests
/// are named after the failures that they guard against.
#include <chrono>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <thread>
#include <variant>
#include <vector>

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/write.hpp>
#include <doctest/doctest.h>

#include "adapters/http/runner_connection.h"
#include "unit/cut_response.h"
#include "unit/result_of.h"

namespace workshatch::test {

namespace {

namespace asio = boost::asio;
using asio::ip::tcp;

constexpr std::chrono::milliseconds kTimeout{5000};
/// Ends at the end of the connection.
const std::string kHead = "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n";

/// A connection with a request in progress, and the runner's end of it. The connection's event loop
/// runs only within its calls, so that what the runner does in between comes at once.
class RequestInProgress {
public:
  explicit RequestInProgress(size_t body_bytes)
      : acceptor_(runner_context_, {asio::ip::make_address("127.0.0.1"), 0}),
        runner(runner_context_), connection(std::make_shared<http::RunnerConnection>(context_)) {
    REQUIRE_FALSE(
        resultOf(context_, connection->connect(acceptor_.local_endpoint(), kTimeout)).has_value());
    acceptor_.accept(runner);
    connection->send("POST / HTTP/1.1\r\nContent-Length: " + std::to_string(body_bytes) +
                     "\r\n\r\n" + std::string(body_bytes, 'x'));
    std::string request;
    asio::read_until(runner, asio::dynamic_buffer(request), "\r\n\r\n");
  }
  ~RequestInProgress() {
    connection->close();
    context_.poll();
  }
  RequestInProgress(const RequestInProgress&) = delete;
  RequestInProgress& operator=(const RequestInProgress&) = delete;

  /// Lets the runner send a head and a part of a body, which the connection then reads.
  void answerPart(const std::string& head = kHead) {
    asio::write(runner, asio::buffer(head + "part"));
    REQUIRE_FALSE(resultOf(context_, connection->awaitHead(kTimeout)).has_value());
    CHECK(std::get<std::string>(read()) == "part");
  }
  /// Begins to read the next part, which does not come.
  void beginRead() {
    constexpr std::chrono::milliseconds kShort{1};
    const auto part = resultOf(context_, connection->read(kShort));
    CHECK(std::get<http::CallError>(part).timed_out);
  }
  std::variant<std::string, http::CallError> read() {
    return resultOf(context_, connection->read(kTimeout));
  }
  /// Ends the runner's side in order.
  void endRunner() {
    boost::system::error_code ignored;
    runner.shutdown(tcp::socket::shutdown_send, ignored);
  }
  /// Resets the connection and waits until the system has told this end.
  void resetByRunner() {
    runner.set_option(asio::socket_base::linger(true, 0));
    runner.close();
    std::this_thread::sleep_for(kResetWait);
  }

  /// @return what has arrived at the runner.
  std::string arrived() {
    std::string bytes(kLongUploadBytes, '\0');
    boost::system::error_code none_yet;
    runner.non_blocking(true);
    size_t length = 0;
    while (!none_yet) {
      length += runner.read_some(asio::buffer(bytes) + length, none_yet);
    }
    bytes.resize(length);
    return bytes;
  }
  asio::io_context& context() { return context_; }

private:
  static constexpr std::chrono::milliseconds kResetWait{20};

  asio::io_context context_;
  asio::io_context runner_context_;
  tcp::acceptor acceptor_;

public:
  tcp::socket runner;
  std::shared_ptr<http::RunnerConnection> connection;
};

/// Something that the system may tell of a reset before it tells a read.
struct Observer {
  std::string name;
  size_t upload_bytes = 2;
  std::function<void(http::RunnerConnection&)> observe;
};

std::vector<Observer> observers() {
  return {
      {"only the read", 2, [](http::RunnerConnection&) {}},
      {"the write of a long request", kLongUploadBytes, [](http::RunnerConnection&) {}},
      {"a look at the input", 2, [](http::RunnerConnection& connection) { connection.isOpen(); }},
      {"a look at pending input", 2,
       [](http::RunnerConnection& connection) { connection.hasNoPendingInput(); }},
      {"a question for the state", 2,
       [](http::RunnerConnection& connection) { connection.closedWholly(); }}};
}

/// Reads on while the runner resets the connection: before the read, or during it.
std::variant<std::string, http::CallError> readAtReset(RequestInProgress& request, bool before) {
  static constexpr std::chrono::milliseconds kPause{10};
  if (before) {
    request.resetByRunner();
    return request.read();
  }
  std::thread runner([&request] {
    std::this_thread::sleep_for(kPause);
    request.resetByRunner();
  });
  auto rest = request.read();
  runner.join();
  return rest;
}

void checkReset(RequestInProgress& request) {
  const auto rest = request.read();
  const auto* error = std::get_if<http::CallError>(&rest);
  CHECK(error != nullptr);
  if (error != nullptr) {
    CHECK(error->connection == http::ConnectionState::ClosedByPeer);
    CHECK_FALSE(error->timed_out);
  }
  CHECK(request.connection->wasReset());
  CHECK(request.connection->closedWholly());
}

} // namespace

TEST_CASE("A part of a response is complete if a reset is told to something other than its read") {
  for (const Observer& observer : observers()) {
    CAPTURE(observer.name);
    for (const bool reading : {false, true}) {
      CAPTURE(reading);
      RequestInProgress request(observer.upload_bytes);
      request.answerPart();
      if (reading) {
        request.beginRead();
      }
      request.resetByRunner();
      observer.observe(*request.connection);
      checkReset(request);
    }
  }
}

TEST_CASE("A reset within a response with a length counts as an end in order") {
  for (const Observer& observer : observers()) {
    CAPTURE(observer.name);
    RequestInProgress request(observer.upload_bytes);
    request.answerPart("HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\n");
    request.beginRead();
    request.resetByRunner();
    observer.observe(*request.connection);
    checkReset(request);
  }
}

TEST_CASE("A reset before a response counts as an end in order") {
  for (const Observer& observer : observers()) {
    CAPTURE(observer.name);
    RequestInProgress request(observer.upload_bytes);
    request.resetByRunner();
    observer.observe(*request.connection);
    const auto error = resultOf(request.context(), request.connection->awaitHead(kTimeout));
    REQUIRE(error.has_value());
    CHECK(request.connection->wasReset());
  }
}

TEST_CASE("A response that its runner has ended in order is incomplete since the upload goes on") {
  for (const Observer& observer : observers()) {
    CAPTURE(observer.name);
    RequestInProgress request(observer.upload_bytes);
    request.answerPart();
    request.beginRead();
    request.endRunner();
    observer.observe(*request.connection);
    const auto rest = request.read();
    REQUIRE(std::holds_alternative<std::string>(rest));
    CHECK(std::get<std::string>(rest).empty());
    CHECK(request.connection->endedByClose());
    CHECK_FALSE(request.connection->wasReset());
    CHECK_FALSE(request.connection->reusable());
  }
}

TEST_CASE("A part of a response is complete since its runner closes having read what had arrived") {
  // The shorter one lies in the buffers of the two systems.
  constexpr size_t kBufferedUploadBytes = size_t{1536} * 1024;
  for (const size_t upload_bytes : {kBufferedUploadBytes, kLongUploadBytes}) {
    for (const bool before_the_end_is_read : {false, true}) {
      CAPTURE(upload_bytes);
      CAPTURE(before_the_end_is_read);
      RequestInProgress request(upload_bytes);
      request.answerPart();
      request.beginRead();
      request.endRunner();
      const auto rest = readAtReset(request, before_the_end_is_read);
      const auto* error = std::get_if<http::CallError>(&rest);
      CHECK((error != nullptr && error->connection == http::ConnectionState::ClosedByPeer));
      CHECK_FALSE(request.connection->endedByClose());
      // The runner was in reach when it ended its side.
      CHECK_FALSE(request.connection->wasReset());
      CHECK(request.connection->closedWholly());
    }
  }
}

TEST_CASE("Other bytes are sent where the rest of the body is due") {
  RequestInProgress request(kLongUploadBytes);
  request.answerPart("HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\n");
  request.endRunner();
  CHECK(std::holds_alternative<http::CallError>(request.read()));
  std::string body = request.arrived();
  constexpr std::chrono::milliseconds kShort{1};
  resultOf(request.context(), request.connection->discardUntilClosed(kShort));
  body += request.arrived();
  CHECK(body.size() < kLongUploadBytes);
  CHECK(body.find_first_not_of('x') == std::string::npos);
}

TEST_CASE("The end of sending by this relay makes a response incomplete") {
  RequestInProgress request(kLongUploadBytes);
  request.answerPart();
  request.beginRead();
  request.connection->endSending();
  request.endRunner();
  const auto rest = request.read();
  REQUIRE(std::holds_alternative<std::string>(rest));
  CHECK(std::get<std::string>(rest).empty());
}

} // namespace workshatch::test
