/// @file
/// Tests of a control role that belongs to no group and whose peers do not answer.
#include <filesystem>
#include <memory>
#include <string>

#include <boost/asio/ip/tcp.hpp>
#include <doctest/doctest.h>

#include "adapters/http/http_types.h"
#include "adapters/system_clock.h"
#include "daemon/control/control_role.h"
#include "unit/stop_count.h"
#include "unit/wait_until.h"

namespace workshatch::test {

namespace {

/// The ports are below the range of ephemeral ports.
constexpr const char* kOwnAddress = "127.0.9.13:19173";
constexpr const char* kSilentAddress = "127.0.9.14:19174";
constexpr const char* kAbsentAddress = "127.0.9.15:19175";

/// Lets clients connect and never reads from the connections.
class SilentPeer {
public:
  SilentPeer() : acceptor_(context_, *http::parseEndpoint(kSilentAddress)) {}

private:
  boost::asio::io_context context_;
  boost::asio::ip::tcp::acceptor acceptor_;
};

/// A control role with its own data folder. The thread that stopped it may still destroy it while
/// the next one starts.
class Machine {
public:
  explicit Machine(int seed)
      : folder_(std::filesystem::temp_directory_path() /
                ("workshatch-control-role-test-" + std::to_string(seed))) {
    std::filesystem::remove_all(folder_);
    settings_.set_name("entry-1");
    settings_.set_zone("a");
    settings_.set_control_key("control-key");
    for (const char* address : {kOwnAddress, kSilentAddress, kAbsentAddress}) {
      settings_.add_control_addresses(address);
    }
    v1::ControlSettings* control = settings_.mutable_control();
    control->set_data_folder(folder_.string());
    control->set_rpc_address(kOwnAddress);
    control->set_operator_token("operator-token");
    control->set_heartbeat_ms(10);
    control->set_election_timeout_ms(50);
    control->set_lease_ms(100);
    control->set_accept_wait_ms(100);
    control->set_snapshot_entries(100);
    role_ = std::make_unique<daemon::ControlRole>(settings_, workers_, clock_);
    REQUIRE_FALSE(isError(role_->start()));
    workers_.start();
  }
  ~Machine() {
    workers_.stop();
    role_.reset();
    std::filesystem::remove_all(folder_);
  }
  Machine(const Machine&) = delete;
  Machine& operator=(const Machine&) = delete;

  daemon::StopOutcome stop() { return role_->stop(); }

private:
  const std::filesystem::path folder_;
  const SystemClock clock_{};
  v1::Settings settings_;
  WorkerPool workers_{1};
  std::unique_ptr<daemon::ControlRole> role_;
};

} // namespace

TEST_CASE("A control role without a group stops once or twice while a peer does not answer") {
  const SilentPeer silent;
  const int stops = stopCount(10);
  for (int seed = 1; seed <= stops; ++seed) {
    const auto machine = std::make_shared<Machine>(seed);
    // Some stops occur before the first hello is sent, some while one is in progress.
    constexpr uint64_t kMaxRunTimeMs = 300;
    std::this_thread::sleep_for(std::chrono::milliseconds(SeededRandom(seed).below(kMaxRunTimeMs)));
    REQUIRE_MESSAGE(endsInTime([machine] {
                      CHECK(machine->stop() == daemon::StopOutcome::Ended);
                      CHECK(machine->stop() == daemon::StopOutcome::Ended);
                    }),
                    "stop of seed ", seed);
  }
}

} // namespace workshatch::test
