#include "adapters/disk/file_operations.h"

#include <cerrno>
#include <fcntl.h>
#include <unistd.h>

namespace workshatch::disk {

namespace {

constexpr int kFileMode = 0600;

} // namespace

bool FileOperations::createFolders(const std::filesystem::path& folder) {
  std::error_code failure;
  std::filesystem::create_directories(folder, failure);
  errno = failure.value();
  return !failure;
}

int FileOperations::create(const std::filesystem::path& path, int flags) {
  return ::open(path.c_str(), flags | O_CREAT | O_CLOEXEC, kFileMode);
}

bool FileOperations::write(int file, const std::string& bytes) {
  size_t done = 0;
  while (done < bytes.size()) {
    const ssize_t count = ::write(file, bytes.data() + done, bytes.size() - done);
    if (count < 0 && errno == EINTR) {
      continue;
    }
    if (count <= 0) {
      return false;
    }
    done += static_cast<size_t>(count);
  }
  return true;
}

bool FileOperations::sync(int file) { return ::fsync(file) == 0; }

bool FileOperations::syncData(int file) { return ::fdatasync(file) == 0; }

bool FileOperations::truncate(int file, uint64_t size) {
  return ::ftruncate(file, static_cast<off_t>(size)) == 0;
}

bool FileOperations::rename(const std::filesystem::path& from,
                            const std::filesystem::path& target) {
  return ::rename(from.c_str(), target.c_str()) == 0;
}

bool FileOperations::syncFolder(const std::filesystem::path& folder) {
  const int file = ::open(folder.c_str(), O_RDONLY | O_DIRECTORY | O_CLOEXEC);
  if (file < 0) {
    return false;
  }
  const bool synced = ::fsync(file) == 0;
  const int failure = errno;
  ::close(file);
  errno = failure;
  return synced;
}

FileOperations& systemFileOperations() {
  static FileOperations operations;
  return operations;
}

} // namespace workshatch::disk
