/// @file
/// Which runners are asked for a place, and replays of the loads that this answers: hundreds of
/// relays that see a few requests a second each, with sums of loads older than a request.
#include <algorithm>
#include <deque>
#include <map>
#include <memory>
#include <queue>
#include <random>
#include <set>
#include <vector>

#include <doctest/doctest.h>

#include "core/relay/load_totals.h"
#include "core/relay/placement.h"
#include "core/relay/runner_table.h"
#include "core/relay/slot_owner.h"
#include "core/relay/slot_usage.h"

namespace workshatch::test {

namespace {

std::vector<std::shared_ptr<relay::Runner>> runners(int count, uint32_t slots) {
  std::vector<std::shared_ptr<relay::Runner>> made;
  for (int i = 0; i < count; ++i) {
    auto runner = std::make_shared<relay::Runner>();
    runner->entry.set_id("r" + std::to_string(i));
    runner->entry.set_slots(slots);
    made.push_back(std::move(runner));
  }
  return made;
}

/// Ids of the runners asked when every owner refuses, with the limits.
struct Asked {
  std::vector<std::string> ids;
  std::vector<uint32_t> limits;
};

Asked askAll(const std::vector<std::shared_ptr<relay::Runner>>& candidates, bool by_prompt,
             bool busy) {
  Asked asked;
  while (const auto offer =
             relay::nextOffer({}, relay::PlacementQuery{.candidates = candidates,
                                                        .refused = asked.ids.size(),
                                                        .by_prompt = by_prompt,
                                                        .engine = by_prompt,
                                                        .busy = busy,
                                                        .rank = {.priority = 1, .draw = 5},
                                                        .cap_load = 20})) {
    asked.ids.push_back(offer->runner->entry.id());
    asked.limits.push_back(offer->limit);
  }
  return asked;
}

/// What relays do with the requests of a service: a discrete-event replay. Sums of loads reach all
/// relays once a period and tell what was in progress a period before.
class FleetReplay {
public:
  struct Shape {
    int relays = 300;
    int runners = 10;
    uint32_t slots = 6;
    /// Requests a second, and how long each lasts.
    double rate = 410;
    double service_ms = 60;
    /// Shared parts of prompts; zero: plain requests.
    int parts = 0;
    bool owners = true;
  };
  struct Outcome {
    int sent = 0;
    int refused = 0;
    /// Requests that found all places of their runner taken.
    int queued = 0;
    uint32_t most_load = 0;
    /// Runners that each part came to, over all parts.
    size_t homes = 0;
  };

  explicit FleetReplay(Shape shape) : shape_(shape), random_(17) {
    v1::RunnerList list;
    list.set_version(1);
    for (int i = 0; i < shape.runners; ++i) {
      v1::RunnerEntry* entry = list.add_runners();
      entry->set_id("r" + std::to_string(i));
      entry->set_service("s");
      entry->set_zone("z");
      entry->set_slots(shape.slots);
    }
    for (int i = 0; i < shape.relays; ++i) {
      relays_.push_back(std::make_unique<Relay>());
      relays_.back()->table.setList(list, 0);
      relays_.back()->table.setRelays(static_cast<size_t>(shape.relays));
    }
    load_.resize(static_cast<size_t>(shape.runners));
  }

  Outcome run(int64_t for_ms) {
    std::exponential_distribution<double> gap(shape_.rate / 1000);
    double next_request = 0;
    for (int64_t now = 0; now < for_ms; ++now) {
      endDue(now);
      if (now % kSumsPeriodMs == 0) {
        tellSums(now);
      }
      while (next_request <= static_cast<double>(now)) {
        next_request += gap(random_);
        request(now);
      }
      // The first sums are empty, which is no load of a day.
      if (now == 2 * kSumsPeriodMs) {
        outcome_ = {};
        homes_.clear();
      }
    }
    for (const auto& [part, used] : homes_) {
      outcome_.homes += used.size();
    }
    return outcome_;
  }

private:
  static constexpr int64_t kSumsPeriodMs = 900;

  struct Relay {
    relay::RunnerTable table{relay::RunnerTableOptions{}};
    relay::SlotUsage held{1};
  };
  struct Run {
    int64_t ends_ms = 0;
    size_t relay = 0;
    std::shared_ptr<relay::Runner> runner;
    size_t position = 0;
    bool operator>(const Run& other) const { return ends_ms > other.ends_ms; }
  };

  void tellSums(int64_t now) {
    relay::LoadTotals sums(1, load_.size());
    for (const auto& relay : relays_) {
      sums.add(relay->table.ownLoads(now));
    }
    const v1::RunnerLoads told = std::exchange(sums_, sums.totals());
    for (const auto& relay : relays_) {
      relay->table.setLoadTotals(told, relay->table.ownLoads(now), now);
    }
  }

  void endDue(int64_t now) {
    while (!runs_.empty() && runs_.top().ends_ms <= now) {
      const Run run = runs_.top();
      runs_.pop();
      Relay& relay = *relays_[run.relay];
      relay.table.endAttempt(*run.runner, relay::AttemptOutcome::Succeeded, now);
      relay.held.remove(run.runner->fingerprint);
      owner_.recordUsage(nameOf(run.relay), relay.held.makeReport(run.runner->fingerprint, now),
                         now);
      --load_[run.position];
    }
  }

  static std::string nameOf(size_t relay) { return std::to_string(relay); }

  void request(int64_t now) {
    const size_t at = random_() % relays_.size();
    relay::RunnerRequest wish{.service = "s", .zone = "z", .now_ms = now};
    wish.cache_key = shape_.parts == 0 ? 0 : 1 + random_() % static_cast<uint64_t>(shape_.parts);
    wish.engine = shape_.parts != 0;
    wish.rank = {.priority = 1, .draw = random_()};
    wish.uses_slot_owners = shape_.owners;
    while (true) {
      const auto chosen = relays_[at]->table.choose(wish);
      const auto* choice = std::get_if<relay::RunnerChoice>(&chosen);
      if (choice == nullptr) {
        ++outcome_.refused;
        return;
      }
      if (!shape_.owners || takePlace(at, *choice, now)) {
        begin(at, wish, *choice, now);
        return;
      }
      ++wish.refused_slots;
      wish.already_counted = true;
    }
  }

  bool takePlace(size_t at, const relay::RunnerChoice& choice, int64_t now) {
    Relay& relay = *relays_[at];
    v1::PlaceClaim claim;
    *claim.mutable_use() = relay.held.makeReport(choice.runner->fingerprint, now);
    claim.set_limit(choice.limit);
    const auto decision = owner_.claim(
        nameOf(at), claim,
        relay::OwnedRunner{.reported_load = choice.runner->load(), .listed = true}, now);
    relay.table.recordLoad(*choice.runner, decision.load);
    return decision.granted;
  }

  void begin(size_t at, const relay::RunnerRequest& wish, const relay::RunnerChoice& choice,
             int64_t now) {
    Relay& relay = *relays_[at];
    relay.table.recordSent(wish, choice);
    relay.table.beginAttempt(*choice.runner, now);
    relay.held.add(choice.runner->fingerprint);
    const auto position = static_cast<size_t>(std::stoi(choice.runner->entry.id().substr(1)));
    ++outcome_.sent;
    outcome_.queued += load_[position] >= shape_.slots ? 1 : 0;
    outcome_.most_load = std::max(outcome_.most_load, ++load_[position]);
    if (wish.cache_key != 0) {
      homes_[wish.cache_key].insert(position);
    }
    std::uniform_real_distribution<double> lasts(0.5 * shape_.service_ms, 1.5 * shape_.service_ms);
    runs_.push(Run{.ends_ms = now + static_cast<int64_t>(lasts(random_)),
                   .relay = at,
                   .runner = choice.runner,
                   .position = position});
  }

  const Shape shape_;
  std::mt19937_64 random_;
  std::vector<std::unique_ptr<Relay>> relays_;
  relay::SlotOwner owner_;
  v1::RunnerLoads sums_;
  /// Requests in progress by runner.
  std::vector<uint32_t> load_;
  std::priority_queue<Run, std::vector<Run>, std::greater<>> runs_;
  std::map<uint64_t, std::set<size_t>> homes_;
  Outcome outcome_;
};

} // namespace

TEST_CASE(
    "A prompt asks its homes up to the cap, another by lot, then its homes up to their places") {
  const Asked asked = askAll(runners(20, 32), true, false);
  REQUIRE(asked.ids.size() == 7);
  CHECK(std::vector(asked.ids.begin(), asked.ids.begin() + 4) ==
        std::vector<std::string>{"r0", "r1", "r2", "r3"});
  CHECK(std::set(asked.ids.begin(), asked.ids.begin() + 5).size() == 5);
  CHECK(asked.ids[5] == "r0");
  CHECK(asked.ids[6] == "r1");
  CHECK(asked.limits == std::vector<uint32_t>{20, 20, 20, 20, 20, 30, 30});
}

TEST_CASE("While the service is busy a prompt asks three homes only") {
  const Asked asked = askAll(runners(20, 32), true, true);
  CHECK(asked.ids == std::vector<std::string>{"r0", "r1", "r2"});
}

TEST_CASE("A plain request first asks for places without a queue") {
  const Asked asked = askAll(runners(10, 6), false, false);
  CHECK(asked.limits == std::vector<uint32_t>{6, 6, 17});
  CHECK(askAll(runners(1, 6), false, false).limits == std::vector<uint32_t>{17});
}

TEST_CASE("Two fifths of a plain service's places: 300 relays do not meet at one runner") {
  // By sums they fill single runners up to their limit of 17, three times their places, while
  // others are idle.
  const auto by_owners = FleetReplay({}).run(10'000);
  CHECK(by_owners.sent > 3000);
  CHECK(by_owners.refused == 0);
  CHECK(by_owners.queued * 100 < by_owners.sent);
  const auto by_sums = FleetReplay({.owners = false}).run(10'000);
  CHECK(by_sums.queued * 100 > 10 * by_sums.sent);
}

TEST_CASE("More plain requests than the runners' limits allow: runners are full, not over") {
  const auto outcome = FleetReplay({.runners = 6, .rate = 2500}).run(10'000);
  CHECK(outcome.most_load <= 18);
  CHECK(outcome.refused > 0);
  // What is sent is what the limits allow, within a tenth.
  const double sent_a_second = outcome.sent / 8.2;
  CHECK(sent_a_second > 0.9 * 6 * 17 / 0.06);
}

TEST_CASE("Model engines in a crowd: no runner over its places, parts stay at few homes") {
  const FleetReplay::Shape crowd{
      .runners = 40, .slots = 32, .rate = 800, .service_ms = 1200, .parts = 400};
  const auto by_owners = FleetReplay(crowd).run(8000);
  CHECK(by_owners.most_load <= 38);
  CHECK(by_owners.refused * 100 < by_owners.sent);
  FleetReplay::Shape without = crowd;
  without.owners = false;
  const auto by_sums = FleetReplay(without).run(8000);
  CHECK(by_sums.homes > by_owners.homes);
  MESSAGE("homes of 400 parts: " << by_owners.homes << " by owners, " << by_sums.homes
                                 << " by sums; most load " << by_owners.most_load << " and "
                                 << by_sums.most_load << "; refused " << by_owners.refused
                                 << " and " << by_sums.refused);
}

} // namespace workshatch::test
