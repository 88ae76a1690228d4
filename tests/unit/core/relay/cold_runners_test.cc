/// @file
/// Cold runners: who counts as one, and the pace that their owners keep, with the arrivals of an
/// overload replayed against owners that change.
#include <algorithm>
#include <deque>
#include <string>
#include <vector>

#include <doctest/doctest.h>

#include "core/relay/cold_runners.h"
#include "core/relay/runner_table.h"
#include "core/relay/slot_owner.h"

namespace workshatch::test {

namespace {

/// A cold runner here bears 9.6 requests a second; no second may bring it more than 19.4.
constexpr double kSustainablePerS = 9.6;
constexpr double kFactor = 1.5;
constexpr double kSlack = 5;
constexpr size_t kMostInASecond = 19;
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

/// Counts what reaches one runner in any second.
class Arrivals {
public:
  void add(int64_t now_ms) {
    times_.push_back(now_ms);
    while (times_.front() <= now_ms - kSecondMs) {
      times_.pop_front();
    }
    most_ = std::max(most_, times_.size());
    ++count_;
  }
  size_t mostInASecond() const { return most_; }
  size_t count() const { return count_; }

private:
  std::deque<int64_t> times_;
  size_t most_ = 0;
  size_t count_ = 0;
};

/// Relays that all want the same runner, 40 requests a second together, each of 200 ms.
class Crowd {
public:
  /// One request at this moment, asked of `owner`. @return whether it got a place.
  bool ask(relay::SlotOwner& owner, const relay::OwnedRunner& runner, int64_t now_ms) {
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

constexpr int64_t kBetweenAsksMs = 25;

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
    "A cold runner wanted by all gets what it bears, and never more than a second may bring") {
  relay::SlotOwner owner;
  Crowd crowd;
  for (int64_t now = 0; now < 6000; now += kBetweenAsksMs) {
    crowd.ask(owner, coldRunner(3000), now);
  }
  CHECK(crowd.arrivals.mostInASecond() <= kMostInASecond);
  CHECK(crowd.arrivals.count() >= 55);
  CHECK(crowd.arrivals.count() <= 62);
}

TEST_CASE("A runner that is cold no longer gets all that is asked") {
  relay::SlotOwner owner;
  Crowd crowd;
  CHECK_FALSE(crowd.ask(owner, coldRunner(3000), 0));
  for (int64_t now = 3001; now < 4001; now += kBetweenAsksMs) {
    CHECK(crowd.ask(owner, coldRunner(0), now));
  }
}

TEST_CASE("The bound holds when the owner dies and another takes over") {
  relay::SlotOwner first;
  relay::SlotOwner second;
  Crowd crowd;
  for (int64_t now = 0; now < 3000; now += kBetweenAsksMs) {
    crowd.ask(first, coldRunner(3000), now);
  }
  second.recordOwnersChanged(3000);
  for (int64_t now = 3000; now < 6000; now += kBetweenAsksMs) {
    crowd.ask(second, coldRunner(3000), now);
  }
  CHECK(crowd.arrivals.mostInASecond() <= kMostInASecond);
}

TEST_CASE("The bound holds while relays with different lists ask two owners") {
  relay::SlotOwner leaving;
  relay::SlotOwner coming;
  Crowd crowd;
  int64_t now = 0;
  for (; now < 4000; now += kBetweenAsksMs) {
    crowd.ask(leaving, coldRunner(3000), now);
  }
  coming.recordOwnersChanged(now);
  for (const int64_t until = now + 1900; now < until; now += kBetweenAsksMs) {
    crowd.ask(leaving, coldRunner(3000), now);
    crowd.ask(coming, coldRunner(3000), now);
  }
  for (const int64_t until = now + 3000; now < until; now += kBetweenAsksMs) {
    crowd.ask(coming, coldRunner(3000), now);
  }
  CHECK(crowd.arrivals.mostInASecond() <= kMostInASecond);
}

TEST_CASE("An owner that does not know a runner to be cold learns it from a claim") {
  relay::SlotOwner owner;
  v1::PlaceClaim claim;
  claim.mutable_use()->set_runner(kRunner);
  claim.mutable_use()->set_sequence(1);
  claim.set_limit(64);
  claim.set_cold_ms(2500);
  relay::OwnedRunner known = coldRunner(0);
  CHECK_FALSE(owner.claim("a", claim, known, 0).granted);
  CHECK(owner.claim("a", claim, known, 0).wait_ms > 0);
  // One that it does not even list gets none: what it bears is not known there.
  claim.mutable_use()->set_runner(kRunner + 1);
  CHECK_FALSE(owner.claim("a", claim, relay::OwnedRunner{}, 0).granted);
}

TEST_CASE("An owner gives no place at a runner of an evacuated zone") {
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

TEST_CASE("The pace and the burst stay under the bound for any figures of a deployment") {
  for (const double borne : {0.5, 2.0, 9.6, 40.0}) {
    for (const double factor : {1.0, 1.5, 3.0}) {
      for (const double slack : {0.0, 1.0, 5.0, 50.0}) {
        const relay::RateLimit limit = relay::rateLimitFor(borne, factor, slack);
        CHECK(limit.per_s <= borne);
        CHECK(limit.per_s > 0);
        const double most = borne * factor + slack;
        // Below one and a half requests a second not even one request fits.
        if (most >= 2) {
          CHECK(1.5 * limit.per_s + limit.burst <= most + 1);
        }
      }
    }
  }
}

TEST_CASE("A runner is cold when it comes into the list, not when a relay reads its first one") {
  relay::RunnerTable table = tableOfEngines();
  CHECK(table.coldMs(runnerOf(table, "old"), 1000) == 0);
  table.setList(listOf({"old", "new"}, 2), 5000);
  CHECK(table.coldMs(runnerOf(table, "old"), 5000) == 0);
  CHECK(table.coldMs(runnerOf(table, "new"), 5000) == 3000);
  CHECK(table.coldMs(runnerOf(table, "new"), 8000) == 0);
  // The next list says nothing new of it.
  table.setList(listOf({"old", "new"}, 3), 9000);
  CHECK(table.coldMs(runnerOf(table, "new"), 9000) == 0);
}

TEST_CASE("The list's word is counted once, from when it came") {
  relay::RunnerTable table = tableOfEngines();
  table.setList(listOf({"old"}, 2, 2000), 5000);
  CHECK(table.coldMs(runnerOf(table, "old"), 5000) == 2000);
  // An update that leaves the entry as it was carries what the table told of it.
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
  CHECK(table.coldMs(runner, 2000) == 0);
  table.endAttempt(runner, relay::AttemptOutcome::ProcessGone, 2000);
  CHECK(table.coldMs(runner, 2000) == 3000);
}

TEST_CASE("Runners of an evacuated zone are not chosen, and are cold when it is taken back") {
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
  // One that comes into the list meanwhile is evacuated as well.
  table.setList(listOf({"old", "new"}, 2), 2500);
  CHECK(std::holds_alternative<relay::NoRunner>(table.choose(request)));
  CHECK(table.ownedRunner(runnerOf(table, "new").fingerprint, 2500).evacuated);
  evacuations.clear_zones();
  evacuations.set_version(6);
  table.setEvacuations(evacuations, 9000);
  CHECK(std::holds_alternative<relay::RunnerChoice>(table.choose(request)));
  CHECK(table.coldMs(runnerOf(table, "old"), 9000) == 3000);
}

TEST_CASE("The load cap follows the mean of all runners, those of evacuated zones included") {
  relay::RunnerTable table = tableOfEngines();
  v1::RunnerList list = listOf({"a", "b", "c"}, 2);
  for (v1::RunnerEntry& entry : *list.mutable_runners()) {
    entry.set_slots(64);
  }
  list.mutable_runners(2)->set_zone("south");
  table.setList(list, 2000);
  v1::RunnerLoads sums;
  sums.set_list_version(2);
  for (const uint32_t load : {9, 9, 0}) {
    sums.add_in_progress(load);
  }
  table.setLoadTotals(sums, v1::RunnerLoads(), 2000);
  v1::EvacuationList evacuations;
  evacuations.set_version(5);
  evacuations.add_zones()->set_zone("south");
  table.setEvacuations(evacuations, 2000);
  const auto chosen = table.choose(relay::RunnerRequest{
      .service = "s", .cache_key = 5, .now_ms = 2000, .engine = true, .uses_slot_owners = true});
  REQUIRE(std::holds_alternative<relay::RunnerChoice>(chosen));
  // Twice the mean of 6, and 3: not twice the mean of 9.
  CHECK(std::get<relay::RunnerChoice>(chosen).limit == 15);
}

TEST_CASE("What comes without an owner goes to a cold runner only when there is no other") {
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
