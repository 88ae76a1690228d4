/// @file
/// Tests of the log store of a replica, the files of settings and declarations, the datagram codec
/// and the parser of event streams.
#include <doctest/doctest.h>
#include <filesystem>
#include <fstream>

#include "adapters/datagram/peer_codec.h"
#include "adapters/disk/file_log_store.h"
#include "adapters/disk/record_file.h"
#include "adapters/http/event_stream.h"
#include "adapters/settings/settings_file.h"
#include "ports/seeded_random.h"

namespace workshatch::test {

namespace {

/// A temporary folder, removed by the destructor.
class TemporaryFolder {
public:
  TemporaryFolder() {
    std::string pattern = (std::filesystem::temp_directory_path() / "workshatch-XXXXXX").string();
    path_ = ::mkdtemp(pattern.data());
  }
  ~TemporaryFolder() { std::filesystem::remove_all(path_); }
  TemporaryFolder(const TemporaryFolder&) = delete;
  TemporaryFolder& operator=(const TemporaryFolder&) = delete;

  std::filesystem::path operator/(const std::string& name) const { return path_ / name; }
  const std::filesystem::path& path() const { return path_; }

private:
  std::filesystem::path path_;
};

void writeText(const std::filesystem::path& path, const std::string& text) {
  std::ofstream(path) << text;
  std::filesystem::permissions(path, std::filesystem::perms::owner_read |
                                         std::filesystem::perms::owner_write);
}

raft::RaftReady readyWith(uint64_t first, uint64_t last, uint64_t term) {
  raft::RaftReady ready;
  ready.hard_state.emplace();
  ready.hard_state->set_term(term);
  for (uint64_t index = first; index <= last; ++index) {
    v1::RaftEntry entry;
    entry.set_index(index);
    entry.set_term(term);
    entry.set_command("command " + std::to_string(index));
    ready.entries.push_back(entry);
  }
  return ready;
}

std::string validationErrorsFor(const std::string& text) {
  const TemporaryFolder folder;
  const std::filesystem::path path = folder / "settings.json";
  writeText(path, text);
  const auto loaded = settings::loadSettings(path.string());
  std::string all;
  if (const auto* errors = std::get_if<settings::ValidationErrors>(&loaded)) {
    for (const settings::ValidationError& error : *errors) {
      all += error.pointer + ": " + error.message + "\n";
    }
  }
  return all;
}

} // namespace

TEST_CASE("a restart recovers the log of a replica without its torn tail") {
  const TemporaryFolder folder;
  SeededRandom random(1);
  uint64_t id = 0;
  {
    disk::FileLogStore store(folder.path(), random);
    id = std::get<StoredReplica>(store.load()).id;
    REQUIRE_FALSE(isError(store.write(readyWith(1, 5, 2))));
  }
  {
    std::ofstream log(folder / "raft.log", std::ios::app | std::ios::binary);
    std::string torn;
    disk::appendRecord(torn, "a record that was not written whole");
    log << torn.substr(0, torn.size() - 3);
  }
  disk::FileLogStore store(folder.path(), random);
  const auto loaded = store.load();
  REQUIRE_FALSE(isError(loaded));
  const auto& replica = std::get<StoredReplica>(loaded);
  CHECK(replica.id == id);
  CHECK(replica.recovery.hard_state.term() == 2);
  CHECK(replica.recovery.log.lastIndex() == 5);
  CHECK(replica.recovery.log.at(5).command() == "command 5");
}

TEST_CASE("a damaged record in the middle of the log is an error that names file and offset") {
  const TemporaryFolder folder;
  SeededRandom random(1);
  {
    disk::FileLogStore store(folder.path(), random);
    (void)store.load();
    REQUIRE_FALSE(isError(store.write(readyWith(1, 50, 2))));
  }
  std::fstream log(folder / "raft.log", std::ios::in | std::ios::out | std::ios::binary);
  log.seekp(300);
  log.put('!');
  log.close();
  disk::FileLogStore store(folder.path(), random);
  const auto loaded = store.load();
  REQUIRE(isError(loaded));
  CHECK(errorOf(loaded).message.find("raft.log at offset") != std::string::npos);
}

// Guards against a replica that starts as another one, which may vote twice in a term.
TEST_CASE("a damaged identity is rejected") {
  for (const char* text : {"12x45\n", "1234", "0\n", "1234 1"}) {
    const TemporaryFolder folder;
    writeText(folder / "identity", text);
    SeededRandom random(1);
    disk::FileLogStore store(folder.path(), random);
    CHECK(errorOf(store.load()).message.find("damaged identity") != std::string::npos);
  }
}

TEST_CASE("a turned bit in an identity is found, also in one that was stored without a checksum") {
  const TemporaryFolder folder;
  SeededRandom random(1);
  writeText(folder / "identity", "1234\n");
  {
    disk::FileLogStore store(folder.path(), random);
    CHECK(std::get<StoredReplica>(store.load()).id == 1234);
    REQUIRE_FALSE(isError(store.settle()));
  }
  {
    std::fstream identity(folder / "identity", std::ios::in | std::ios::out | std::ios::binary);
    identity.put('3');
  }
  disk::FileLogStore store(folder.path(), random);
  CHECK(errorOf(store.load()).message.find("damaged identity") != std::string::npos);
}

// Guards against a replica that starts without the entries that it has acknowledged.
TEST_CASE("a log that was compacted is rejected without its snapshot") {
  const TemporaryFolder folder;
  SeededRandom random(1);
  {
    disk::FileLogStore store(folder.path(), random);
    (void)store.load();
    raft::RaftReady ready = readyWith(8, 9, 2);
    ready.snapshot.emplace();
    ready.snapshot->set_index(7);
    ready.snapshot->set_term(2);
    REQUIRE_FALSE(isError(store.write(ready)));
  }
  std::filesystem::remove(folder / "raft.snapshot");
  disk::FileLogStore store(folder.path(), random);
  CHECK(errorOf(store.load()).message.find("above the snapshot") != std::string::npos);
}

TEST_CASE("a data folder in use, or one with a log but no identity, is rejected") {
  const TemporaryFolder folder;
  SeededRandom random(1);
  disk::FileLogStore store(folder.path(), random);
  REQUIRE_FALSE(isError(store.load()));
  disk::FileLogStore second(folder.path(), random);
  CHECK(errorOf(second.load()).message.find("in use") != std::string::npos);
  const TemporaryFolder other;
  writeText(other / "raft.log", "something");
  disk::FileLogStore third(other.path(), random);
  CHECK(errorOf(third.load()).message.find("no identity") != std::string::npos);
}

TEST_CASE("all errors in settings are reported, with JSON pointer and expected value") {
  const std::string errors = validationErrorsFor(R"({
    "name": "Entry 1", "zone": "a", "control_key": "0123456789abcdef",
    "control_addresses": ["localhost:1"], "colour": "red",
    "router": {"http_address": "127.0.0.1:80", "peer_address": "127.0.0.1:81",
               "peer_key": "short", "platform_address": "127.0.0.1:82", "workers": 0}})");
  CHECK(errors.find("/name: ") != std::string::npos);
  CHECK(errors.find("/colour: unknown member") != std::string::npos);
  CHECK(errors.find("/control_addresses/0: ") != std::string::npos);
  CHECK(errors.find("/router/peer_key: ") != std::string::npos);
  CHECK(errors.find("/router/workers: ") != std::string::npos);
  CHECK(errors.find("threads that serve connections (1 to 64)") != std::string::npos);
}

TEST_CASE("a settings file that other users may read is rejected") {
  const TemporaryFolder folder;
  const std::filesystem::path path = folder / "settings.json";
  writeText(path, "{}");
  std::filesystem::permissions(path, std::filesystem::perms::group_read,
                               std::filesystem::perm_options::add);
  const auto loaded = settings::loadSettings(path.string());
  CHECK(settings::describe(std::get<settings::ValidationErrors>(loaded)[0]).find("0600") !=
        std::string::npos);
}

TEST_CASE("undeclared services and contradicting factors in declarations are errors") {
  const TemporaryFolder folder;
  writeText(folder / "a.json", R"({"services": [{"name": "s", "kind": "plain",
      "cap_factor": 1.2, "aim_factor": 1.3}], "routes": [{"service": "t"}]})");
  const auto loaded = settings::loadDeclarations(folder.path().string());
  const auto& errors = std::get<settings::ValidationErrors>(loaded);
  REQUIRE(errors.size() == 2);
  CHECK(errors[0].pointer == "/services/0/aim_factor");
  CHECK(errors[1].pointer == "/routes/0/service");
}

TEST_CASE("a datagram with another key, a changed byte or too few bytes is rejected") {
  v1::PeerDatagram datagram;
  datagram.set_sender("entry-1");
  std::string bytes = datagram::encodeDatagram(datagram, "a key of sixteen");
  CHECK(datagram::decodeDatagram(bytes, "a key of sixteen")->sender() == "entry-1");
  CHECK_FALSE(datagram::decodeDatagram(bytes, "another key of it"));
  bytes.back() = static_cast<char>(bytes.back() ^ 1);
  CHECK_FALSE(datagram::decodeDatagram(bytes, "a key of sixteen"));
  CHECK_FALSE(datagram::decodeDatagram("short", "a key of sixteen"));
}

TEST_CASE("events are parsed whatever the sizes of the pieces of the stream") {
  const std::string stream = "id: 1\ndata: a\n\nid: 2\r\ndata: b\ndata: c\n\n: comment\n\n";
  for (size_t part = 1; part < stream.size(); ++part) {
    http::EventStreamParser parser;
    std::string seen;
    for (size_t start = 0; start < stream.size(); start += part) {
      parser.feed(std::string_view(stream).substr(start, part));
      while (const auto event = parser.next()) {
        seen += event->id + "=" + event->data + ";";
      }
    }
    CHECK(seen == "1=a;2=b\nc;");
  }
}

} // namespace workshatch::test
