/// @file
/// Tests of the group role with a group of one replica: evacuation calls of operators over HTTP,
/// and planned stops during such calls.
#include <atomic>
#include <chrono>
#include <filesystem>
#include <string>
#include <thread>
#include <vector>

#include <boost/asio/post.hpp>
#include <doctest/doctest.h>

#include "adapters/http/http_types.h"
#include "adapters/system_clock.h"
#include "daemon/group/group_role.h"
#include "ports/seeded_random.h"
#include "unit/daemon/list_codecs.h"
#include "unit/daemon/relay/relay_fixture.h"
#include "unit/stop_count.h"
#include "unit/wait_until.h"

namespace workshatch::test {

namespace {

constexpr const char* kOperatorAddress = "127.0.0.1:18271";
constexpr uint16_t kLinkPort = 18272;

class NoConfigurationCodec : public ConfigurationCodec {
public:
  Result<relay::Configuration> decode(std::string_view) const override {
    return Error{"no configuration"};
  }
};

/// A group of one replica with its own data folder.
class OneReplica {
public:
  OneReplica() : folder_(std::filesystem::temp_directory_path() / "workshatch-group-role-test") {
    std::filesystem::remove_all(folder_);
    std::filesystem::create_directories(folder_);
    settings::RelaySettings settings;
    settings.name = "replica-1";
    settings.zone = "north";
    settings.zones = relay::ZoneRegions({{"north", "here"}, {"south", "here"}});
    settings.ip = "127.0.0.1";
    settings.operator_address = kOperatorAddress;
    settings.link_port = kLinkPort;
    settings.seeds = {kOperatorAddress};
    settings.first_start = true;
    settings.data_folder = folder_.string();
    settings.runner_list_address = "127.0.0.1:1";
    role_ = std::make_unique<daemon::GroupRole>(
        settings, workers_, clock_,
        daemon::RelayAdapters{
            .dialect = dialect_, .configurations = configurations_, .runner_lists = lists_});
    REQUIRE_FALSE(isError(role_->start()));
    workers_.start();
  }
  ~OneReplica() {
    workers_.stop();
    role_.reset();
    std::filesystem::remove_all(folder_);
  }
  OneReplica(const OneReplica&) = delete;
  OneReplica& operator=(const OneReplica&) = delete;

  /// @return the whole HTTP response.
  static std::string call(const std::string& method, const std::string& path) {
    return answerTo(method + " " + path +
                        " HTTP/1.1\r\nHost: h.example\r\nConnection: close\r\n"
                        "Content-Length: 0\r\n\r\n",
                    kOperatorAddress);
  }

  /// Stops the role as the daemon does. @return whether it stopped within kStopLimit.
  bool stop() {
    std::atomic<bool> stopped{false};
    boost::asio::post(workers_.context(0), [&] { role_->stop([&] { stopped = true; }); });
    const bool in_time = waitUntil([&] { return stopped.load(); });
    workers_.stop();
    return in_time;
  }

  /// Repeats the call, as operators do, until the replica is the leader.
  static std::string callLeader(const std::string& method, const std::string& path) {
    const auto limit = std::chrono::steady_clock::now() + std::chrono::seconds(10);
    std::string answer = call(method, path);
    while (answer.starts_with("HTTP/1.1 503") && std::chrono::steady_clock::now() < limit) {
      std::this_thread::yield();
      answer = call(method, path);
    }
    return answer;
  }

private:
  const std::filesystem::path folder_;
  const SystemClock clock_{};
  const TestDialect dialect_{};
  const NoConfigurationCodec configurations_{};
  const NoListCodec lists_{};
  WorkerPool workers_{1};
  std::unique_ptr<daemon::GroupRole> role_;
};

/// Operators that repeat evacuation calls until destruction.
class RepeatingOperators {
public:
  RepeatingOperators() {
    constexpr int kOperators = 4;
    for (int i = 0; i < kOperators; ++i) {
      threads_.emplace_back([this] { callRepeatedly(); });
    }
  }
  ~RepeatingOperators() {
    stopped_ = true;
    for (std::thread& thread : threads_) {
      thread.join();
    }
  }
  RepeatingOperators(const RepeatingOperators&) = delete;
  RepeatingOperators& operator=(const RepeatingOperators&) = delete;

  int answered() const { return answered_; }

private:
  void callRepeatedly() {
    while (!stopped_) {
      const std::string answer = OneReplica::call("POST", "/evacuate/south");
      answered_ += answer.starts_with("HTTP/1.1 ") ? 1 : 0;
    }
  }

  std::vector<std::thread> threads_;
  std::atomic<bool> stopped_{false};
  std::atomic<int> answered_{0};
};

} // namespace

TEST_CASE("A replica of the group ends while operators go on calling") {
  const int stops = stopCount(5);
  for (int seed = 1; seed <= stops; ++seed) {
    OneReplica replica;
    const RepeatingOperators operators;
    // Some stops occur before the first election, some while the replica is the leader.
    constexpr uint64_t kMinRunTimeMs = 50;
    constexpr uint64_t kMaxRunTimeMs = 800;
    std::this_thread::sleep_for(
        std::chrono::milliseconds(kMinRunTimeMs + SeededRandom(seed).below(kMaxRunTimeMs)));
    REQUIRE_MESSAGE(replica.stop(), "stop of seed ", seed);
    CHECK(operators.answered() > 0);
  }
}

TEST_CASE("Evacuation calls are acknowledged, also repeated ones, and invalid calls are refused") {
  const OneReplica replica;
  CHECK(OneReplica::callLeader("POST", "/evacuate/south").starts_with("HTTP/1.1 200"));
  CHECK(OneReplica::call("POST", "/evacuate/south").starts_with("HTTP/1.1 200"));
  CHECK(OneReplica::call("POST", "/take-back/south").starts_with("HTTP/1.1 200"));
  CHECK(OneReplica::call("POST", "/take-back/south").starts_with("HTTP/1.1 200"));
  const std::string unknown = OneReplica::call("POST", "/evacuate/west");
  CHECK(unknown.starts_with("HTTP/1.1 404"));
  CHECK(unknown.find("there is no zone") != std::string::npos);
  const std::string wrong = OneReplica::call("GET", "/evacuate/south");
  CHECK(wrong.starts_with("HTTP/1.1 405"));
  CHECK(wrong.find("Allow: POST") != std::string::npos);
}

} // namespace workshatch::test
