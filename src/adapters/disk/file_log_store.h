/// @file
/// Stores the Raft log, snapshot and identity of a replica as files in one data folder.
#pragma once

#include <cstdint>
#include <filesystem>
#include <string>

#include "ports/log_store.h"
#include "ports/random.h"

namespace workshatch::disk {

/// Files: `identity` (decimal number), `raft.log` (framed records), `raft.snapshot` (one record),
/// `lock` (locked while the process runs, so that no second process uses the folder).
///
/// A record consists of a magic number, the payload length and a CRC-32C, each 32 bits
/// little-endian, followed by the payload. Each call syncs its writes to disk before it returns.
/// Not safe for concurrent use.
class FileLogStore : public LogStore {
public:
  /// @param random generates the identity of an empty folder; must outlive the store.
  /// @param first_identity identity of an empty folder; zero: a random one
  FileLogStore(std::filesystem::path folder, Random& random, uint64_t first_identity = 0);
  ~FileLogStore() override;
  FileLogStore(const FileLogStore&) = delete;
  FileLogStore& operator=(const FileLogStore&) = delete;

  Result<StoredReplica> load() override;
  Result<std::monostate> storeIdentity(uint64_t id) override;
  Result<std::monostate> write(const raft::RaftReady& ready) override;
  Result<std::monostate> compact(const raft::RaftLog& log,
                                 const v1::RaftHardState& hard_state) override;

private:
  Result<uint64_t> loadIdentity();
  Result<raft::RaftRecovery> loadLog();
  Result<v1::RaftSnapshot> loadSnapshot();
  Result<std::monostate> lockFolder();
  Result<std::monostate> rewriteLog(const std::vector<v1::RaftEntry>& entries,
                                    const v1::RaftHardState& hard_state);
  Result<std::monostate> replaceFile(const std::string& name, const std::string& content);
  Result<std::monostate> appendSynced(const std::string& bytes);
  Result<std::monostate> openLog();

  const std::filesystem::path folder_;
  Random& random_;
  const uint64_t first_identity_;
  int log_file_ = -1;
  int lock_file_ = -1;
  /// Length in bytes of the log file up to the end of the last synced record.
  uint64_t log_size_ = 0;
  v1::RaftHardState hard_state_;
};

} // namespace workshatch::disk
