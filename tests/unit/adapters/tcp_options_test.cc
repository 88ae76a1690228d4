/// @file
/// Socket options for detecting peers that are gone. The test is named after the failure that it
/// guards against.
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>

#include <boost/asio/io_context.hpp>
#include <doctest/doctest.h>

#include "adapters/tcp_options.h"

namespace workshatch::test {

namespace {

int optionOf(boost::asio::ip::tcp::socket& socket, int level, int name) {
  int value = 0;
  socklen_t size = sizeof value;
  REQUIRE(::getsockopt(socket.native_handle(), level, name, &value, &size) == 0);
  return value;
}

/// @return milliseconds without any answer of the peer after which the system closes the
/// connection: at the first unanswered probe after the user timeout, whatever the number of probes.
int64_t giveUpMs(boost::asio::ip::tcp::socket& socket) {
  constexpr int64_t kMsPerSecond = 1000;
  const int64_t user_timeout_ms = optionOf(socket, IPPROTO_TCP, TCP_USER_TIMEOUT);
  const int64_t interval_ms = kMsPerSecond * optionOf(socket, IPPROTO_TCP, TCP_KEEPINTVL);
  int64_t at_ms = kMsPerSecond * optionOf(socket, IPPROTO_TCP, TCP_KEEPIDLE) + interval_ms;
  while (at_ms < user_timeout_ms) {
    at_ms += interval_ms;
  }
  return at_ms;
}

} // namespace

TEST_CASE("A connection is given up before its time because a user timeout is set") {
  boost::asio::io_context context;
  boost::asio::ip::tcp::socket socket(context, boost::asio::ip::tcp::v4());
  for (const int seconds : {2, 3, 5}) {
    CAPTURE(seconds);
    tcp_options::configure(socket, std::chrono::seconds(seconds));
    CHECK(optionOf(socket, SOL_SOCKET, SO_KEEPALIVE) == 1);
    CHECK(optionOf(socket, IPPROTO_TCP, TCP_USER_TIMEOUT) == 1000 * seconds);
    CHECK(giveUpMs(socket) == 1000 * seconds);
    // On a system without user timeouts the number of probes gives the same time.
    CHECK(optionOf(socket, IPPROTO_TCP, TCP_KEEPIDLE) +
              optionOf(socket, IPPROTO_TCP, TCP_KEEPINTVL) *
                  optionOf(socket, IPPROTO_TCP, TCP_KEEPCNT) ==
          seconds);
  }
  // A runner that is silent for a second or so keeps the connections of its requests.
  tcp_options::configure(socket, tcp_options::kRequestPeerTimeout);
  CHECK(giveUpMs(socket) >= 3000);
  // An idle connection costs less to replace than a request that is sent on a dead one.
  tcp_options::setPeerTimeout(socket, tcp_options::kIdlePeerTimeout);
  CHECK(giveUpMs(socket) <= 2000);
}

} // namespace workshatch::test
