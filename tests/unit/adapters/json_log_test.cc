/// @file
/// The log of a process whose reader has stopped reading.
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

/// A full pipe in the place of standard error; standard error comes back with its end.
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
    // A writer that waits for the reader gets an error, and goes on.
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

// A daemon whose log was read by nobody stood still at its next line, and with it its planned stop:
// the line was written in the caller's way, and a full pipe keeps its writer until somebody reads.
TEST_CASE("A log line does not wait for the reader of the log") {
  const FullPipe full;
  CHECK(endsInTime(
      [] { logging::write(logging::Severity::Info, "test_line", nlohmann::json::object()); }));
}

} // namespace workshatch::test
