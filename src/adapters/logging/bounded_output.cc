#include "adapters/logging/bounded_output.h"

#include <algorithm>
#include <climits>
#include <poll.h>
#include <unistd.h>
#include <utility>

namespace workshatch::logging {

namespace {

/// Some 300 lines; a node may use 32 MB.
constexpr size_t kMostKeptBytes = size_t{64} * 1024;

} // namespace

bool BoundedOutput::takesLine() {
  if (kept_.size() >= kMostKeptBytes) {
    ++dropped_;
    return false;
  }
  return true;
}

void BoundedOutput::flush() {
  size_t written = 0;
  while (written < kept_.size() && readerTakesMore()) {
    // A pipe that polls writable takes PIPE_BUF bytes without blocking.
    const size_t part = std::min<size_t>(kept_.size() - written, PIPE_BUF);
    const ssize_t count = ::write(descriptor_, kept_.data() + written, part);
    if (count <= 0) {
      break;
    }
    written += static_cast<size_t>(count);
  }
  kept_.erase(0, written);
}

uint64_t BoundedOutput::takeNewlyDropped() {
  return dropped_ == dropped_told_ ? 0 : std::exchange(dropped_told_, dropped_);
}

bool BoundedOutput::readerTakesMore() const {
  pollfd output{.fd = descriptor_, .events = POLLOUT, .revents = 0};
  return ::poll(&output, 1, 0) == 1 && (output.revents & POLLOUT) != 0;
}

} // namespace workshatch::logging
