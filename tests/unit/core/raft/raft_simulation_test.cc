/// @file
/// Randomized tests of the replicated log: thousands of seeded histories with faults.
#include <doctest/doctest.h>

#include "simulated_group.h"

namespace workshatch::test {

namespace {

constexpr int kStepsUnderFaults = 150;
constexpr int kStepsHealed = 120;

struct HistoryTotals {
  uint64_t histories = 0;
  uint64_t committed = 0;
  uint64_t reads = 0;
};

v1::Command changeOf(uint64_t number) {
  v1::Command command;
  command.mutable_apply()->set_request_id("change-" + std::to_string(number));
  command.mutable_apply()->set_expected_revision(number);
  return command;
}

/// Fault rates with quick restarts and frequent isolation of replicas.
FaultRates fastRestarts() {
  FaultRates rates;
  rates.isolate = 15;
  rates.crash = 30;
  rates.restart = 700;
  rates.cut = 25;
  rates.lose = 10;
  return rates;
}

/// Runs one history and checks that the group makes progress again after the faults end.
void runHistory(uint64_t seed, size_t replicas, FaultRates rates, HistoryTotals& totals,
                bool leases = true) {
  SimulatedGroup group(seed, replicas, rates, leases);
  uint64_t change = 0;
  const auto work = [&] {
    for (auto& replica : group.replicas()) {
      const bool leads = replica->up && !replica->frozen && replica->node->isLeader();
      if (leads && group.random().below(3) == 0) {
        group.propose(*replica, changeOf(change++));
      }
      if (leads && group.random().below(4) == 0) {
        group.requestRead(*replica);
      }
    }
  };
  for (int i = 0; i < kStepsUnderFaults && group.violation().empty(); ++i) {
    group.step();
    work();
  }
  group.healAll();
  const uint64_t before = group.highestCommit();
  for (int i = 0; i < kStepsHealed && group.violation().empty(); ++i) {
    group.step();
    work();
  }
  if (group.violation().empty() && group.highestCommit() <= before) {
    group.fail("no progress after the faults ended");
  }
  // The seed reproduces the history.
  REQUIRE_MESSAGE(group.violation().empty(), "seed " << seed << " " << group.violation());
  ++totals.histories;
  totals.committed += group.highestCommit();
  totals.reads += group.confirmedReads();
}

} // namespace

TEST_CASE(
    "raft keeps its guarantees over 2,000 histories with loss, crashes, freezes and partitions") {
  HistoryTotals totals;
  for (uint64_t seed = 1; seed <= 1600; ++seed) {
    runHistory(seed, 3, FaultRates{}, totals);
  }
  for (uint64_t seed = 1601; seed <= 2000; ++seed) {
    runHistory(seed, 5, FaultRates{}, totals);
  }
  CHECK(totals.histories == 2000);
  MESSAGE("entries committed: " << totals.committed << ", reads confirmed: " << totals.reads);
}

TEST_CASE(
    "leader leases and reads stay valid when replicas restart quickly and leaders are isolated") {
  HistoryTotals totals;
  const FaultRates rates = fastRestarts();
  for (uint64_t seed = 3001; seed <= 3600; ++seed) {
    runHistory(seed, 3, rates, totals);
  }
  CHECK(totals.histories == 600);
}

TEST_CASE(
    "reads stay valid without leases when replicas restart quickly and start elections early") {
  HistoryTotals totals;
  const FaultRates rates = fastRestarts();
  for (uint64_t seed = 7001; seed <= 7600; ++seed) {
    runHistory(seed, 3, rates, totals, false);
  }
  for (uint64_t seed = 7601; seed <= 7800; ++seed) {
    runHistory(seed, 5, FaultRates{}, totals, false);
  }
  CHECK(totals.histories == 800);
  CHECK(totals.reads > 10'000);
}

TEST_CASE("raft loses no committed entry when disks are lost and replicas replaced") {
  HistoryTotals totals;
  FaultRates rates;
  rates.lose_disk = 15;
  rates.crash = 2;
  for (uint64_t seed = 5001; seed <= 5400; ++seed) {
    runHistory(seed, 3, rates, totals);
  }
  CHECK(totals.histories == 400);
}

} // namespace workshatch::test
