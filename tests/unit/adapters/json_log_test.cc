/// @file
/// Test that logging does not block when the reader of the log has stopped reading.
#include <array>
#include <cerrno>
#include <fcntl.h>
#include <string>
#include <unistd.h>

#include <doctest/doctest.h>
#include <nlohmann/json.hpp>

#include "adapters/logging/json_log.h"
#include "unit/wait_until.h"

namespace workshatch::test {

namespace {

/// Replaces standard error by a full pipe; the destructor restores it.
class FullPipe {
public:
  FullPipe() : standard_error_(::dup(STDERR_FILENO)) {
    REQUIRE(::pipe(ends_.data()) == 0);
    ::fcntl(ends_[1], F_SETFL, O_NONBLOCK);
    const std::string page(4096, 'x');
    while (::write(ends_[1], page.data(), page.size()) > 0) {
    }
    REQUIRE(errno == EAGAIN);
    ::fcntl(ends_[1], F_SETFL, 0);
    ::dup2(ends_[1], STDERR_FILENO);
  }
  ~FullPipe() {
    // Without a read end, a writer that is blocked on the pipe fails and continues.
    ::close(ends_[0]);
    ::dup2(standard_error_, STDERR_FILENO);
    ::close(standard_error_);
    ::close(ends_[1]);
  }
  FullPipe(const FullPipe&) = delete;
  FullPipe& operator=(const FullPipe&) = delete;

private:
  const int standard_error_;
  std::array<int, 2> ends_{-1, -1};
};

} // namespace

// Guards against a daemon that hangs when nobody reads its log: a line that the logging thread
// writes to a full pipe blocks it until somebody reads, and a planned stop hangs with it.
TEST_CASE("A log line does not wait for the reader of the log") {
  const FullPipe full;
  CHECK(endsInTime(
      [] { logging::write(logging::Severity::Info, "test_line", nlohmann::json::object()); }));
}

} // namespace workshatch::test
