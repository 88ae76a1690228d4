/// @file
/// Tests of messages whose trailers are larger than any field may be: the library throws an
/// exception for such a field, which must not leave the event loop and end the process.
#include <chrono>
#include <memory>
#include <string>
#include <thread>
#include <variant>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/connect.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/write.hpp>
#include <doctest/doctest.h>

#include "adapters/http/http_client.h"
#include "adapters/http/http_server.h"
#include "adapters/http/runner_connection.h"
#include "adapters/system_clock.h"

namespace workshatch::test {

namespace {

namespace asio = boost::asio;
using asio::ip::tcp;

constexpr std::chrono::seconds kPatience{5};
constexpr const char* kRequest = "GET / HTTP/1.1\r\nHost: a\r\nContent-Length: 0\r\n\r\n";
constexpr size_t kTooLargeField = 70'000;

std::string chunkedWithTrailer(const std::string& first_line, size_t trailer_bytes) {
  return first_line + "\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\nX-Sum: " +
         std::string(trailer_bytes, 'x') + "\r\n\r\n";
}

/// A server that sends one raw response and closes the connection.
class RawServer {
public:
  explicit RawServer(std::string response)
      : acceptor_(context_, tcp::endpoint(asio::ip::address_v4::loopback(), 0)),
        endpoint_(acceptor_.local_endpoint()),
        thread_([this, response = std::move(response)] { serve(response); }) {}
  ~RawServer() { thread_.join(); }
  RawServer(const RawServer&) = delete;
  RawServer& operator=(const RawServer&) = delete;

  const tcp::endpoint& endpoint() const { return endpoint_; }
  std::string address() const { return "127.0.0.1:" + std::to_string(endpoint_.port()); }

private:
  void serve(const std::string& response) {
    tcp::socket socket(context_);
    boost::system::error_code ignored;
    acceptor_.accept(socket, ignored);
    std::string request;
    asio::read_until(socket, asio::dynamic_buffer(request), "\r\n\r\n", ignored);
    asio::write(socket, asio::buffer(response), ignored);
    socket.shutdown(tcp::socket::shutdown_send, ignored);
    asio::read(socket, asio::dynamic_buffer(request), ignored);
  }

  asio::io_context context_;
  tcp::acceptor acceptor_;
  const tcp::endpoint endpoint_;
  std::thread thread_;
};

/// Reads a response on a connection to a runner. @return its body, or nothing if it failed.
std::optional<std::string> bodyFromRunner(const std::string& response) {
  const RawServer server(response);
  asio::io_context context;
  const auto connection = std::make_shared<http::RunnerConnection>(context);
  std::optional<std::string> body = "";
  const auto call = [&]() -> http::awaitable<void> {
    const auto unconnected = co_await connection->connect(server.endpoint(), kPatience);
    connection->send(kRequest);
    const auto no_head = co_await connection->awaitHead(kPatience);
    std::string part = unconnected || no_head ? "" : "begin";
    while (!part.empty()) {
      auto read = co_await connection->read(kPatience);
      if (std::holds_alternative<http::CallError>(read)) {
        body.reset();
        break;
      }
      part = std::get<std::string>(read);
      *body += part;
    }
    connection->close();
  };
  asio::co_spawn(context, call(), asio::detached);
  context.run();
  return body;
}

/// @return the body that the general client reads, or nothing if it failed.
std::optional<std::string> bodyFromServer(const std::string& response) {
  const RawServer server(response);
  asio::io_context context;
  const SystemClock clock;
  std::optional<std::string> body;
  {
    http::Client client(context, clock);
    const auto call = [&]() -> http::awaitable<void> {
      http::Request request(http::Verb::get, "/", 11);
      const http::CallOptions options;
      http::CallResult result = co_await client.call(server.address(), std::move(request), options);
      if (auto* answer = std::get_if<std::unique_ptr<http::ClientResponse>>(&result)) {
        auto read = co_await (*answer)->readAll(kTooLargeField);
        if (const auto* text = std::get_if<std::string>(&read)) {
          body = *text;
        }
      }
    };
    asio::co_spawn(context, call(), asio::detached);
    context.run();
  }
  return body;
}

/// @return the status line of the response of a server to a raw request.
std::string statusLine(const std::string& address, const std::string& request) {
  asio::io_context context;
  tcp::socket socket(context);
  socket.connect(*http::parseEndpoint(address));
  boost::system::error_code failure;
  asio::write(socket, asio::buffer(request), failure);
  std::string response;
  asio::read_until(socket, asio::dynamic_buffer(response), "\r\n", failure);
  return response.substr(0, response.find("\r\n"));
}

} // namespace

TEST_CASE("a request with a trailer larger than any field may be is refused, and the next served") {
  WorkerPool workers(1);
  const auto handle = [](http::Exchange& exchange) -> http::awaitable<void> {
    http::Response response = http::makeResponse(http::Status::ok, "text/plain", "ok");
    co_await exchange.respond(std::move(response));
  };
  http::Server server(workers, http::ServerLimits(), handle,
                      [](http::Status status, const std::string&) {
                        return http::makeResponse(status, "text/plain", "");
                      });
  const std::string address = std::get<std::string>(server.listen("127.0.0.1:0"));
  workers.start();
  CHECK(statusLine(address, chunkedWithTrailer("POST / HTTP/1.1", kTooLargeField)) ==
        "HTTP/1.1 431 Request Header Fields Too Large");
  CHECK(statusLine(address, chunkedWithTrailer("POST / HTTP/1.1", 40'000)) == "HTTP/1.1 200 OK");
  workers.stop();
}

TEST_CASE("a runner's response with a trailer larger than any field may be is incomplete") {
  CHECK_FALSE(bodyFromRunner(chunkedWithTrailer("HTTP/1.1 200 OK", kTooLargeField)));
  CHECK(bodyFromRunner(chunkedWithTrailer("HTTP/1.1 200 OK", 40'000)) == "ok");
}

TEST_CASE("a server's response with a trailer larger than any field may be is an error") {
  CHECK_FALSE(bodyFromServer(chunkedWithTrailer("HTTP/1.1 200 OK", kTooLargeField)));
  CHECK(bodyFromServer(chunkedWithTrailer("HTTP/1.1 200 OK", 40'000)) == "ok");
}

} // namespace workshatch::test
