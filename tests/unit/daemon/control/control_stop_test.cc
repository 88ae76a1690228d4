/// @file
/// Planned stops of a control replica and its services.
#include <future>
#include <thread>
#include <vector>

#include <doctest/doctest.h>

#include "unit/daemon/control/control_fixture.h"
#include "unit/stop_count.h"

namespace workshatch::test {

namespace {

/// Operators that call again and again, on connections of their own, until they are told to stop:
/// for the status, for a change, for another member.
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
  /// Calls that nobody answered before the caller's own time was over.
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

// A daemon that was told to stop did not end: its log ended with "drain_finished" and
// "leadership_lost", "stopped" never came, and who had started it waited for a minute and gave up.
// The replica's loop ends before its services do. A router or an operator that called in between
// left its call in the inbox of a loop that was gone, and the gRPC server waits without a limit for
// calls that it has handed on. The lines that showed it: "replica_ended" with one call in the inbox
// (in a second run with none: the call came after the loop's end), "services_ending" with one open
// call, then nothing; the main thread stood in grpc::Server::UnrefAndWaitLocked, called by the end
// of ControlServices.
TEST_CASE("A call that comes after a control replica has ended is answered") {
  const auto machine = std::make_shared<ControlMachine>();
  machine->start();
  TestOperator caller;
  REQUIRE(waitUntil([&] { return caller.isServed(); }));

  machine->replica->stop();
  constexpr std::chrono::seconds kCallersLimit{2};
  v1::StatusReply reply;
  const grpc::Status status = caller.status(kCallersLimit, reply);

  // The caller turns to another replica at once, not when its own time is over.
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
    // Some stops come in the first election, some while the replica leads, and then changes, a
    // change of the membership or a snapshot are under way.
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

// A daemon whose disk was full, or did not answer, did not end when it was told to: "disk_failed"
// and "drain_finished" stood in its log, "stopped" never came (none of four stops on the real
// programs with a data folder that refused writes). The stop asked the replica's loop whether
// leadership was handed over and waited for the answer without a limit; the loop waited for the
// disk and would only have left that wait for a flag that the stop sets later.
TEST_CASE("A control replica ends while its disk refuses writes") {
  const auto machine = std::make_shared<ControlMachine>();
  machine->start();
  TestOperator first;
  REQUIRE(waitUntil([&] { return first.isServed(); }));
  const uint64_t taken_before = machine->replica->callCounts().accepted;
  machine->disk.full = true;
  auto change = std::async(std::launch::async, [] { return TestOperator().apply(2 * kStopLimit); });
  REQUIRE(waitUntil([&] { return machine->replica->callCounts().accepted > taken_before; }));

  REQUIRE(endsInTime([machine] { machine->stop(); }));
  // The change is neither stored nor lost: the operator sends it again to another replica.
  CHECK(change.get().error_code() == grpc::StatusCode::UNAVAILABLE);
}

// Operators that pressed a leader whose disk was full waited until their own deadline, 144 calls of
// 3 s each in one run of planned-stop-pressed: the loop waits for the disk and answers nobody.
TEST_CASE("A control replica whose disk refuses writes turns callers away until it works again") {
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

TEST_CASE("A control replica whose disk hangs is given up") {
  const auto machine = std::make_shared<ControlMachine>();
  machine->start();
  TestOperator first;
  REQUIRE(waitUntil([&] { return first.isServed(); }));
  const uint64_t taken_before = machine->replica->callCounts().accepted;
  machine->disk.hanging = true;
  auto change = std::async(std::launch::async, [] { return TestOperator().apply(2 * kStopLimit); });
  REQUIRE(waitUntil([&] { return machine->replica->callCounts().accepted > taken_before; }));

  std::atomic<bool> given_up{false};
  CHECK(endsInTime(
      [machine, &given_up] { given_up = machine->stop() == daemon::StopOutcome::DiskHangs; }));
  CHECK(given_up);
  CHECK(change.get().error_code() == grpc::StatusCode::UNAVAILABLE);
  machine->disk.resume();
}

} // namespace workshatch::test
