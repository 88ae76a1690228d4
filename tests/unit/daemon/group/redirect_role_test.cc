/// @file
/// Tests of the redirect role on a machine without a disk.
#include <atomic>
#include <chrono>
#include <memory>
#include <string>
#include <thread>

#include <boost/asio/connect.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/write.hpp>
#include <doctest/doctest.h>

#include "adapters/http/http_types.h"
#include "adapters/link/framed_link.h"
#include "adapters/system_clock.h"
#include "daemon/group/redirect_role.h"
#include "unit/wait_until.h"

namespace workshatch::test {

namespace {

constexpr const char* kOwnAddress = "127.0.0.1:18261";
constexpr uint16_t kLinkPort = 18263;
constexpr const char* kLinkAddress = "127.0.0.1:18263";

/// Runs the role and sends operator calls to it.
class RunningRole {
public:
  explicit RunningRole(std::vector<std::string> seeds)
      : role_(settings::RelaySettings{.ip = "127.0.0.1",
                                      .operator_address = kOwnAddress,
                                      .link_port = kLinkPort,
                                      .seeds = std::move(seeds)},
              workers_, clock_) {
    REQUIRE_FALSE(isError(role_.start()));
    workers_.start();
  }
  ~RunningRole() { workers_.stop(); }
  RunningRole(const RunningRole&) = delete;
  RunningRole& operator=(const RunningRole&) = delete;

  /// Begins a planned stop. `stopped` becomes true when the process would end.
  void stop(std::atomic<bool>& stopped) {
    boost::asio::post(workers_.context(0),
                      [this, &stopped] { role_.stop([&stopped] { stopped = true; }); });
  }

  static std::string sendCall() {
    boost::asio::io_context context;
    boost::asio::ip::tcp::socket socket(context);
    socket.connect(*http::parseEndpoint(kOwnAddress));
    const std::string request =
        "GET /get?x=1 HTTP/1.1\r\nHost: h.example\r\nConnection: close\r\n\r\n";
    boost::system::error_code failure;
    boost::asio::write(socket, boost::asio::buffer(request), failure);
    std::string answer;
    boost::asio::read(socket, boost::asio::dynamic_buffer(answer), failure);
    return answer;
  }

private:
  const SystemClock clock_;
  WorkerPool workers_{1};
  daemon::RedirectRole role_;
};

/// Sends a frame to the role, and then a relay's renewal. @return the reply to the renewal.
v1::LeaseReply exchangeFrames(const v1::Frame& frame) {
  boost::asio::io_context context;
  link::LinkDialer dialer(context);
  std::shared_ptr<link::FramedLink> sender;
  v1::LeaseReply reply;
  dialer.dial(kLinkAddress, std::chrono::seconds(5), [&](std::shared_ptr<link::FramedLink> link) {
    REQUIRE(link != nullptr);
    sender = std::move(link);
    sender->start(
        [&](const v1::Frame& answer) {
          reply = answer.lease();
          context.stop();
        },
        [] {});
    sender->send(frame);
    v1::Frame renewal;
    renewal.mutable_renewal()->set_sequence(1);
    sender->send(renewal);
  });
  context.run_for(std::chrono::seconds(5));
  CHECK(reply.sequence() == 1);
  sender->close();
  return reply;
}

bool contains(const std::string& text, const std::string& part) {
  return text.find(part) != std::string::npos;
}

} // namespace

TEST_CASE("A machine without a disk redirects operators to the seeds in rotation, not to itself") {
  const RunningRole role({kOwnAddress, "10.0.0.1:90", "10.0.0.2:90"});
  const std::string first = RunningRole::sendCall();
  CHECK(contains(first, "HTTP/1.1 307"));
  CHECK(contains(first, "Location: http://10.0.0.1:90/get?x=1\r\n"));
  CHECK(contains(RunningRole::sendCall(), "Location: http://10.0.0.2:90/get?x=1\r\n"));
  CHECK(contains(RunningRole::sendCall(), "Location: http://10.0.0.1:90/get?x=1\r\n"));
}

TEST_CASE("An operator reaches the leader in one redirect") {
  const RunningRole role({"10.0.0.1:90"});
  v1::Frame notice;
  notice.mutable_members_notice()->set_sender_is_member(true);
  notice.mutable_members_notice()->add_members("10.0.0.7:91");
  notice.mutable_members_notice()->add_members("10.0.0.8:91");
  exchangeFrames(notice);
  const std::string to_member = RunningRole::sendCall();
  CHECK(contains(to_member, "Location: http://10.0.0.7:18261/get?x=1\r\n"));
  notice.mutable_members_notice()->set_leader_address("10.0.0.8:91");
  exchangeFrames(notice);
  for (int i = 0; i < 3; ++i) {
    CHECK(contains(RunningRole::sendCall(), "Location: http://10.0.0.8:18261/get?x=1\r\n"));
  }
}

TEST_CASE("A machine without a disk tells relays the members and the leader") {
  const RunningRole role({"10.0.0.1:90"});
  v1::Frame notice;
  notice.mutable_members_notice()->set_sender_is_member(true);
  notice.mutable_members_notice()->add_members("10.0.0.8:91");
  notice.mutable_members_notice()->set_leader_address("10.0.0.8:91");
  const v1::LeaseReply reply = exchangeFrames(notice);
  CHECK_FALSE(reply.confirmed());
  CHECK(reply.members_size() == 1);
  CHECK(reply.leader_address() == "10.0.0.8:91");
}

TEST_CASE("A machine without a disk that knows no replica answers 503 with Retry-After") {
  const RunningRole role({kOwnAddress});
  const std::string answer = RunningRole::sendCall();
  CHECK(contains(answer, "HTTP/1.1 503"));
  CHECK(contains(answer, "Retry-After:"));
}

TEST_CASE("A machine without a disk that stops answers a call whose body is still arriving") {
  std::atomic<bool> stopped{false};
  RunningRole role({"10.0.0.1:90"});
  boost::asio::io_context context;
  boost::asio::ip::tcp::socket socket(context);
  socket.connect(*http::parseEndpoint(kOwnAddress));
  const std::string head = "POST /put HTTP/1.1\r\nHost: h.example\r\nContent-Length: 2\r\n\r\na";
  boost::asio::write(socket, boost::asio::buffer(head));
  std::this_thread::sleep_for(std::chrono::milliseconds(30));
  role.stop(stopped);
  std::this_thread::sleep_for(std::chrono::milliseconds(30));
  CHECK_FALSE(stopped);
  boost::asio::write(socket, boost::asio::buffer(std::string("b")));
  std::string answer;
  boost::system::error_code failure;
  boost::asio::read(socket, boost::asio::dynamic_buffer(answer), failure);
  CHECK(contains(answer, "HTTP/1.1 307"));
  CHECK(contains(answer, "Connection: close"));
}

TEST_CASE("Operators' bodies take more memory than the process has") {
  constexpr size_t kCalls = 6;
  constexpr size_t kHeld = 3;
  const RunningRole role({"10.0.0.1:90"});
  constexpr size_t kArrivedBytes = 15'000'000;
  std::string incomplete_call =
      "POST /put HTTP/1.1\r\nHost: h.example\r\nContent-Length: 16000000\r\n\r\n";
  incomplete_call.resize(incomplete_call.size() + kArrivedBytes, 'x');
  boost::asio::io_context context;
  std::vector<boost::asio::ip::tcp::socket> calls;
  for (size_t i = 0; i < kCalls; ++i) {
    auto& socket = calls.emplace_back(context);
    socket.connect(*http::parseEndpoint(kOwnAddress));
    boost::asio::write(socket, boost::asio::buffer(incomplete_call));
    if (i < kHeld) {
      continue;
    }
    REQUIRE(waitUntil([&socket] { return socket.available() > 0; }));
    std::string answer(socket.available(), '\0');
    boost::asio::read(socket, boost::asio::buffer(answer));
    CHECK(contains(answer, "HTTP/1.1 503"));
    CHECK(contains(answer, "Retry-After: 1"));
  }
  // Calls without a large body are answered beside them.
  CHECK(contains(RunningRole::sendCall(), "HTTP/1.1 307"));
  for (size_t i = 0; i < kHeld; ++i) {
    CHECK(calls[i].available() == 0);
  }
}

} // namespace workshatch::test
