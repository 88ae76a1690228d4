#include "adapters/http/idle_stream_pool.h"

#include <cerrno>
#include <sys/socket.h>
#include <utility>

namespace workshatch::http {

namespace {

constexpr size_t kMaxIdlePerAddress = 64;

/// @return whether the connection has no pending input. Input on an idle connection means that the
/// server closed it, or that a response arrived for which there is no request. Neither connection
/// is usable.
bool hasNoPendingInput(boost::beast::tcp_stream& stream) {
  char byte = 0;
  const ssize_t count = ::recv(stream.socket().native_handle(), &byte, 1, MSG_PEEK | MSG_DONTWAIT);
  return count < 0 && (errno == EAGAIN || errno == EWOULDBLOCK);
}

} // namespace

IdleStreamPool::Stream IdleStreamPool::acquire(const std::string& address) {
  const auto found = idle_.find(address);
  if (found == idle_.end()) {
    return nullptr;
  }
  std::vector<Idle>& idle_streams = found->second;
  const int64_t now = clock_.monotonicMs();
  while (!idle_streams.empty()) {
    Idle idle = std::move(idle_streams.back());
    idle_streams.pop_back();
    if (idle.expires_ms > now && hasNoPendingInput(*idle.stream)) {
      return std::move(idle.stream);
    }
  }
  return nullptr;
}

void IdleStreamPool::release(const std::string& address, Stream stream, int64_t keep_alive_ms) {
  std::vector<Idle>& idle_streams = idle_[address];
  if (idle_streams.size() >= kMaxIdlePerAddress || keep_alive_ms <= 0) {
    return;
  }
  const int64_t expires_ms = clock_.monotonicMs() + keep_alive_ms;
  idle_streams.push_back(Idle{.stream = std::move(stream), .expires_ms = expires_ms});
}

void IdleStreamPool::closeExpired() {
  const int64_t now = clock_.monotonicMs();
  for (auto& [address, idle_streams] : idle_) {
    std::erase_if(idle_streams, [now](const Idle& idle) { return idle.expires_ms <= now; });
  }
  std::erase_if(idle_, [](const auto& entry) { return entry.second.empty(); });
}

} // namespace workshatch::http
