/// @file
/// Runs test cases that need a process of their own.
#pragma once

#include <array>
#include <fcntl.h>
#include <spawn.h>
#include <string>
#include <sys/wait.h>
#include <unistd.h>

#include <doctest/doctest.h>

namespace workshatch::test {

/// Runs one test case of this program alone in a child process, also if it is marked to be skipped.
/// @param test_case its title, without a comma
/// @return its exit status; zero if it passed.
inline int runInChild(const char* test_case) {

  std::string program = "/proc/self/exe";
  std::string no_skip = "--no-skip";
  std::string selected = std::string("--test-case=") + test_case;
  std::array<char*, 4> arguments = {program.data(), selected.data(), no_skip.data(), nullptr};
  // Its summary must not be taken for that of this process.
  posix_spawn_file_actions_t actions;
  REQUIRE(::posix_spawn_file_actions_init(&actions) == 0);
  REQUIRE(::posix_spawn_file_actions_addopen(&actions, STDOUT_FILENO, "/dev/null", O_WRONLY, 0) ==
          0);
  pid_t child = 0;
  REQUIRE(::posix_spawn(&child, program.c_str(), &actions, nullptr, arguments.data(), environ) ==
          0);
  ::posix_spawn_file_actions_destroy(&actions);
  int status = -1;
  REQUIRE(::waitpid(child, &status, 0) == child);
  return status;
}

} // namespace workshatch::test
