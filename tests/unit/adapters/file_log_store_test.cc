/// @file
/// Tests of the log store of a replica on a disk that refuses single calls, or all that write.
#include <cerrno>
#include <doctest/doctest.h>
#include <filesystem>
#include <fstream>
#include <iterator>
#include <map>
#include <string>
#include <unistd.h>

#include "adapters/disk/file_log_store.h"
#include "ports/seeded_random.h"

namespace workshatch::test {

namespace {

/// The calls of the system, of which those that a test names are refused.
class RefusingFiles : public disk::FileOperations {
public:
  bool createFolders(const std::filesystem::path& folder) override {
    const bool exists = std::filesystem::exists(folder);
    return exists || (takesWrites() && disk::FileOperations::createFolders(folder));
  }
  int create(const std::filesystem::path& path, int flags) override {
    return takesWrites() ? disk::FileOperations::create(path, flags) : -1;
  }
  bool write(int file, const std::string& bytes) override {
    if (writes_partially) {
      disk::FileOperations::write(file, bytes.substr(0, bytes.size() / 2));
      return false;
    }
    return takesWrites() && disk::FileOperations::write(file, bytes);
  }
  bool sync(int file) override {
    return !refuses_syncs && takesWrites() && disk::FileOperations::sync(file);
  }
  bool syncData(int file) override { return takesWrites() && disk::FileOperations::syncData(file); }
  bool truncate(int file, uint64_t size) override {
    return !refuses_truncation && takesWrites() && disk::FileOperations::truncate(file, size);
  }
  bool rename(const std::filesystem::path& from, const std::filesystem::path& target) override {
    const bool misreported = reports_log_rename_failed && target.filename() == "raft.log";
    return takesWrites() && disk::FileOperations::rename(from, target) && !misreported;
  }
  bool syncFolder(const std::filesystem::path& folder) override {
    if (folder_syncs_left == 0 || !takesWrites()) {
      return false;
    }
    --folder_syncs_left;
    return disk::FileOperations::syncFolder(folder);
  }

  /// The disk is full: each call that writes is refused.
  bool full = false;
  bool refuses_syncs = false;
  bool writes_partially = false;
  bool refuses_truncation = false;
  bool reports_log_rename_failed = false;
  /// Syncs of the folder that succeed before they are refused.
  int folder_syncs_left = kUnlimited;

  static constexpr int kUnlimited = 1000;

private:
  bool takesWrites() const {
    errno = full ? ENOSPC : errno;
    return !full;
  }
};

/// A replica's folder, and the store of the process that uses it.
class StoreOnRefusingDisk {
public:
  StoreOnRefusingDisk() {
    std::string pattern = (std::filesystem::temp_directory_path() / "workshatch-XXXXXX").string();
    folder_ = ::mkdtemp(pattern.data());
    restart();
  }
  ~StoreOnRefusingDisk() {
    store_.reset();
    std::filesystem::remove_all(folder_);
  }
  StoreOnRefusingDisk(const StoreOnRefusingDisk&) = delete;
  StoreOnRefusingDisk& operator=(const StoreOnRefusingDisk&) = delete;

  /// Ends the process and starts another one.
  StoredReplica restart() {
    store_.reset();
    store_.emplace(folder_, random_, 0, files);
    auto loaded = store_->load();
    REQUIRE_MESSAGE(!isError(loaded), (isError(loaded) ? errorOf(loaded).message : ""));
    return std::get<StoredReplica>(std::move(loaded));
  }
  disk::FileLogStore& store() { return *store_; }
  const std::filesystem::path& folder() const { return folder_; }
  void append(const std::string& name, const std::string& bytes) const {
    std::ofstream(folder_ / name, std::ios::app | std::ios::binary) << bytes;
  }
  /// @return the content of each file of the folder, by name.
  std::map<std::string, std::string> content() const {
    std::map<std::string, std::string> files;
    for (const auto& entry : std::filesystem::directory_iterator(folder_)) {
      std::ifstream in(entry.path(), std::ios::binary);
      files[entry.path().filename()] = std::string(std::istreambuf_iterator<char>(in), {});
    }
    return files;
  }

  RefusingFiles files;

private:
  std::filesystem::path folder_;
  SeededRandom random_{1};
  std::optional<disk::FileLogStore> store_;
};

v1::RaftEntry entryAt(uint64_t index) {
  v1::RaftEntry entry;
  entry.set_index(index);
  entry.set_term(1);
  entry.set_command("command " + std::to_string(index));
  return entry;
}

raft::RaftReady entriesFrom(uint64_t first, uint64_t last) {
  raft::RaftReady ready;
  ready.hard_state.emplace();
  ready.hard_state->set_term(1);
  for (uint64_t index = first; index <= last; ++index) {
    ready.entries.push_back(entryAt(index));
  }
  return ready;
}

v1::RaftSnapshot snapshotAt(uint64_t index) {
  v1::RaftSnapshot snapshot;
  snapshot.set_index(index);
  snapshot.set_term(1);
  return snapshot;
}

/// The log up to `last`, with a snapshot there.
raft::RaftLog compactedLog(uint64_t last) {
  raft::RaftLog log;
  for (uint64_t index = 1; index <= last; ++index) {
    log.append(entryAt(index));
  }
  log.compact(snapshotAt(last), 0);
  return log;
}

v1::RaftHardState hardState() {
  v1::RaftHardState hard_state;
  hard_state.set_term(1);
  return hard_state;
}

} // namespace

// Guards against a replica that ends at each start while its disk is full.
TEST_CASE("a full disk ends no start, and nothing in the folder changes until it takes writes") {
  StoreOnRefusingDisk disk;
  const uint64_t id = disk.restart().id;
  REQUIRE_FALSE(isError(disk.store().write(entriesFrom(1, 3))));
  SUBCASE("a sound folder") {}
  SUBCASE("a torn record at the end of the log") { disk.append("raft.log", "1LSW torn"); }
  SUBCASE("a file that was to replace another one") { disk.append("raft.log.new", "a part"); }
  const auto before = disk.content();

  disk.files.full = true;
  const StoredReplica loaded = disk.restart();
  CHECK(loaded.id == id);
  CHECK(loaded.recovery.log.lastIndex() == 3);
  CHECK(isError(disk.store().settle()));
  CHECK(isError(disk.store().write(entriesFrom(4, 4))));
  CHECK(disk.content() == before);

  disk.files.full = false;
  REQUIRE_FALSE(isError(disk.store().settle()));
  REQUIRE_FALSE(isError(disk.store().write(entriesFrom(4, 5))));
  const StoredReplica restarted = disk.restart();
  CHECK(restarted.id == id);
  CHECK(restarted.recovery.log.lastIndex() == 5);
}

TEST_CASE("a new replica on a full disk has no stored identity until the disk takes writes") {
  StoreOnRefusingDisk disk;
  std::filesystem::remove(disk.folder() / "lock");
  SUBCASE("an empty folder") {}
  SUBCASE("no folder") { std::filesystem::remove(disk.folder()); }
  disk.files.full = true;
  const uint64_t id = disk.restart().id;
  CHECK(id != 0);
  CHECK(isError(disk.store().settle()));
  disk.files.full = false;
  REQUIRE_FALSE(isError(disk.store().settle()));
  CHECK(disk.restart().id == id);
}

// Guards against an entry that a predecessor wrote without a sync, is acknowledged after a restart
// and lost with the power.
TEST_CASE("a replica does not settle before what its predecessor left is synced") {
  StoreOnRefusingDisk disk;
  REQUIRE_FALSE(isError(disk.store().write(entriesFrom(1, 3))));
  disk.restart();
  disk.files.refuses_syncs = true;
  CHECK(isError(disk.store().settle()));
  disk.files.refuses_syncs = false;
  CHECK_FALSE(isError(disk.store().settle()));
}

TEST_CASE("a folder that could not be locked is not written if another process uses it meanwhile") {
  StoreOnRefusingDisk disk;
  std::filesystem::remove(disk.folder() / "lock");
  disk.files.full = true;
  disk.restart();
  disk.files.full = false;
  SeededRandom random(2);
  std::optional<disk::FileLogStore> other(std::in_place, disk.folder(), random);
  REQUIRE_FALSE(isError(other->load()));
  CHECK(errorOf(disk.store().settle()).message.find("in use") != std::string::npos);
  REQUIRE_FALSE(isError(other->write(entriesFrom(1, 1))));
  other.reset();
  CHECK(errorOf(disk.store().settle()).message.find("was used") != std::string::npos);
  CHECK(isError(disk.store().write(entriesFrom(1, 9))));
  CHECK(disk.restart().recovery.log.lastIndex() == 1);
}

TEST_CASE("entries acknowledged after a compaction whose folder sync failed outlast a restart") {
  StoreOnRefusingDisk disk;
  REQUIRE_FALSE(isError(disk.store().write(entriesFrom(1, 3))));
  // The sync after the snapshot's rename succeeds, the one after the log's does not.
  disk.files.folder_syncs_left = 1;
  CHECK(isError(disk.store().compact(compactedLog(3), hardState())));
  // The rename may be undone by a crash: nothing may be acknowledged from either file.
  CHECK(isError(disk.store().write(entriesFrom(4, 4))));
  disk.files.folder_syncs_left = RefusingFiles::kUnlimited;
  REQUIRE_FALSE(isError(disk.store().write(entriesFrom(4, 5))));
  CHECK(disk.restart().recovery.log.lastIndex() == 5);
}

TEST_CASE("a leader's snapshot whose folder sync failed is followed by entries in the new log") {
  StoreOnRefusingDisk disk;
  raft::RaftReady ready;
  ready.snapshot = snapshotAt(7);
  disk.files.folder_syncs_left = 1;
  CHECK(isError(disk.store().write(ready)));
  disk.files.folder_syncs_left = RefusingFiles::kUnlimited;
  REQUIRE_FALSE(isError(disk.store().write(entriesFrom(8, 9))));
  CHECK(disk.restart().recovery.log.lastIndex() == 9);
}

TEST_CASE("a log whose rename was done and reported as failed is the one that is written") {
  StoreOnRefusingDisk disk;
  REQUIRE_FALSE(isError(disk.store().write(entriesFrom(1, 3))));
  raft::RaftReady ready;
  ready.snapshot = snapshotAt(7);
  disk.files.reports_log_rename_failed = true;
  CHECK(isError(disk.store().write(ready)));
  disk.files.reports_log_rename_failed = false;
  REQUIRE_FALSE(isError(disk.store().write(entriesFrom(8, 9))));
  CHECK(disk.restart().recovery.log.lastIndex() == 9);
}

TEST_CASE("a partial record that could not be removed is not followed by another one") {
  StoreOnRefusingDisk disk;
  REQUIRE_FALSE(isError(disk.store().write(entriesFrom(1, 3))));
  disk.files.writes_partially = true;
  disk.files.refuses_truncation = true;
  CHECK(isError(disk.store().write(entriesFrom(4, 4))));
  disk.files.writes_partially = false;
  CHECK(isError(disk.store().write(entriesFrom(4, 4))));
  disk.files.refuses_truncation = false;
  REQUIRE_FALSE(isError(disk.store().write(entriesFrom(4, 4))));
  CHECK(disk.restart().recovery.log.lastIndex() == 4);
}

TEST_CASE("a replica that could not replace its identity is read again under its own") {
  StoreOnRefusingDisk disk;
  const uint64_t id = disk.restart().id;
  disk.files.folder_syncs_left = 0;
  CHECK(isError(disk.store().storeIdentity(id + 2)));
  disk.files.folder_syncs_left = RefusingFiles::kUnlimited;
  REQUIRE_FALSE(isError(disk.store().write(entriesFrom(1, 1))));
  CHECK(disk.restart().id == id);
}

TEST_CASE("a term that was not written is not stored with a later snapshot") {
  StoreOnRefusingDisk disk;
  raft::RaftReady refused;
  refused.hard_state.emplace();
  refused.hard_state->set_term(9);
  disk.files.writes_partially = true;
  CHECK(isError(disk.store().write(refused)));
  disk.files.writes_partially = false;
  raft::RaftReady ready;
  ready.snapshot = snapshotAt(7);
  REQUIRE_FALSE(isError(disk.store().write(ready)));
  CHECK(disk.restart().recovery.hard_state.term() == 0);
}

} // namespace workshatch::test
