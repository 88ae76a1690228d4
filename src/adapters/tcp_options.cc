#include "adapters/tcp_options.h"

#include <linux/sockios.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/ioctl.h>
#include <sys/socket.h>

#include <algorithm>

namespace workshatch::tcp_options {

namespace {

constexpr int kProbeIdleS = 1;
constexpr int kProbeIntervalS = 1;
constexpr int kMsPerSecond = 1000;

void set(int handle, int level, int name, int value) {
  // Errors are ignored: without an option, failures are detected later, with no other effect.
  ::setsockopt(handle, level, name, &value, sizeof value);
}

} // namespace

void configure(boost::asio::ip::tcp::socket& socket, std::chrono::milliseconds peer_timeout) {
  const int handle = socket.native_handle();
  set(handle, IPPROTO_TCP, TCP_NODELAY, 1);
  set(handle, SOL_SOCKET, SO_KEEPALIVE, 1);
  set(handle, IPPROTO_TCP, TCP_KEEPIDLE, kProbeIdleS);
  set(handle, IPPROTO_TCP, TCP_KEEPINTVL, kProbeIntervalS);
  setPeerTimeout(socket, peer_timeout);
}

std::optional<bool> allAcknowledged(boost::asio::ip::tcp::socket& socket) {
  tcp_info info{};
  socklen_t length = sizeof info;
  const int failed = ::getsockopt(socket.native_handle(), IPPROTO_TCP, TCP_INFO, &info, &length);
  if (failed != 0 || length == 0) {
    return std::nullopt;
  }
  // The end of sending is acknowledged once the connection has left this state.
  constexpr uint8_t kEndNotAcknowledged = TCP_FIN_WAIT1;
  return info.tcpi_unacked == 0 && info.tcpi_state != kEndNotAcknowledged;
}

std::optional<size_t> unacknowledgedBytes(boost::asio::ip::tcp::socket& socket) {
  int bytes = 0;
  const int failed = ::ioctl(socket.native_handle(), SIOCOUTQ, &bytes);
  return failed == 0 ? std::optional<size_t>(bytes) : std::nullopt;
}

boost::system::error_code takeError(boost::asio::ip::tcp::socket& socket) {
  int error = 0;
  socklen_t length = sizeof error;
  const int failed = ::getsockopt(socket.native_handle(), SOL_SOCKET, SO_ERROR, &error, &length);
  return {failed == 0 ? error : 0, boost::asio::error::get_system_category()};
}

void setPeerTimeout(boost::asio::ip::tcp::socket& socket, std::chrono::milliseconds peer_timeout) {
  const int handle = socket.native_handle();
  // Linux applies the user timeout to probes too, whatever their number; the number gives the same
  // time on other systems.
  const auto timeout_ms = static_cast<int>(peer_timeout.count());
  const int seconds = (timeout_ms + kMsPerSecond - 1) / kMsPerSecond;
  set(handle, IPPROTO_TCP, TCP_USER_TIMEOUT, timeout_ms);
  set(handle, IPPROTO_TCP, TCP_KEEPCNT, std::max((seconds - kProbeIdleS) / kProbeIntervalS, 1));
}

} // namespace workshatch::tcp_options
