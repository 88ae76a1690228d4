/// @file
/// Which parts of prompts the leader blames for crashes of runners, and which it does not.
#include <cstdint>
#include <string>
#include <vector>

#include <doctest/doctest.h>

#include "core/relay/part_crash_counts.h"
#include "core/relay/quarantine.h"
#include "core/relay/request_identity.h"
#include "core/relay/sound_parts.h"
#include "unit/core/relay/part_crash_simulation.h"

namespace workshatch::test {

namespace {

using Prompt = std::vector<uint64_t>;

constexpr uint64_t kBad = 66;
constexpr uint64_t kCommon = 1;

/// The leader's counts, with crashes one second apart.
class Leader {
public:
  Leader() { counts_.beginTerm(-10'000); }

  /// Reports a crash and lets a second pass. @return the parts that were put into quarantine then.
  Prompt crash(const std::vector<Prompt>& prompts, int64_t pass_ms = 1000) {
    v1::LeaseRenewal renewal;
    ++runner_;
    for (const Prompt& prompt : prompts) {
      v1::RunnerEnd* end = renewal.add_runner_ends();
      end->set_runner(runner_);
      end->mutable_parts()->Add(prompt.begin(), prompt.end());
    }
    counts_.addReport(renewal, now_ms_);
    return pass(pass_ms);
  }
  void sound(uint64_t part) {
    v1::LeaseRenewal renewal;
    renewal.add_sound_parts()->set_part(part);
    counts_.addReport(renewal, now_ms_);
  }
  Prompt pass(int64_t ms) {
    Prompt blamed;
    for (const int64_t end_ms = now_ms_ + ms; now_ms_ < end_ms; now_ms_ += 10) {
      for (const v1::QuarantineOrder& order : counts_.dueOrders(now_ms_, 1)) {
        if (order.begin()) {
          blamed.push_back(order.request().request().content());
          *list_.add_requests() = order.request();
        } else {
          ++releases_;
          list_.clear_requests();
        }
        counts_.setQuarantine(list_);
      }
    }
    return blamed;
  }
  void becomeLeader() { counts_.beginTerm(now_ms_); }
  size_t releases() const { return releases_; }
  const v1::SuspectedParts& suspects() const { return counts_.suspects(); }

private:
  relay::PartCrashCounts counts_;
  v1::QuarantineList list_;
  uint64_t runner_ = 0;
  int64_t now_ms_ = 1000;
  size_t releases_ = 0;
};

struct Totals {
  size_t late = 0;
  size_t sound_blamed = 0;
  size_t found = 0;
  size_t crashes = 0;
};

/// @return totals over seeds 1 to `seeds`.
Totals simulate(const PartCrashScenario& scenario, uint64_t seeds) {
  Totals totals;
  for (uint64_t seed = 1; seed <= seeds; ++seed) {
    PartCrashSimulation simulation(scenario, seed);
    simulation.run();
    totals.late += simulation.lateArrivals();
    totals.sound_blamed += simulation.soundBlamed().size();
    totals.found += simulation.crashingPartsFound();
    totals.crashes += simulation.crashesByParts();
    CHECK_MESSAGE(simulation.lateArrivals() == 0, "seed ", seed);
    CHECK_MESSAGE(simulation.soundBlamed().empty(), "seed ", seed);
  }
  MESSAGE("crashes by parts: ", totals.crashes, " on ", seeds,
          " days, late arrivals: ", totals.late, ", sound parts blamed: ", totals.sound_blamed,
          ", found: ", totals.found);
  return totals;
}

constexpr uint64_t kSeeds = 20;

} // namespace

TEST_CASE("The part that was present at four crashes in a row is blamed") {
  Leader leader;
  CHECK(leader.crash({{kCommon, kBad, 101}, {kCommon, 7}}).empty());
  CHECK(leader.crash({{kCommon, kBad, 102}, {kCommon, 8}}).empty());
  leader.sound(kCommon);
  CHECK(leader.crash({{kCommon, kBad, 103}, {kCommon, 7}}).empty());
  CHECK(leader.crash({{kCommon, kBad, 104}}) == Prompt{kBad});
}

TEST_CASE("A part that another one accompanies always is told apart by its position") {
  Leader leader;
  for (int i = 0; i < 3; ++i) {
    CHECK(leader.crash({{kCommon, kBad, 101}}).empty());
  }
  CHECK(leader.crash({{kCommon, kBad, 102}}) == Prompt{kBad});
}

TEST_CASE("If other parts behind a part crash runners too, that part is blamed") {
  Leader leader;
  for (int i = 0; i < 3; ++i) {
    CHECK(leader.crash({{kCommon, kBad}}).empty());
  }
  CHECK(leader.crash({{kCommon, kBad}}) == Prompt{kBad});
  CHECK(leader.crash({{kCommon, 67}}) == Prompt{kCommon});
}

TEST_CASE("A part that is answered after its crashes is not blamed") {
  Leader leader;
  for (int i = 0; i < 6; ++i) {
    CHECK(leader.crash({{kCommon, kBad}}).empty());
    leader.sound(kBad);
    leader.sound(kCommon);
  }
}

TEST_CASE("The crashes of one moment count as one") {
  Leader leader;
  for (int i = 0; i < 8; ++i) {
    CHECK(leader.crash({{kBad}}, 10).empty());
  }
  CHECK(leader.pass(5000).empty());
}

TEST_CASE("Crashes at which a part in quarantine was present do not count against others") {
  Leader leader;
  for (int i = 0; i < 3; ++i) {
    CHECK(leader.crash({{kBad, 101}, {7, 8}}).empty());
  }
  CHECK(leader.crash({{kBad, 102}}) == Prompt{kBad});
  for (int i = 0; i < 6; ++i) {
    CHECK(leader.crash({{kBad, 103}, {7, 8}}).empty());
  }
}

TEST_CASE("A part that was blamed is released once a prompt with it is answered") {
  Leader leader;
  for (int i = 0; i < 4; ++i) {
    leader.crash({{kBad}});
  }
  leader.sound(kBad);
  leader.pass(100);
  CHECK(leader.releases() == 1);
}

TEST_CASE("A new leader blames nothing before the relays had time to report again") {
  Leader leader;
  for (int i = 0; i < 3; ++i) {
    CHECK(leader.crash({{kBad}}).empty());
  }
  leader.becomeLeader();
  CHECK(leader.crash({{kBad}}).empty());
  CHECK(leader.pass(1000) == Prompt{kBad});
}

TEST_CASE("A relay reports suspects for answers that began after the first crash only") {
  relay::SoundParts sound;
  v1::SuspectedParts suspects;
  v1::SuspectedPart* suspect = suspects.add_parts();
  suspect->set_part(kBad);
  suspect->set_age_ms(500);
  CHECK_FALSE(sound.record({kBad, 7}, 9000));
  CHECK_FALSE(sound.setSuspects(suspects, 10'000));
  v1::LeaseRenewal renewal;
  sound.fill(renewal, true, 10'000);
  CHECK(renewal.sound_parts_size() == 0);
  CHECK(sound.record({kBad, 7}, 9600));
  sound.fill(renewal, false, 10'100);
  REQUIRE(renewal.sound_parts_size() == 1);
  CHECK(renewal.sound_parts(0).part() == kBad);
  CHECK(renewal.sound_parts(0).age_ms() == 500);
  // The same evidence is not reported again, but to another leader it is.
  sound.fill(renewal, false, 10'200);
  CHECK(renewal.sound_parts_size() == 1);
  sound.fill(renewal, true, 10'300);
  CHECK(renewal.sound_parts_size() == 2);
}

TEST_CASE("A request is in quarantine for any of the shared parts of its prompt") {
  relay::Quarantine quarantine;
  v1::QuarantineList list;
  list.set_version(1);
  v1::QuarantinedRequest* entry = list.add_requests();
  *entry->mutable_request() = relay::messageOf(relay::identityOfPart(kBad));
  entry->set_since_ms(5);
  REQUIRE(quarantine.setList(list));
  const relay::RequestIdentity request{.caller = 1, .content = kBad};
  CHECK(quarantine.contains(request, {kCommon, kBad}));
  CHECK_FALSE(quarantine.contains(request, {kCommon}));
  CHECK(*quarantine.sinceMs(request, {kBad}) == 5);
  CHECK(quarantine.partCount() == 1);
}

TEST_CASE("Simulated days: a crashing part at any position is found in time, and no sound one") {
  for (const size_t position : {size_t{0}, size_t{1}, size_t{2}}) {
    const Totals totals = simulate(PartCrashScenario{.position = position}, kSeeds);
    CHECK(totals.found == kSeeds);
  }
}

TEST_CASE("Simulated days: a crashing part is found in time at 300 relays") {
  simulate(PartCrashScenario{.relays = 300,
                             .runners = 250,
                             .sound_rate = 1200,
                             .crashing_rate = 5,
                             .duration_ms = 10'000},
           3);
}

TEST_CASE("Simulated days: two crashing parts at a time are found in time, and no sound one") {
  for (const double rate : {0.7, 2.0}) {
    simulate(PartCrashScenario{.crashing_rate = rate, .crashing_parts = 2}, kSeeds);
  }
}

TEST_CASE("Simulated days: crash waves that no part causes blame none") {
  simulate(PartCrashScenario{.crashing_parts = 0, .wave_period_ms = 3500, .wave_share = 0.5},
           kSeeds);
  simulate(PartCrashScenario{.crashing_parts = 0, .wave_period_ms = 1000, .wave_share = 0.09},
           kSeeds);
}

TEST_CASE("Simulated days: a crashing part is found in time beside crash waves") {
  simulate(PartCrashScenario{.wave_period_ms = 5000, .wave_share = 0.3}, kSeeds);
}

TEST_CASE("Simulated days: a crashing part is found in time although the leader is replaced") {
  for (const int64_t at_ms : {2000, 4000, 6000}) {
    simulate(PartCrashScenario{.new_leader_at_ms = at_ms}, kSeeds);
  }
}

} // namespace workshatch::test
