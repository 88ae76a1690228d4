#include "adapters/disk/file_log_store.h"

#include <cerrno>
#include <cstring>
#include <fcntl.h>
#include <fstream>
#include <sstream>
#include <sys/file.h>
#include <unistd.h>
#include <utility>

#include "adapters/disk/record_file.h"

namespace workshatch::disk {

namespace {

constexpr int kFileMode = 0600;
constexpr const char* kLogName = "raft.log";
constexpr const char* kSnapshotName = "raft.snapshot";
constexpr const char* kIdentityName = "identity";
constexpr const char* kLockName = "lock";

Error systemError(const std::string& what, const std::filesystem::path& path) {
  return Error{what + " " + path.string() + ": " + std::strerror(errno)};
}

std::string encodeRecord(const v1::RaftLogRecord& record) {
  std::string out;
  appendRecord(out, record.SerializeAsString());
  return out;
}

std::string entryRecord(const v1::RaftEntry& entry) {
  v1::RaftLogRecord record;
  *record.mutable_entry() = entry;
  return encodeRecord(record);
}

std::string hardStateRecord(const v1::RaftHardState& hard_state) {
  v1::RaftLogRecord record;
  *record.mutable_hard_state() = hard_state;
  return encodeRecord(record);
}

Result<std::string> readFile(const std::filesystem::path& path) {
  if (!std::filesystem::exists(path)) {
    return std::string();
  }
  std::ifstream in(path, std::ios::binary);
  std::ostringstream content;
  content << in.rdbuf();
  if (!in) {
    return systemError("cannot read", path);
  }
  return content.str();
}

bool writeAll(int file, const std::string& bytes) {
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

bool syncFolder(const std::filesystem::path& folder) {
  const int file = ::open(folder.c_str(), O_RDONLY | O_DIRECTORY | O_CLOEXEC);
  if (file < 0) {
    return false;
  }
  const bool synced = ::fsync(file) == 0;
  ::close(file);
  return synced;
}

/// Applies one record of the log file to the entries and the hard state read so far. The first
/// entry is the base of the log; a truncation never removes it.
void replay(const v1::RaftLogRecord& record, std::vector<v1::RaftEntry>& entries,
            v1::RaftHardState& hard_state) {
  switch (record.record_case()) {
  case v1::RaftLogRecord::kEntry:
    entries.push_back(record.entry());
    break;
  case v1::RaftLogRecord::kHardState:
    hard_state = record.hard_state();
    break;
  case v1::RaftLogRecord::kTruncateFrom:
    while (entries.size() > 1 && entries.back().index() >= record.truncate_from()) {
      entries.pop_back();
    }
    break;
  case v1::RaftLogRecord::RECORD_NOT_SET:
    break;
  }
}

} // namespace

FileLogStore::FileLogStore(std::filesystem::path folder, Random& random, uint64_t first_identity)
    : folder_(std::move(folder)), random_(random), first_identity_(first_identity) {}

FileLogStore::~FileLogStore() {
  if (log_file_ >= 0) {
    ::close(log_file_);
  }
  if (lock_file_ >= 0) {
    ::close(lock_file_);
  }
}

Result<StoredReplica> FileLogStore::load() {
  std::error_code failure;
  std::filesystem::create_directories(folder_, failure);
  if (failure) {
    return Error{"cannot create " + folder_.string() + ": " + failure.message()};
  }
  if (auto locked = lockFolder(); isError(locked)) {
    return errorOf(locked);
  }
  auto identity = loadIdentity();
  if (isError(identity)) {
    return errorOf(identity);
  }
  auto recovery = loadLog();
  if (isError(recovery)) {
    return errorOf(recovery);
  }
  return StoredReplica{.id = std::get<uint64_t>(identity),
                       .recovery = std::move(std::get<raft::RaftRecovery>(recovery))};
}

Result<std::monostate> FileLogStore::lockFolder() {
  lock_file_ = ::open((folder_ / kLockName).c_str(), O_RDWR | O_CREAT | O_CLOEXEC, kFileMode);
  if (lock_file_ < 0) {
    return systemError("cannot open", folder_ / kLockName);
  }
  if (::flock(lock_file_, LOCK_EX | LOCK_NB) != 0) {
    return Error{"data folder " + folder_.string() + " is in use by another process"};
  }
  return std::monostate{};
}

Result<uint64_t> FileLogStore::loadIdentity() {
  auto content = readFile(folder_ / kIdentityName);
  if (isError(content)) {
    return errorOf(content);
  }
  const std::string& text = std::get<std::string>(content);
  if (!text.empty()) {
    const uint64_t id = std::strtoull(text.c_str(), nullptr, 10);
    if (id == 0) {
      return Error{(folder_ / kIdentityName).string() + ": not a number above zero"};
    }
    return id;
  }
  if (std::filesystem::exists(folder_ / kLogName)) {
    return Error{folder_.string() + " holds a log but no identity: this replica does not start"};
  }
  const uint64_t id = first_identity_ != 0 ? first_identity_ : random_.next() | 1U;
  if (auto stored = storeIdentity(id); isError(stored)) {
    return errorOf(stored);
  }
  return id;
}

Result<std::monostate> FileLogStore::storeIdentity(uint64_t id) {
  return replaceFile(kIdentityName, std::to_string(id) + "\n");
}

Result<v1::RaftSnapshot> FileLogStore::loadSnapshot() {
  auto content = readFile(folder_ / kSnapshotName);
  if (isError(content)) {
    return errorOf(content);
  }
  const std::string& bytes = std::get<std::string>(content);
  v1::RaftSnapshot snapshot;
  if (bytes.empty()) {
    return snapshot;
  }
  const std::string name = (folder_ / kSnapshotName).string();
  auto scan = scanRecords(bytes, name);
  if (isError(scan)) {
    return errorOf(scan);
  }
  const RecordScan& records = std::get<RecordScan>(scan);
  if (records.payloads.size() != 1 || !snapshot.ParseFromString(records.payloads.front())) {
    return Error{"damaged snapshot " + name +
                 " at offset 0: this replica does not start; replace "
                 "it from the others"};
  }
  return snapshot;
}

Result<raft::RaftRecovery> FileLogStore::loadLog() {
  auto snapshot = loadSnapshot();
  if (isError(snapshot)) {
    return errorOf(snapshot);
  }
  const std::string name = (folder_ / kLogName).string();
  auto content = readFile(folder_ / kLogName);
  if (isError(content)) {
    return errorOf(content);
  }
  auto scan = scanRecords(std::get<std::string>(content), name);
  if (isError(scan)) {
    return errorOf(scan);
  }
  const RecordScan& records = std::get<RecordScan>(scan);
  std::vector<v1::RaftEntry> entries;
  for (const std::string& payload : records.payloads) {
    v1::RaftLogRecord record;
    if (!record.ParseFromString(payload)) {
      return Error{"unreadable record in " + name + ": this replica does not start"};
    }
    replay(record, entries, hard_state_);
  }
  raft::RaftLog log(std::move(std::get<v1::RaftSnapshot>(snapshot)), std::move(entries));
  // Rewriting the file removes a torn tail and entries that later records truncated.
  if (auto rewritten = rewriteLog(log.entriesWithBase(), hard_state_); isError(rewritten)) {
    return errorOf(rewritten);
  }
  return raft::RaftRecovery{.hard_state = hard_state_, .log = std::move(log)};
}

Result<std::monostate> FileLogStore::write(const raft::RaftReady& ready) {
  if (ready.hard_state) {
    hard_state_ = *ready.hard_state;
  }
  if (ready.snapshot) {
    std::string content;
    appendRecord(content, ready.snapshot->SerializeAsString());
    if (auto stored = replaceFile(kSnapshotName, content); isError(stored)) {
      return stored;
    }
    v1::RaftEntry base;
    base.set_index(ready.snapshot->index());
    base.set_term(ready.snapshot->term());
    std::vector<v1::RaftEntry> entries{base};
    entries.insert(entries.end(), ready.entries.begin(), ready.entries.end());
    return rewriteLog(entries, hard_state_);
  }
  std::string bytes;
  if (ready.hard_state) {
    bytes += hardStateRecord(*ready.hard_state);
  }
  if (ready.truncate_from != 0) {
    v1::RaftLogRecord record;
    record.set_truncate_from(ready.truncate_from);
    bytes += encodeRecord(record);
  }
  for (const v1::RaftEntry& entry : ready.entries) {
    bytes += entryRecord(entry);
  }
  return appendSynced(bytes);
}

Result<std::monostate> FileLogStore::compact(const raft::RaftLog& log,
                                             const v1::RaftHardState& hard_state) {
  std::string content;
  appendRecord(content, log.snapshot().SerializeAsString());
  if (auto stored = replaceFile(kSnapshotName, content); isError(stored)) {
    return stored;
  }
  hard_state_ = hard_state;
  return rewriteLog(log.entriesWithBase(), hard_state);
}

Result<std::monostate> FileLogStore::rewriteLog(const std::vector<v1::RaftEntry>& entries,
                                                const v1::RaftHardState& hard_state) {
  std::string content;
  for (const v1::RaftEntry& entry : entries) {
    content += entryRecord(entry);
  }
  content += hardStateRecord(hard_state);
  if (auto stored = replaceFile(kLogName, content); isError(stored)) {
    return stored;
  }
  log_size_ = content.size();
  return openLog();
}

Result<std::monostate> FileLogStore::openLog() {
  if (log_file_ >= 0) {
    ::close(log_file_);
  }
  log_file_ = ::open((folder_ / kLogName).c_str(), O_WRONLY | O_APPEND | O_CLOEXEC);
  if (log_file_ < 0) {
    return systemError("cannot open", folder_ / kLogName);
  }
  return std::monostate{};
}

Result<std::monostate> FileLogStore::appendSynced(const std::string& bytes) {
  if (bytes.empty()) {
    return std::monostate{};
  }
  if (!writeAll(log_file_, bytes) || ::fdatasync(log_file_) != 0) {
    const Error error = systemError("cannot write", folder_ / kLogName);
    // Removes a partially written record. A later record behind it would turn it from a torn tail
    // into damage in the middle of the log, with which the replica refuses to start.
    if (::ftruncate(log_file_, static_cast<off_t>(log_size_)) != 0) {
      return Error{error.message + "; cannot truncate the partially written record"};
    }
    return error;
  }
  log_size_ += bytes.size();
  return std::monostate{};
}

Result<std::monostate> FileLogStore::replaceFile(const std::string& name,
                                                 const std::string& content) {
  const std::filesystem::path target = folder_ / name;
  const std::filesystem::path temporary = folder_ / (name + ".new");
  const int file = ::open(temporary.c_str(), O_WRONLY | O_CREAT | O_TRUNC | O_CLOEXEC, kFileMode);
  if (file < 0) {
    return systemError("cannot create", temporary);
  }
  const bool written = writeAll(file, content) && ::fsync(file) == 0;
  const Error error = systemError("cannot write", temporary);
  ::close(file);
  if (!written) {
    return error;
  }
  if (::rename(temporary.c_str(), target.c_str()) != 0 || !syncFolder(folder_)) {
    return systemError("cannot replace", target);
  }
  return std::monostate{};
}

} // namespace workshatch::disk
