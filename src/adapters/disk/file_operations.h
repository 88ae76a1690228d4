/// @file
/// Calls that change files and folders. A disk may refuse each of them; tests simulate that.
#pragma once

#include <cstdint>
#include <filesystem>
#include <string>

namespace workshatch::disk {

/// Each method returns whether the call succeeded, and sets `errno` if it did not.
class FileOperations {
public:
  virtual ~FileOperations() = default;

  /// Creates the folder and those above it, where they are missing.
  virtual bool createFolders(const std::filesystem::path& folder);
  /// Opens a file for writing; creates it, readable by its owner only, if it is missing.
  /// @param flags further flags of `open`
  /// @return its descriptor; negative if the call failed.
  virtual int create(const std::filesystem::path& path, int flags);
  /// Writes all bytes. After a failure, a part of them may be in the file.
  virtual bool write(int file, const std::string& bytes);
  virtual bool sync(int file);
  /// Makes content and size durable, but not the times of the file.
  virtual bool syncData(int file);
  virtual bool truncate(int file, uint64_t size);
  virtual bool rename(const std::filesystem::path& from, const std::filesystem::path& target);
  /// Makes the names in the folder durable.
  virtual bool syncFolder(const std::filesystem::path& folder);
};

/// @return the calls of the system. Has no state, so it is safe for concurrent use.
FileOperations& systemFileOperations();

} // namespace workshatch::disk
