/// @file
/// Stores the Raft log, snapshot and identity of a replica as files in one data folder.
#pragma once

#include <chrono>
#include <cstdint>
#include <filesystem>
#include <string>
#include <vector>

#include "adapters/disk/file_operations.h"
#include "ports/log_store.h"
#include "ports/random.h"

namespace workshatch::disk {

/// Files: `identity` (decimal number and its CRC-32C), `raft.log` (framed records), `raft.snapshot`
/// (one record), `lock` (locked while the process runs, so that no second process uses the folder).
///
/// A record consists of a magic number, the payload length and a CRC-32C, each 32 bits
/// little-endian, followed by the payload. Each call syncs its writes to disk before it returns.
/// After a failure at any step, nothing is acknowledged before what was left undone is completed.
/// After a start, that is to rewrite the log, which removes a torn tail and syncs what the
/// predecessor may have left unsynced. Not safe for concurrent use.
class FileLogStore : public LogStore {
public:
  /// @param random generates the identity of an empty folder; must outlive the store.
  /// @param first_identity identity of an empty folder; zero: a random one
  /// @param files must outlive the store
  FileLogStore(std::filesystem::path folder, Random& random, uint64_t first_identity = 0,
               FileOperations& files = systemFileOperations());
  ~FileLogStore() override;
  FileLogStore(const FileLogStore&) = delete;
  FileLogStore& operator=(const FileLogStore&) = delete;

  Result<StoredReplica> load() override;
  Result<std::monostate> settle() override;
  Result<std::monostate> storeIdentity(uint64_t id) override;
  Result<std::monostate> write(const raft::RaftReady& ready) override;
  Result<std::monostate> compact(const raft::RaftLog& log,
                                 const v1::RaftHardState& hard_state) override;

private:
  Result<std::monostate> loadIdentity();
  Result<raft::RaftRecovery> loadLog();
  Result<v1::RaftSnapshot> loadSnapshot();
  /// Opens the lock file, which it creates in a new folder.
  /// @return whether it is open: false if there is none and the disk refuses to create it.
  Result<bool> openLock();
  Result<std::monostate> lockFolder(std::chrono::milliseconds limit);
  /// Takes a lock that could not be taken at the start.
  Result<std::monostate> lockLate();
  Result<std::monostate> writeSnapshot(const raft::RaftReady& ready,
                                       const v1::RaftHardState& hard_state);
  Result<std::monostate> writeRecords(const raft::RaftReady& ready);
  Result<std::monostate> rewriteLog(const std::vector<v1::RaftEntry>& entries,
                                    const v1::RaftHardState& hard_state);
  /// Completes what an earlier failure left undone, so that what is written next is read by the
  /// next start: nothing is written to the log until this succeeds.
  Result<std::monostate> completeWrites();
  Result<std::monostate> writeIdentity(uint64_t id);
  /// Goes on with the renamed file.
  void takeReplacement();
  /// After a rename that reported a failure: goes on with the file that the log's name denotes.
  Result<std::monostate> adoptReplacement();
  Result<std::monostate> replaceFile(const std::string& name, const std::string& content);
  /// Writes and syncs the file that is to replace the file of that name. Returns it opened.
  Result<int> createReplacement(const std::string& name, const std::string& content);
  Result<std::monostate> renameReplacement(const std::string& name);
  Result<std::monostate> appendSynced(const std::string& bytes);

  /// An opened log file.
  struct LogFile {
    int file = -1;
    /// Length in bytes up to the end of the last synced record.
    uint64_t size = 0;
  };

  const std::filesystem::path folder_;
  Random& random_;
  const uint64_t first_identity_;
  FileOperations& files_;
  LogFile log_;
  /// The file that is being renamed to the log's name; open from before the rename on, so that
  /// there is no moment at which the renamed file could not be opened.
  LogFile replacement_;
  int lock_file_ = -1;
  /// Content of the identity file at the start.
  std::string loaded_identity_;
  /// The log as it was read, base entry first, until it is rewritten.
  std::vector<v1::RaftEntry> loaded_entries_;
  /// A name in the folder changed, which a crash may undo until the folder is synced.
  bool folder_unsynced_ = false;
  /// Behind the last synced record, the log may contain a part of another one.
  bool log_torn_ = false;
  /// Identity of the replica; zero until it is known.
  uint64_t identity_ = 0;
  /// The file may contain another identity than the replica's.
  bool identity_unsure_ = false;
  v1::RaftHardState hard_state_;
};

} // namespace workshatch::disk
