/// @file
/// Tests that a control replica and its services stop in time and answer all calls, also while the
/// disk fails or hangs.
#include <future>
#include <thread>
#include <vector>

#include <doctest/doctest.h>

#include "unit/daemon/control/control_fixture.h"
#include "unit/stop_count.h"

namespace workshatch::test {

namespace {

/// Operators that repeat status, configuration and membership calls on their own connections until
/// `stop` is called.
class RepeatingOperators {
public:
  explicit RepeatingOperators(uint64_t replica_id) : replica_id_(replica_id) {}
  ~RepeatingOperators() { stop(); }
  RepeatingOperators(const RepeatingOperators&) = delete;
  RepeatingOperators& operator=(const RepeatingOperators&) = delete;

  void start() {
    constexpr int kOperators = 8;
    for (int i = 0; i < kOperators; ++i) {
      threads_.emplace_back([this] { callRepeatedly(); });
    }
  }
  void stop() {
    stopped_ = true;
    for (std::thread& thread : threads_) {
      thread.join();
    }
    threads_.clear();
  }
  /// @return the number of calls that were not answered before their deadline.
  int endedByDeadline() const { return ended_by_deadline_; }

private:
  void callRepeatedly() {
    TestOperator caller;
    for (int call = 0; !stopped_; ++call) {
      if (callOnce(caller, call).error_code() == grpc::StatusCode::DEADLINE_EXCEEDED) {
        ++ended_by_deadline_;
      }
    }
  }
  grpc::Status callOnce(TestOperator& caller, int call) const {
    constexpr int kKinds = 3;
    switch (call % kKinds) {
    case 0:
      return caller.apply(kStopLimit);
    case 1:
      return caller.replaceReplica(kStopLimit, replica_id_);
    default: {
      v1::StatusReply reply;
      return caller.status(kStopLimit, reply);
    }
    }
  }

  const uint64_t replica_id_;
  std::vector<std::thread> threads_;
  std::atomic<bool> stopped_{false};
  std::atomic<int> ended_by_deadline_{0};
};

} // namespace

// Guards against a daemon that never exits after it was told to stop: its log ended with
// "drain_finished" and "leadership_lost", without "stopped". The replica's loop ends before its
// gRPC services do. A call that arrived in between, or shortly before the loop ended, was never
// answered, and the destructor of ControlServices waited without a limit for it, in
// grpc::Server::UnrefAndWaitLocked.
TEST_CASE("A call to a stopped control replica is answered") {
  const auto machine = std::make_shared<ControlMachine>();
  machine->start();
  TestOperator caller;
  REQUIRE(waitUntil([&] { return caller.isServed(); }));

  machine->replica->stop();
  constexpr std::chrono::seconds kCallersLimit{2};
  v1::StatusReply reply;
  const grpc::Status status = caller.status(kCallersLimit, reply);

  // The caller can retry at another replica immediately, not only after its deadline.
  CHECK((status.error_code() == grpc::StatusCode::UNAVAILABLE || reply.not_leader()));
  CHECK(endsInTime([machine] { machine->services.reset(); }));
}

TEST_CASE("A control replica ends while operators go on calling, and each call is answered") {
  const int stops = stopCount(20);
  int late = 0;
  for (int seed = 1; seed <= stops; ++seed) {
    const auto machine = std::make_shared<ControlMachine>(seed);
    machine->start();
    SeededRandom random(seed);
    RepeatingOperators operators(seed);
    operators.start();
    // Some stops occur during the first election, others while the replica is the leader and
    // changes, a membership change or a snapshot are in progress.
    constexpr uint64_t kMaxRunTimeMs = 120;
    std::this_thread::sleep_for(std::chrono::milliseconds(random.below(kMaxRunTimeMs)));

    REQUIRE_MESSAGE(endsInTime([machine] { machine->stop(); }), "stop of seed ", seed);
    const daemon::CallCounts counts = machine->replica->callCounts();
    CHECK(counts.accepted == counts.answered + counts.refused);
    operators.stop();
    CHECK_MESSAGE(operators.endedByDeadline() == 0, "seed ", seed);
    late += operators.endedByDeadline();
  }
  CHECK(late == 0);
}

// Guards against a daemon that never exits if its disk is full or hangs: its log had "disk_failed"
// and "drain_finished", without "stopped", in each of four stops of the real programs with a data
// folder that refused writes. The stop waited without a limit for the loop to report the leadership
// transfer, while the loop waited for the disk until a flag that the stop sets only later.
TEST_CASE("A control replica ends while disk writes fail") {
  const auto machine = std::make_shared<ControlMachine>();
  machine->start();
  TestOperator first;
  REQUIRE(waitUntil([&] { return first.isServed(); }));
  const uint64_t accepted_before = machine->replica->callCounts().accepted;
  machine->disk.full = true;
  auto change = std::async(std::launch::async, [] { return TestOperator().apply(2 * kStopLimit); });
  REQUIRE(waitUntil([&] { return machine->replica->callCounts().accepted > accepted_before; }));

  REQUIRE(endsInTime([machine] { machine->stop(); }));
  // The change is not acknowledged, so that the operator retries it at another replica.
  CHECK(change.get().error_code() == grpc::StatusCode::UNAVAILABLE);
}

// Guards against calls that wait until their deadline at a leader whose disk is full (144 calls of
// 3 s each in one run of planned-stop-pressed), since the loop waits for the disk and answers no
// call.
TEST_CASE("A control replica refuses calls while disk writes fail and serves them afterwards") {
  const auto machine = std::make_shared<ControlMachine>();
  machine->start();
  TestOperator caller;
  REQUIRE(waitUntil([&] { return caller.isServed(); }));
  machine->disk.full = true;
  CHECK(TestOperator().apply(kStopLimit).error_code() == grpc::StatusCode::UNAVAILABLE);
  v1::StatusReply reply;
  CHECK(caller.status(kStopLimit, reply).error_code() == grpc::StatusCode::UNAVAILABLE);

  machine->disk.full = false;
  CHECK(waitUntil([&] { return caller.isServed(); }));
  machine->stop();
}

// Guards against a process that ends at each start while its disk is full.
TEST_CASE("A control replica that starts on a full disk refuses calls and serves them afterwards") {
  const auto machine = std::make_shared<ControlMachine>();
  machine->disk.full = true;
  machine->start();
  CHECK(TestOperator().apply(kStopLimit).error_code() == grpc::StatusCode::UNAVAILABLE);
  SUBCASE("the disk takes writes") {
    machine->disk.full = false;
    TestOperator caller;
    CHECK(waitUntil([&] { return caller.isServed(); }));
    machine->stop();
  }
  SUBCASE("it is stopped before") {
    CHECK(endsInTime([machine] { machine->stop(); }));
  }
}

TEST_CASE("The stop of a control replica whose disk hangs returns DiskHangs in time") {
  const auto machine = std::make_shared<ControlMachine>();
  machine->start();
  TestOperator first;
  REQUIRE(waitUntil([&] { return first.isServed(); }));
  const uint64_t accepted_before = machine->replica->callCounts().accepted;
  machine->disk.hanging = true;
  auto change = std::async(std::launch::async, [] { return TestOperator().apply(2 * kStopLimit); });
  REQUIRE(waitUntil([&] { return machine->replica->callCounts().accepted > accepted_before; }));

  std::atomic<bool> given_up{false};
  CHECK(endsInTime(
      [machine, &given_up] { given_up = machine->stop() == daemon::StopOutcome::DiskHangs; }));
  CHECK(given_up);
  CHECK(change.get().error_code() == grpc::StatusCode::UNAVAILABLE);
  machine->disk.resume();
}

} // namespace workshatch::test
