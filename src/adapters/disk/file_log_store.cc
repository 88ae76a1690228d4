#include "adapters/disk/file_log_store.h"

#include <algorithm>
#include <cerrno>
#include <chrono>
#include <cstring>
#include <fcntl.h>
#include <optional>
#include <sys/file.h>
#include <sys/stat.h>
#include <thread>
#include <unistd.h>
#include <utility>

#include "adapters/bind_wait.h"
#include "adapters/disk/record_file.h"

namespace workshatch::disk {

namespace {

constexpr size_t kReadBytes = size_t{64} * 1024;
constexpr const char* kLogName = "raft.log";
constexpr const char* kSnapshotName = "raft.snapshot";
constexpr const char* kIdentityName = "identity";
constexpr const char* kLockName = "lock";
/// Added to the name of a file that is to replace the file of that name.
constexpr const char* kReplacementSuffix = ".new";

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

/// @return the identity as it was stored before it had a checksum.
std::string uncheckedIdentityText(uint64_t id) { return std::to_string(id) + "\n"; }

std::string identityText(uint64_t id) {
  const std::string digits = std::to_string(id);
  return digits + " " + std::to_string(checksumOf(digits)) + "\n";
}

/// @return whether the error is a state of the disk, which may pass: it is full, fails or is
/// mounted read-only.
bool isRefusal(int error) {
  return error == ENOSPC || error == EDQUOT || error == EFBIG || error == EIO || error == EROFS;
}

void closeFile(int& file) {
  if (file >= 0) {
    ::close(file);
  }
  file = -1;
}

/// @return the content of the file; empty if it does not exist.
Result<std::string> readFile(const std::filesystem::path& path) {
  int file = ::open(path.c_str(), O_RDONLY | O_CLOEXEC);
  if (file < 0) {
    return errno == ENOENT ? Result<std::string>(std::string()) : systemError("cannot open", path);
  }
  std::string content;
  std::string block(kReadBytes, '\0');
  ssize_t count = 0;
  while ((count = ::read(file, block.data(), block.size())) > 0 || (count < 0 && errno == EINTR)) {
    content.append(block, 0, static_cast<size_t>(std::max<ssize_t>(count, 0)));
  }
  // A part of the file must not be taken for a torn log.
  Result<std::string> result = std::move(content);
  if (count < 0) {
    result = systemError("cannot read", path);
  }
  closeFile(file);
  return result;
}

/// @return whether `path` names the file that is open as `file`; nothing if that can't be told.
std::optional<bool> namesFile(const std::filesystem::path& path, int file) {
  struct stat named {};
  struct stat opened {};
  if (::fstat(file, &opened) != 0) {
    return std::nullopt;
  }
  if (::stat(path.c_str(), &named) != 0) {
    return errno == ENOENT ? std::optional<bool>(false) : std::nullopt;
  }
  return named.st_dev == opened.st_dev && named.st_ino == opened.st_ino;
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

FileLogStore::FileLogStore(std::filesystem::path folder, Random& random, uint64_t first_identity,
                           FileOperations& files)
    : folder_(std::move(folder)), random_(random), first_identity_(first_identity), files_(files) {}

FileLogStore::~FileLogStore() {
  closeFile(log_.file);
  closeFile(replacement_.file);
  closeFile(lock_file_);
}

Result<StoredReplica> FileLogStore::load() {
  const auto opened = openLock();
  if (isError(opened)) {
    return errorOf(opened);
  }
  if (std::get<bool>(opened)) {
    // A predecessor that has been told to end may still hold the lock.
    if (auto locked = lockFolder(kMaxHeldWait); isError(locked)) {
      return errorOf(locked);
    }
  }
  if (auto identity = loadIdentity(); isError(identity)) {
    return errorOf(identity);
  }
  auto recovery = loadLog();
  if (isError(recovery)) {
    return errorOf(recovery);
  }
  return StoredReplica{.id = identity_,
                       .recovery = std::move(std::get<raft::RaftRecovery>(recovery))};
}

Result<bool> FileLogStore::openLock() {
  const std::filesystem::path path = folder_ / kLockName;
  if (files_.createFolders(folder_)) {
    lock_file_ = files_.create(path, O_RDWR);
  }
  if (lock_file_ < 0 && isRefusal(errno)) {
    lock_file_ = ::open(path.c_str(), O_RDONLY | O_CLOEXEC);
    if (lock_file_ < 0 && errno == ENOENT) {
      return false;
    }
  }
  return lock_file_ < 0 ? Result<bool>(systemError("cannot open", path)) : true;
}

Result<std::monostate> FileLogStore::lockFolder(std::chrono::milliseconds limit) {
  const auto until = std::chrono::steady_clock::now() + limit;
  while (::flock(lock_file_, LOCK_EX | LOCK_NB) != 0) {
    if (std::chrono::steady_clock::now() >= until) {
      return Error{"data folder " + folder_.string() + " is in use by another process"};
    }
    std::this_thread::sleep_for(kHeldPoll);
  }
  return std::monostate{};
}

Result<std::monostate> FileLogStore::lockLate() {
  if (lock_file_ >= 0) {
    return std::monostate{};
  }
  const auto opened = openLock();
  if (isError(opened)) {
    return errorOf(opened);
  }
  if (!std::get<bool>(opened)) {
    return Error{"cannot create " + (folder_ / kLockName).string() + ": the disk refuses"};
  }
  auto locked = lockFolder(std::chrono::milliseconds(0));
  const auto identity = readFile(folder_ / kIdentityName);
  if (!isError(locked) &&
      (isError(identity) || std::get<std::string>(identity) != loaded_identity_)) {
    locked = Error{"data folder " + folder_.string() + " was used by another process meanwhile"};
  }
  if (isError(locked)) {
    closeFile(lock_file_);
  }
  return locked;
}

Result<std::monostate> FileLogStore::loadIdentity() {
  auto content = readFile(folder_ / kIdentityName);
  if (isError(content)) {
    return errorOf(content);
  }
  loaded_identity_ = std::get<std::string>(content);
  if (!loaded_identity_.empty()) {
    identity_ = std::strtoull(loaded_identity_.c_str(), nullptr, 10);
    // Stored anew with its checksum: a damaged number would be the identity of another replica.
    identity_unsure_ = loaded_identity_ == uncheckedIdentityText(identity_);
    const bool sound = identity_unsure_ || loaded_identity_ == identityText(identity_);
    if (identity_ == 0 || !sound) {
      return Error{"damaged identity " + (folder_ / kIdentityName).string() +
                   ": this replica does not start; replace it from the others"};
    }
    return std::monostate{};
  }
  std::error_code failure;
  const bool has_log = std::filesystem::exists(folder_ / kLogName, failure);
  if (failure) {
    return Error{"cannot examine " + (folder_ / kLogName).string() + ": " + failure.message()};
  }
  if (has_log) {
    return Error{folder_.string() + " holds a log but no identity: this replica does not start"};
  }
  identity_ = first_identity_ != 0 ? first_identity_ : random_.next() | 1U;
  identity_unsure_ = true;
  return std::monostate{};
}

Result<std::monostate> FileLogStore::storeIdentity(uint64_t id) {
  auto settled = settle();
  return isError(settled) ? settled : writeIdentity(id);
}

Result<std::monostate> FileLogStore::writeIdentity(uint64_t id) {
  // If this fails, the file may already contain the new identity, while the replica keeps its own.
  identity_unsure_ = true;
  if (auto stored = replaceFile(kIdentityName, identityText(id)); isError(stored)) {
    return stored;
  }
  identity_ = id;
  identity_unsure_ = false;
  return std::monostate{};
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
  v1::RaftSnapshot& state = std::get<v1::RaftSnapshot>(snapshot);
  if (!entries.empty() && entries.front().index() > state.index()) {
    return Error{name + " begins at " + std::to_string(entries.front().index()) +
                 ", above the snapshot at " + std::to_string(state.index()) +
                 ": this replica does not start; replace it from the others"};
  }
  raft::RaftLog log(std::move(state), std::move(entries));
  loaded_entries_ = log.entriesWithBase();
  return raft::RaftRecovery{.hard_state = hard_state_, .log = std::move(log)};
}

Result<std::monostate> FileLogStore::write(const raft::RaftReady& ready) {
  if (auto settled = settle(); isError(settled)) {
    return settled;
  }
  const v1::RaftHardState& hard_state = ready.hard_state ? *ready.hard_state : hard_state_;
  auto written = ready.snapshot ? writeSnapshot(ready, hard_state) : writeRecords(ready);
  if (!isError(written)) {
    hard_state_ = v1::RaftHardState(hard_state);
  }
  return written;
}

Result<std::monostate> FileLogStore::writeSnapshot(const raft::RaftReady& ready,
                                                   const v1::RaftHardState& hard_state) {
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
  return rewriteLog(entries, hard_state);
}

Result<std::monostate> FileLogStore::writeRecords(const raft::RaftReady& ready) {
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
  if (auto settled = settle(); isError(settled)) {
    return settled;
  }
  std::string content;
  appendRecord(content, log.snapshot().SerializeAsString());
  if (auto stored = replaceFile(kSnapshotName, content); isError(stored)) {
    return stored;
  }
  auto rewritten = rewriteLog(log.entriesWithBase(), hard_state);
  if (!isError(rewritten)) {
    hard_state_ = hard_state;
  }
  return rewritten;
}

Result<std::monostate> FileLogStore::rewriteLog(const std::vector<v1::RaftEntry>& entries,
                                                const v1::RaftHardState& hard_state) {
  std::string content;
  for (const v1::RaftEntry& entry : entries) {
    content += entryRecord(entry);
  }
  content += hardStateRecord(hard_state);
  auto created = createReplacement(kLogName, content);
  if (isError(created)) {
    return errorOf(created);
  }
  replacement_ = LogFile{.file = std::get<int>(created), .size = content.size()};
  const auto renamed = renameReplacement(kLogName);
  if (!isError(renamed)) {
    takeReplacement();
  }
  const auto completed = completeWrites();
  return isError(renamed) ? renamed : completed;
}

void FileLogStore::takeReplacement() {
  std::swap(log_, replacement_);
  log_torn_ = false;
  closeFile(replacement_.file);
}

Result<std::monostate> FileLogStore::settle() {
  if (auto locked = lockLate(); isError(locked)) {
    return locked;
  }
  if (auto completed = completeWrites(); isError(completed) || loaded_entries_.empty()) {
    return completed;
  }
  // Rewriting the file removes a torn tail and entries that later records truncated.
  auto rewritten = rewriteLog(loaded_entries_, hard_state_);
  if (!isError(rewritten)) {
    loaded_entries_.clear();
    loaded_entries_.shrink_to_fit();
  }
  return rewritten;
}

Result<std::monostate> FileLogStore::completeWrites() {
  if (auto adopted = adoptReplacement(); isError(adopted)) {
    return adopted;
  }
  if (folder_unsynced_) {
    if (!files_.syncFolder(folder_)) {
      return systemError("cannot sync", folder_);
    }
    folder_unsynced_ = false;
  }
  if (log_torn_) {
    if (!files_.truncate(log_.file, log_.size)) {
      return systemError("cannot truncate the partially written record of", folder_ / kLogName);
    }
    log_torn_ = false;
  }
  return identity_unsure_ ? writeIdentity(identity_) : std::monostate{};
}

Result<std::monostate> FileLogStore::adoptReplacement() {
  if (replacement_.file < 0) {
    return std::monostate{};
  }
  const std::optional<bool> replaced = namesFile(folder_ / kLogName, replacement_.file);
  if (!replaced) {
    return systemError("cannot examine", folder_ / kLogName);
  }
  if (*replaced) {
    takeReplacement();
  } else {
    closeFile(replacement_.file);
  }
  return std::monostate{};
}

Result<std::monostate> FileLogStore::appendSynced(const std::string& bytes) {
  if (bytes.empty()) {
    return std::monostate{};
  }
  if (!files_.write(log_.file, bytes) || !files_.syncData(log_.file)) {
    Error error = systemError("cannot write", folder_ / kLogName);
    // Removes a partially written record. A later record behind it would turn it from a torn tail
    // into damage in the middle of the log, with which the replica refuses to start.
    log_torn_ = true;
    if (const auto completed = completeWrites(); isError(completed)) {
      error.message += "; " + errorOf(completed).message;
    }
    return error;
  }
  log_.size += bytes.size();
  return std::monostate{};
}

Result<int> FileLogStore::createReplacement(const std::string& name, const std::string& content) {
  const std::filesystem::path temporary = folder_ / (name + kReplacementSuffix);
  int file = files_.create(temporary, O_WRONLY | O_TRUNC | O_APPEND);
  if (file < 0) {
    return systemError("cannot create", temporary);
  }
  if (!files_.write(file, content) || !files_.sync(file)) {
    const Error error = systemError("cannot write", temporary);
    closeFile(file);
    return error;
  }
  return file;
}

Result<std::monostate> FileLogStore::renameReplacement(const std::string& name) {
  const std::filesystem::path target = folder_ / name;
  // Even a rename that reports an error may have been done.
  folder_unsynced_ = true;
  if (!files_.rename(folder_ / (name + kReplacementSuffix), target)) {
    return systemError("cannot replace", target);
  }
  return std::monostate{};
}

Result<std::monostate> FileLogStore::replaceFile(const std::string& name,
                                                 const std::string& content) {
  auto created = createReplacement(name, content);
  if (isError(created)) {
    return errorOf(created);
  }
  closeFile(std::get<int>(created));
  if (auto renamed = renameReplacement(name); isError(renamed)) {
    return renamed;
  }
  if (!files_.syncFolder(folder_)) {
    return systemError("cannot sync", folder_);
  }
  folder_unsynced_ = false;
  return std::monostate{};
}

} // namespace workshatch::disk
