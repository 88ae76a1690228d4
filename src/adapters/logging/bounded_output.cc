#include "adapters/logging/bounded_output.h"

#include <algorithm>
#include <climits>
#include <poll.h>
#include <unistd.h>
#include <utility>

namespace workshatch::logging {

namespace {

/// Size limit of the buffer: about 300 lines. It is small, since a node may use only 32 MB of
/// memory.
constexpr size_t kMaxBufferedBytes = size_t{64} * 1024;

} // namespace

bool BoundedOutput::tryReserveLine() {
  if (buffer_.size() >= kMaxBufferedBytes) {
    ++dropped_;
    return false;
  }
  return true;
}

void BoundedOutput::flush() {
  size_t written = 0;
  while (written < buffer_.size() && isWritable()) {
    // A pipe that poll reports as writable accepts PIPE_BUF bytes without blocking.
    const size_t part = std::min<size_t>(buffer_.size() - written, PIPE_BUF);
    const ssize_t count = ::write(descriptor_, buffer_.data() + written, part);
    if (count <= 0) {
      break;
    }
    written += static_cast<size_t>(count);
  }
  buffer_.erase(0, written);
}

uint64_t BoundedOutput::takeUnreportedDrops() {
  return dropped_ - std::exchange(dropped_reported_, dropped_);
}

bool BoundedOutput::isWritable() const {
  pollfd output{.fd = descriptor_, .events = POLLOUT, .revents = 0};
  return ::poll(&output, 1, 0) == 1 && (output.revents & POLLOUT) != 0;
}

} // namespace workshatch::logging
