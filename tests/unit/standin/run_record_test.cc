/// @file
/// Test that a stand-in does not run without its run file.
#include <csignal>
#include <cstdlib>
#include <string>
#include <sys/wait.h>
#include <unistd.h>

#include <doctest/doctest.h>

#include "standin/run_record.h"

namespace workshatch::test {

namespace {

/// Opens a run record in a child process, because a failure ends the process.
/// @return whether the child process was aborted
bool openingAborts(const std::string& path) {
  const pid_t child = ::fork();
  REQUIRE(child >= 0);
  if (child == 0) {
    // The signal handler of the test framework would report the abort as a failed test.
    std::signal(SIGABRT, SIG_DFL);
    ::close(STDERR_FILENO);
    const standin::RunRecord record(path);
    ::_exit(EXIT_SUCCESS);
  }
  int status = 0;
  REQUIRE(::waitpid(child, &status, 0) == child);
  return WIFSIGNALED(status) && WTERMSIG(status) == SIGABRT;
}

} // namespace

// Guards against a stand-in that records no runs: the check that a key ran at most once would then
// find no run and pass.
TEST_CASE("A stand-in that cannot open its run file aborts") {
  CHECK(openingAborts("/workshatch-no-such-folder/runs"));
  CHECK_FALSE(openingAborts(""));
}

} // namespace workshatch::test
