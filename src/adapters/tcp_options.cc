#include "adapters/tcp_options.h"

#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>

namespace workshatch::tcp_options {

namespace {

constexpr int kProbeIdleS = 1;
constexpr int kProbeIntervalS = 1;
constexpr int kProbeCount = 2;

void set(int handle, int level, int name, int value) {
  // Errors are ignored: without an option, failures are detected later, with no other effect.
  ::setsockopt(handle, level, name, &value, sizeof value);
}

} // namespace

void configure(boost::asio::ip::tcp::socket& socket, std::chrono::milliseconds peer_timeout) {
  const int handle = socket.native_handle();
  set(handle, IPPROTO_TCP, TCP_NODELAY, 1);
  set(handle, IPPROTO_TCP, TCP_USER_TIMEOUT, static_cast<int>(peer_timeout.count()));
  set(handle, SOL_SOCKET, SO_KEEPALIVE, 1);
  set(handle, IPPROTO_TCP, TCP_KEEPIDLE, kProbeIdleS);
  set(handle, IPPROTO_TCP, TCP_KEEPINTVL, kProbeIntervalS);
  set(handle, IPPROTO_TCP, TCP_KEEPCNT, kProbeCount);
}

} // namespace workshatch::tcp_options
