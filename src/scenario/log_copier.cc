#include "scenario/log_copier.h"

#include <array>
#include <cerrno>
#include <fstream>
#include <unistd.h>

namespace workshatch::scenario {

namespace {

constexpr size_t kReadBytes = 65536;

void copy(int pipe, const std::string& path) {
  std::ofstream log(path, std::ios::app | std::ios::binary);
  std::array<char, kReadBytes> buffer{};
  while (true) {
    const ssize_t count = ::read(pipe, buffer.data(), buffer.size());
    if (count < 0 && errno == EINTR) {
      continue;
    }
    if (count <= 0) {
      break;
    }
    log.write(buffer.data(), count);
    log.flush();
  }
  ::close(pipe);
}

} // namespace

LogCopier::LogCopier(int pipe, const std::string& path)
    : thread_([pipe, path] { copy(pipe, path); }) {}

LogCopier::~LogCopier() { thread_.join(); }

} // namespace workshatch::scenario
