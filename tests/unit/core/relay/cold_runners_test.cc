/// @file
/// Cold runners: which runners count as cold, and the rate limit of their slot owners, tested with
/// the arrivals of an overload and with changes of the owner.
#include <algorithm>
#include <deque>
#include <string>
#include <vector>

#include <doctest/doctest.h>

#include "core/relay/cold_runners.h"
#include "core/relay/runner_table.h"
#include "core/scheduling/slot_owner.h"

namespace workshatch::test {

namespace {

/// The cold runner sustains 9.6 requests per second. No second may bring it more than 19.4.
constexpr double kSustainablePerS = 9.6;
constexpr double kFactor = 1.5;
constexpr double kSlack = 5;
constexpr size_t kMaxPerSecond = 19;
constexpr int64_t kSecondMs = 1000;
constexpr uint64_t kRunner = 7;

relay::Service engines() {
  return relay::Service{
      .name = "s", .model_engine = true, .cold_s = 3, .cold_requests_per_s = kSustainablePerS};
}

relay::OwnedRunner coldRunner(uint32_t cold_ms) {
  return relay::OwnedRunner{.listed = true,
                            .cold_ms = cold_ms,
                            .cold_pace = relay::rateLimitFor(kSustainablePerS, kFactor, kSlack)};
}

/// Counts the requests that reach one runner within any second.
class Arrivals {
public:
  void add(int64_t now_ms) {
    times_.push_back(now_ms);
    while (times_.front() <= now_ms - kSecondMs) {
      times_.pop_front();
    }
    max_per_second_ = std::max(max_per_second_, times_.size());
    ++count_;
  }
  size_t maxPerSecond() const { return max_per_second_; }
  size_t count() const { return count_; }

private:
  std::deque<int64_t> times_;
  size_t max_per_second_ = 0;
  size_t count_ = 0;
};

/// Relays that all send requests to the same runner: 40 requests per second together, each of 200
/// ms.
class RequestLoad {
public:
  /// Requests one slot from `owner`. @return whether it was granted.
  bool requestSlot(relay::SlotOwner& owner, const relay::OwnedRunner& runner, int64_t now_ms) {
    v1::PlaceClaim claim;
    claim.mutable_use()->set_runner(kRunner);
    claim.mutable_use()->set_sequence(++sequence_);
    claim.mutable_use()->set_incarnation(1);
    claim.set_limit(64);
    const std::string relay = "relay-" + std::to_string(sequence_ % 83);
    const bool granted = owner.claim(relay, claim, runner, now_ms).granted;
    if (granted) {
      arrivals.add(now_ms);
    }
    return granted;
  }

  Arrivals arrivals;

private:
  uint64_t sequence_ = 0;
};

constexpr int64_t kRequestIntervalMs = 25;

v1::RunnerList listOf(const std::vector<std::string>& ids, uint64_t version, uint32_t cold_ms = 0) {
  v1::RunnerList list;
  list.set_version(version);
  for (const std::string& id : ids) {
    v1::RunnerEntry* entry = list.add_runners();
    entry->set_id(id);
    entry->set_service("s");
    entry->set_zone("north");
    entry->set_cold_ms(cold_ms);
  }
  return list;
}

relay::RunnerTable tableOfEngines() {
  relay::RunnerTable table(relay::RunnerTableOptions{});
  table.setServices({engines()});
  table.setList(listOf({"old"}, 1), 1000);
  return table;
}

const relay::Runner& runnerOf(const relay::RunnerTable& table, const std::string& id) {
  const auto found = std::find_if(table.runners().begin(), table.runners().end(),
                                  [&](const auto& runner) { return runner->entry.id() == id; });
  REQUIRE(found != table.runners().end());
  return **found;
}

} // namespace

TEST_CASE(
    "A cold runner in demand gets its sustainable rate and never exceeds the bound per second") {
  relay::SlotOwner owner;
  RequestLoad load;
  for (int64_t now = 0; now < 6000; now += kRequestIntervalMs) {
    load.requestSlot(owner, coldRunner(3000), now);
  }
  CHECK(load.arrivals.maxPerSecond() <= kMaxPerSecond);
  CHECK(load.arrivals.count() >= 55);
  CHECK(load.arrivals.count() <= 62);
}

TEST_CASE("A runner that is no longer cold gets all requests") {
  relay::SlotOwner owner;
  RequestLoad load;
  CHECK_FALSE(load.requestSlot(owner, coldRunner(3000), 0));
  for (int64_t now = 3001; now < 4001; now += kRequestIntervalMs) {
    CHECK(load.requestSlot(owner, coldRunner(0), now));
  }
}

TEST_CASE("The bound holds when the owner fails and another takes over") {
  relay::SlotOwner first;
  relay::SlotOwner second;
  RequestLoad load;
  for (int64_t now = 0; now < 3000; now += kRequestIntervalMs) {
    load.requestSlot(first, coldRunner(3000), now);
  }
  second.recordOwnersChanged(3000);
  for (int64_t now = 3000; now < 6000; now += kRequestIntervalMs) {
    load.requestSlot(second, coldRunner(3000), now);
  }
  CHECK(load.arrivals.maxPerSecond() <= kMaxPerSecond);
}

TEST_CASE("The bound holds while relays with different lists use two owners") {
  relay::SlotOwner old_owner;
  relay::SlotOwner new_owner;
  RequestLoad load;
  int64_t now = 0;
  for (; now < 4000; now += kRequestIntervalMs) {
    load.requestSlot(old_owner, coldRunner(3000), now);
  }
  new_owner.recordOwnersChanged(now);
  for (const int64_t until = now + 1900; now < until; now += kRequestIntervalMs) {
    load.requestSlot(old_owner, coldRunner(3000), now);
    load.requestSlot(new_owner, coldRunner(3000), now);
  }
  for (const int64_t until = now + 3000; now < until; now += kRequestIntervalMs) {
    load.requestSlot(new_owner, coldRunner(3000), now);
  }
  CHECK(load.arrivals.maxPerSecond() <= kMaxPerSecond);
}

TEST_CASE("An owner that does not know that a runner is cold applies the cold time of a claim") {
  relay::SlotOwner owner;
  v1::PlaceClaim claim;
  claim.mutable_use()->set_runner(kRunner);
  claim.mutable_use()->set_sequence(1);
  claim.set_limit(64);
  claim.set_cold_ms(2500);
  relay::OwnedRunner known = coldRunner(0);
  CHECK_FALSE(owner.claim("a", claim, known, 0).granted);
  CHECK(owner.claim("a", claim, known, 0).wait_ms > 0);
  // A runner that the owner does not list gets no slot, because its sustainable rate is unknown
  // there.
  claim.mutable_use()->set_runner(kRunner + 1);
  CHECK_FALSE(owner.claim("a", claim, relay::OwnedRunner{}, 0).granted);
}

TEST_CASE("An owner grants no slot at a runner of an evacuated zone") {
  relay::SlotOwner owner;
  v1::PlaceClaim claim;
  claim.mutable_use()->set_runner(kRunner);
  claim.set_limit(64);
  const auto refused =
      owner.claim("a", claim, relay::OwnedRunner{.listed = true, .evacuated = true}, 0);
  CHECK_FALSE(refused.granted);
  CHECK(refused.wait_ms > 0);
  CHECK(owner.claim("a", claim, relay::OwnedRunner{.listed = true}, 0).granted);
}

TEST_CASE("The rate and the burst stay under the bound for any configured values") {
  for (const double sustainable : {0.5, 2.0, 9.6, 40.0}) {
    for (const double factor : {1.0, 1.5, 3.0}) {
      for (const double slack : {0.0, 1.0, 5.0, 50.0}) {
        const relay::RateLimit limit = relay::rateLimitFor(sustainable, factor, slack);
        CHECK(limit.per_s <= sustainable);
        CHECK(limit.per_s > 0);
        const double max_per_second = sustainable * factor + slack;
        // A bound of less than two requests per second is not checked: the lowest rate and a burst
        // of one request may exceed it.
        if (max_per_second >= 2) {
          CHECK(1.5 * limit.per_s + limit.burst <= max_per_second + 1);
        }
      }
    }
  }
}

TEST_CASE("A runner is cold when it is added to the list, not when a relay reads its first list") {
  relay::RunnerTable table = tableOfEngines();
  CHECK(table.coldMs(runnerOf(table, "old"), 1000) == 0);
  table.setList(listOf({"old", "new"}, 2), 5000);
  CHECK(table.coldMs(runnerOf(table, "old"), 5000) == 0);
  CHECK(table.coldMs(runnerOf(table, "new"), 5000) == 3000);
  CHECK(table.coldMs(runnerOf(table, "new"), 8000) == 0);
  // The next list does not change the runner's entry.
  table.setList(listOf({"old", "new"}, 3), 9000);
  CHECK(table.coldMs(runnerOf(table, "new"), 9000) == 0);
}

TEST_CASE("The cold time of a list is applied once, from the moment it was received") {
  relay::RunnerTable table = tableOfEngines();
  table.setList(listOf({"old"}, 2, 2000), 5000);
  CHECK(table.coldMs(runnerOf(table, "old"), 5000) == 2000);
  // An update that does not change the entry carries the entry of the table.
  v1::RunnerList same = table.list();
  same.set_version(3);
  table.setList(same, 8000);
  CHECK(table.coldMs(runnerOf(table, "old"), 8000) == 0);
}

TEST_CASE("A runner whose process was gone is cold; one that only fails or is full is not") {
  relay::RunnerTable table = tableOfEngines();
  auto& runner = *table.runners().front();
  table.endAttempt(runner, relay::AttemptOutcome::Failed, 2000);
  table.endAttempt(runner, relay::AttemptOutcome::Refused, 2000);
  table.endAttempt(runner, relay::AttemptOutcome::Unreachable, 2000);
  table.endAttempt(runner, relay::AttemptOutcome::ProcessGone, 2000);
  // A refused connection alone may be due to the network path of this relay.
  CHECK(table.coldMs(runner, 2000) == 0);
  table.recordProcessEnded(runner.fingerprint, 2000);
  CHECK(table.coldMs(runner, 2000) == 3000);
}

TEST_CASE("Runners of an evacuated zone are not chosen, and are cold after the evacuation") {
  relay::RunnerTable table = tableOfEngines();
  const relay::RunnerRequest request{.service = "s", .now_ms = 2000};
  CHECK(std::holds_alternative<relay::RunnerChoice>(table.choose(request)));
  v1::EvacuationList evacuations;
  evacuations.set_version(5);
  evacuations.add_zones()->set_zone("north");
  table.setEvacuations(evacuations, 2000);
  CHECK(std::holds_alternative<relay::NoRunner>(table.choose(request)));
  relay::RunnerRequest resumed = request;
  resumed.ignores_limits = true;
  CHECK(std::holds_alternative<relay::NoRunner>(table.choose(resumed)));
  // A runner that is added to the list meanwhile is evacuated as well.
  table.setList(listOf({"old", "new"}, 2), 2500);
  CHECK(std::holds_alternative<relay::NoRunner>(table.choose(request)));
  CHECK(table.ownedRunner(runnerOf(table, "new").fingerprint, 2500).evacuated);
  evacuations.clear_zones();
  evacuations.set_version(6);
  table.setEvacuations(evacuations, 9000);
  CHECK(std::holds_alternative<relay::RunnerChoice>(table.choose(request)));
  CHECK(table.coldMs(runnerOf(table, "old"), 9000) == 3000);
}

TEST_CASE("The load cap follows the mean of all runners, including those of evacuated zones") {
  relay::RunnerTable table = tableOfEngines();
  v1::RunnerList list = listOf({"a", "b", "c"}, 2);
  for (v1::RunnerEntry& entry : *list.mutable_runners()) {
    entry.set_slots(64);
  }
  list.mutable_runners(2)->set_zone("south");
  table.setList(list, 2000);
  v1::RunnerLoads totals;
  totals.set_list_version(2);
  for (const uint32_t load : {9, 9, 0}) {
    totals.add_in_progress(load);
  }
  table.setLoadTotals(totals, v1::RunnerLoads(), 2000);
  v1::EvacuationList evacuations;
  evacuations.set_version(5);
  evacuations.add_zones()->set_zone("south");
  table.setEvacuations(evacuations, 2000);
  const auto chosen = table.choose(relay::RunnerRequest{
      .service = "s", .cache_key = 5, .now_ms = 2000, .engine = true, .uses_slot_owners = true});
  REQUIRE(std::holds_alternative<relay::RunnerChoice>(chosen));
  // Twice the mean of 6, plus 3; not twice the mean of 9.
  CHECK(std::get<relay::RunnerChoice>(chosen).limit == 15);
}

TEST_CASE("Requests without a slot owner go to a cold runner only when there is no other") {
  relay::RunnerTable table = tableOfEngines();
  table.setList(listOf({"old", "new"}, 2), 5000);
  for (uint64_t draw = 0; draw < 20; ++draw) {
    const auto chosen =
        table.choose(relay::RunnerRequest{.service = "s", .now_ms = 5000, .rank = {.draw = draw}});
    REQUIRE(std::holds_alternative<relay::RunnerChoice>(chosen));
    CHECK(std::get<relay::RunnerChoice>(chosen).runner->entry.id() == "old");
  }
}

} // namespace workshatch::test
