#include "scenario/process.h"

#include <array>
#include <cerrno>
#include <csignal>
#include <cstdlib>
#include <cstring>
#include <fcntl.h>
#include <filesystem>
#include <fstream>
#include <iterator>
#include <sys/prctl.h>
#include <sys/resource.h>
#include <sys/wait.h>
#include <unistd.h>
#include <utility>

namespace workshatch::scenario {

namespace {

constexpr int kExecFailedExitCode = 127;
/// Added to the signal number for the exit code of a process ended by a signal, as shells do.
constexpr int kSignalExitCodeBase = 128;

/// Runs in the child between fork and exec, where only async-signal-safe functions are allowed.
[[noreturn]] void runChild(const std::vector<char*>& arguments, int log) {
  ::prctl(PR_SET_PDEATHSIG, SIGKILL);
  sigset_t none;
  sigemptyset(&none);
  ::sigprocmask(SIG_SETMASK, &none, nullptr);
  // With SIGXFSZ ignored, a write beyond the file size limit fails, as on a full disk, instead of
  // ending the process.
  ::signal(SIGXFSZ, SIG_IGN);
  ::dup2(log, STDERR_FILENO);
  ::dup2(log, STDOUT_FILENO);
  // Close the driver's connections, which are opened without close-on-exec. If the child inherited
  // them, they would stay open after the driver has closed them.
  ::close_range(STDERR_FILENO + 1, ~0U, 0);
  ::execv(arguments.front(), arguments.data());
  ::_exit(kExecFailedExitCode);
}

} // namespace

Process::Process(std::vector<std::string> command, std::string log_path)
    : command_(std::move(command)), log_path_(std::move(log_path)) {}

Process::~Process() { kill(); }

Result<std::monostate> Process::start() {
  if (running()) {
    return Error{"is already running"};
  }
  std::vector<char*> arguments;
  for (const std::string& word : command_) {
    arguments.push_back(const_cast<char*>(word.c_str()));
  }
  arguments.push_back(nullptr);
  std::array<int, 2> pipe_ends{-1, -1};
  if (::pipe2(pipe_ends.data(), O_CLOEXEC) != 0) {
    return Error{std::string("cannot make a pipe: ") + std::strerror(errno)};
  }
  pid_ = ::fork();
  if (pid_ == 0) {
    runChild(arguments, pipe_ends[1]);
  }
  ::close(pipe_ends[1]);
  log_ = std::make_unique<LogCopier>(pipe_ends[0], log_path_);
  if (pid_ < 0) {
    pid_ = 0;
    return Error{std::string("cannot start a process: ") + std::strerror(errno)};
  }
  return std::monostate{};
}

void Process::reap(bool wait) {
  int status = 0;
  if (pid_ == 0 || ::waitpid(pid_, &status, wait ? 0 : WNOHANG) != pid_) {
    return;
  }
  exit_code_ = WIFEXITED(status) ? WEXITSTATUS(status) : kSignalExitCodeBase + WTERMSIG(status);
  pid_ = 0;
  // Waits until the log is complete.
  log_.reset();
}

bool Process::running() {
  reap(false);
  return pid_ != 0;
}

bool Process::hasExited() { return !running(); }

void Process::kill() {
  if (running()) {
    ::kill(pid_, SIGKILL);
    reap(true);
  }
}

void Process::freeze() {
  if (running()) {
    ::kill(pid_, SIGSTOP);
  }
}

void Process::thaw() {
  if (running()) {
    ::kill(pid_, SIGCONT);
  }
}

Result<std::monostate> Process::limitFileSize(uint64_t bytes) {
  const rlimit limit{.rlim_cur = bytes, .rlim_max = RLIM_INFINITY};
  if (!running() || ::prlimit(pid_, RLIMIT_FSIZE, &limit, nullptr) != 0) {
    return Error{std::string("cannot set its file size limit: ") + std::strerror(errno)};
  }
  return std::monostate{};
}

Result<std::monostate> Process::unlimitFileSize() { return limitFileSize(RLIM_INFINITY); }

std::optional<ResourceUsage> Process::resourceUsage() {
  if (!running()) {
    return std::nullopt;
  }
  const std::string folder = "/proc/" + std::to_string(pid_);
  ResourceUsage usage;
  std::ifstream status(folder + "/status");
  const std::string name = "VmRSS:";
  for (std::string line; std::getline(status, line);) {
    if (line.starts_with(name)) {
      usage.memory_kb = std::stoull(line.substr(name.size()));
    }
  }
  std::error_code failure;
  const std::filesystem::directory_iterator descriptors(folder + "/fd", failure);
  usage.descriptors = static_cast<uint64_t>(std::distance(begin(descriptors), end(descriptors)));
  const bool complete = !failure && usage.memory_kb != 0;
  return complete ? std::optional(usage) : std::nullopt;
}

void Process::requestStop() {
  if (running()) {
    ::kill(pid_, SIGTERM);
  }
}

} // namespace workshatch::scenario
