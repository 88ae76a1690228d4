/// @file
/// Tests of callers that read slowly or not at all: their runners' streams are read meanwhile, the
/// buffered bytes are bounded, and other callers are served.
#include <atomic>
#include <chrono>
#include <memory>
#include <string>
#include <thread>
#include <vector>

#include <doctest/doctest.h>

#include "unit/daemon/relay/relay_fixture.h"

namespace workshatch::test {

namespace {

using boost::asio::ip::tcp;

/// Limit of the wait until the kernel holds no more for two hundred callers that read nothing: some
/// 4 MB each, which pass through one event loop.
constexpr std::chrono::seconds kFillLimit{60};
/// Time limit of the requests, longer than that.
constexpr int64_t kRequestTimeoutMs = 90'000;

/// A runner that serves each connection on its own thread, with a stream of a fixed size.
class StreamingRunner {
public:
  StreamingRunner(size_t stream_bytes, size_t event_bytes)
      : stream_bytes_(stream_bytes), event_bytes_(event_bytes),
        acceptor_(context_, {boost::asio::ip::make_address("127.0.0.1"), 0}),
        thread_([this] { serve(); }) {}
  ~StreamingRunner() {
    stopping_ = true;
    boost::asio::io_context context;
    tcp::socket wake(context);
    boost::system::error_code ignored;
    wake.connect(acceptor_.local_endpoint(), ignored);
    thread_.join();
    for (std::thread& connection : connections_) {
      connection.join();
    }
  }
  StreamingRunner(const StreamingRunner&) = delete;
  StreamingRunner& operator=(const StreamingRunner&) = delete;

  std::string address() const {
    return "127.0.0.1:" + std::to_string(acceptor_.local_endpoint().port());
  }
  /// Number of streams that the relay has read completely.
  size_t streamsRead() const { return streams_read_; }

private:
  void serve() {
    while (true) {
      auto socket = std::make_shared<tcp::socket>(context_);
      acceptor_.accept(*socket);
      if (stopping_) {
        return;
      }
      connections_.emplace_back([this, socket] { stream(*socket); });
    }
  }

  void stream(tcp::socket& socket) {
    std::string request;
    boost::system::error_code failure;
    boost::asio::read_until(socket, boost::asio::dynamic_buffer(request), "\r\n\r\n", failure);
    if (failure) {
      // The relay has closed the connection without a request.
      return;
    }
    const std::string name = "W-Request: ";
    const size_t begin = request.find(name) + name.size();
    const std::string id = request.substr(begin, request.find("\r\n", begin) - begin);
    boost::asio::write(socket, boost::asio::buffer(streamHead(id)), failure);
    const std::string event = chunk("data: " + std::string(event_bytes_, 'x') + "\n\n");
    for (size_t sent = 0; sent < stream_bytes_ && !failure; sent += event_bytes_) {
      boost::asio::write(socket, boost::asio::buffer(event), failure);
    }
    boost::asio::write(socket, boost::asio::buffer(std::string(kLastChunk)), failure);
    streams_read_ += failure ? 0 : 1;
  }

  const size_t stream_bytes_;
  const size_t event_bytes_;
  boost::asio::io_context context_;
  tcp::acceptor acceptor_;
  std::atomic<bool> stopping_{false};
  std::atomic<size_t> streams_read_{0};
  std::vector<std::thread> connections_;
  std::thread thread_;
};

/// A caller that sends a request and reads nothing until `readAll` is called.
class PausingCaller {
public:
  PausingCaller(const std::string& id, const std::string& address) : socket_(context_) {
    socket_.open(tcp::v4());
    // Keeps the amount of data that the kernel buffers small.
    socket_.set_option(boost::asio::socket_base::receive_buffer_size(4096));
    socket_.connect(*http::parseEndpoint(address));
    const std::string request =
        requestText(CallerRequest{.id = id, .timeout_ms = kRequestTimeoutMs});
    boost::asio::write(socket_, boost::asio::buffer(request));
  }
  /// @return everything received until the connection is closed.
  std::string readAll() {
    std::string answer;
    boost::system::error_code failure;
    boost::asio::read(socket_, boost::asio::dynamic_buffer(answer), failure);
    return answer;
  }

private:
  boost::asio::io_context context_;
  tcp::socket socket_;
};

relay::Route streamingRoute() {
  relay::Route route = testRoute(relay::RouteKind::Streaming, 1);
  route.timeout_ms = kRequestTimeoutMs;
  return route;
}

} // namespace

TEST_CASE("A stream is read completely while its caller pauses, and the caller misses nothing") {
  constexpr size_t kStreamBytes = 150'000;
  StreamingRunner runner(kStreamBytes, 1000);
  TestRelay relay(streamingRoute());
  relay.addRunner("r1", runner.address());
  relay.start();
  PausingCaller caller("slow-1", relay.address());
  REQUIRE(within(kTestTimeout, [&] { return runner.streamsRead() == 1; }));
  const std::string answer = caller.readAll();
  CHECK(answer.size() > kStreamBytes);
  CHECK(answer.ends_with(kLastChunk));
}

TEST_CASE("Two hundred callers that read nothing leave memory bounded and other callers served") {
  constexpr size_t kSlow = 200;
  constexpr size_t kBound = size_t{4} * 1024 * 1024;
  // More than the kernel buffers for a caller that reads nothing.
  StreamingRunner runner(size_t{8} * 1024 * 1024, 16'000);
  ScriptedRunner plain([](auto& socket, const std::string& request) {
    const std::string name = "W-Request: ";
    const size_t begin = request.find(name) + name.size();
    writeTo(socket, streamHead(request.substr(begin, request.find("\r\n", begin) - begin)) +
                        chunk("data: one\n\n") + kLastChunk);
  });
  TestRelay relay(streamingRoute(), {}, kBound);
  relay.addRunner("r1", runner.address());
  relay.start();
  std::vector<std::unique_ptr<PausingCaller>> slow;
  for (size_t i = 0; i < kSlow; ++i) {
    slow.push_back(std::make_unique<PausingCaller>("slow-" + std::to_string(i), relay.address()));
  }
  std::atomic<size_t> most_held{0};
  std::atomic<uint64_t> cuts{0};
  std::atomic<size_t> readers{0};
  const auto sample = [&] {
    std::atomic<bool> sampled{false};
    boost::asio::post(relay.context(), [&] {
      most_held = std::max(most_held.load(), relay.state().read_ahead.bufferedBytes());
      cuts = relay.state().read_ahead.cancelledReaders();
      readers = relay.state().read_ahead.readers();
      sampled = true;
    });
    within(kTestTimeout, [&] { return sampled.load(); });
  };
  CAPTURE(most_held.load());
  CAPTURE(readers.load());
  REQUIRE(within(kFillLimit, [&] {
    sample();
    return cuts > 0;
  }));
  CHECK(most_held <= kBound);
  // Ordinary callers get another runner, since the first one is busy.
  std::atomic<bool> added{false};
  boost::asio::post(relay.context(), [&] {
    relay.replaceRunner("r1", "r2", plain.address());
    // Renews the lease, since the initial one may have expired.
    auto& lease = relay.state().lease;
    lease.confirmed(lease.renewalSent(relay.clock().monotonicMs()));
    added = true;
  });
  REQUIRE(within(kTestTimeout, [&] { return added.load(); }));
  for (int i = 0; i < 20; ++i) {
    const auto sent_at = std::chrono::steady_clock::now();
    const std::string answer = relay.sendRequest("quick-" + std::to_string(i));
    CAPTURE(answer);
    CHECK(answer.find("data: one") != std::string::npos);
    CHECK(std::chrono::steady_clock::now() - sent_at < std::chrono::seconds(1));
    sample();
  }
  CHECK(most_held <= kBound);
}

} // namespace workshatch::test
