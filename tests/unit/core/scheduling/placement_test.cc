/// @file
/// Choice of the runners at which a slot is requested, and simulations of the resulting loads:
/// hundreds of relays that each receive a few requests per second, with load totals older than a
/// request.
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
#include "core/relay/runner_table.h"
#include "core/scheduling/placement.h"
#include "core/scheduling/slot_owner.h"
#include "core/scheduling/slot_usage.h"

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

/// Ids of the runners that are tried when every owner refuses, with the limits.
struct TriedRunners {
  std::vector<std::string> ids;
  std::vector<uint32_t> limits;
};

TriedRunners tryAll(const std::vector<std::shared_ptr<relay::Runner>>& candidates, bool by_prompt,
                    bool busy) {
  TriedRunners tried;
  while (const auto offer =
             relay::nextOffer({}, relay::PlacementQuery{.candidates = candidates,
                                                        .refused = tried.ids.size(),
                                                        .by_prompt = by_prompt,
                                                        .engine = by_prompt,
                                                        .busy = busy,
                                                        .rank = {.priority = 1, .draw = 5},
                                                        .cap_load = 20})) {
    tried.ids.push_back(offer->runner->entry.id());
    tried.limits.push_back(offer->limit);
  }
  return tried;
}

/// Discrete-event simulation of the relays of a service. Load totals reach all relays once per
/// period and contain the requests that were in progress one period before.
class FleetSimulation {
public:
  struct Shape {
    int relays = 300;
    int runners = 10;
    uint32_t slots = 6;
    /// Requests per second, and the mean duration of a request.
    double rate = 410;
    double service_ms = 60;
    /// Number of shared prefixes of prompts; zero: plain requests.
    int prefixes = 0;
    bool owners = true;
  };
  struct Outcome {
    int sent = 0;
    int refused = 0;
    /// Requests sent to a runner whose slots were all in use.
    int queued = 0;
    uint32_t max_load = 0;
    /// Number of runners that each prefix was sent to, summed over all prefixes.
    size_t homes = 0;
  };

  explicit FleetSimulation(Shape shape) : shape_(shape), random_(17) {
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
      endRequests(now);
      if (now % kTotalsPeriodMs == 0) {
        sendLoadTotals(now);
      }
      while (next_request <= static_cast<double>(now)) {
        next_request += gap(random_);
        request(now);
      }
      // The first load totals are empty, which does not occur in operation.
      if (now == 2 * kTotalsPeriodMs) {
        outcome_ = {};
        homes_.clear();
      }
    }
    for (const auto& [prefix, used] : homes_) {
      outcome_.homes += used.size();
    }
    return outcome_;
  }

private:
  static constexpr int64_t kTotalsPeriodMs = 900;

  struct Relay {
    relay::RunnerTable table{relay::RunnerTableOptions{}};
    relay::SlotUsage usage{1};
  };
  struct Run {
    int64_t ends_ms = 0;
    size_t relay = 0;
    std::shared_ptr<relay::Runner> runner;
    size_t position = 0;
    bool operator>(const Run& other) const { return ends_ms > other.ends_ms; }
  };

  void sendLoadTotals(int64_t now) {
    relay::LoadTotals totals(1, load_.size());
    for (const auto& relay : relays_) {
      totals.add(relay->table.ownLoads(now));
    }
    const v1::RunnerLoads published = std::exchange(totals_, totals.totals());
    for (const auto& relay : relays_) {
      relay->table.setLoadTotals(published, relay->table.ownLoads(now), now);
    }
  }

  void endRequests(int64_t now) {
    while (!runs_.empty() && runs_.top().ends_ms <= now) {
      const Run run = runs_.top();
      runs_.pop();
      Relay& relay = *relays_[run.relay];
      relay.table.endAttempt(*run.runner, relay::AttemptOutcome::Succeeded, now);
      relay.usage.remove(run.runner->fingerprint);
      owner_.recordUsage(nameOf(run.relay), relay.usage.makeReport(run.runner->fingerprint, now),
                         now);
      --load_[run.position];
    }
  }

  static std::string nameOf(size_t relay) { return std::to_string(relay); }

  void request(int64_t now) {
    const size_t at = random_() % relays_.size();
    relay::RunnerRequest runner_request{.service = "s", .zone = "z", .now_ms = now};
    runner_request.cache_key =
        shape_.prefixes == 0 ? 0 : 1 + random_() % static_cast<uint64_t>(shape_.prefixes);
    runner_request.engine = shape_.prefixes != 0;
    runner_request.rank = {.priority = 1, .draw = random_()};
    runner_request.uses_slot_owners = shape_.owners;
    while (true) {
      const auto chosen = relays_[at]->table.choose(runner_request);
      const auto* choice = std::get_if<relay::RunnerChoice>(&chosen);
      if (choice == nullptr) {
        ++outcome_.refused;
        return;
      }
      if (!shape_.owners || takeSlot(at, *choice, now)) {
        begin(at, runner_request, *choice, now);
        return;
      }
      ++runner_request.refused_slots;
      runner_request.already_counted = true;
    }
  }

  bool takeSlot(size_t at, const relay::RunnerChoice& choice, int64_t now) {
    Relay& relay = *relays_[at];
    v1::PlaceClaim claim;
    *claim.mutable_use() = relay.usage.makeReport(choice.runner->fingerprint, now);
    claim.set_limit(choice.limit);
    const auto decision = owner_.claim(
        nameOf(at), claim,
        relay::OwnedRunner{.reported_load = choice.runner->load(), .listed = true}, now);
    relay.table.recordLoad(*choice.runner, decision.load);
    return decision.granted;
  }

  void begin(size_t at, const relay::RunnerRequest& runner_request,
             const relay::RunnerChoice& choice, int64_t now) {
    Relay& relay = *relays_[at];
    relay.table.recordSent(runner_request, choice);
    relay.table.beginAttempt(*choice.runner, now);
    relay.usage.add(choice.runner->fingerprint);
    const auto position = static_cast<size_t>(std::stoi(choice.runner->entry.id().substr(1)));
    ++outcome_.sent;
    outcome_.queued += load_[position] >= shape_.slots ? 1 : 0;
    outcome_.max_load = std::max(outcome_.max_load, ++load_[position]);
    if (runner_request.cache_key != 0) {
      homes_[runner_request.cache_key].insert(position);
    }
    std::uniform_real_distribution<double> duration(0.5 * shape_.service_ms,
                                                    1.5 * shape_.service_ms);
    runs_.push(Run{.ends_ms = now + static_cast<int64_t>(duration(random_)),
                   .relay = at,
                   .runner = choice.runner,
                   .position = position});
  }

  const Shape shape_;
  std::mt19937_64 random_;
  std::vector<std::unique_ptr<Relay>> relays_;
  relay::SlotOwner owner_;
  v1::RunnerLoads totals_;
  /// Requests in progress by runner.
  std::vector<uint32_t> load_;
  std::priority_queue<Run, std::vector<Run>, std::greater<>> runs_;
  std::map<uint64_t, std::set<size_t>> homes_;
  Outcome outcome_;
};

} // namespace

TEST_CASE(
    "A prompt tries its homes up to the cap, a random runner, then its homes up to their limits") {
  const TriedRunners tried = tryAll(runners(20, 32), true, false);
  REQUIRE(tried.ids.size() == 7);
  CHECK(std::vector(tried.ids.begin(), tried.ids.begin() + 4) ==
        std::vector<std::string>{"r0", "r1", "r2", "r3"});
  CHECK(std::set(tried.ids.begin(), tried.ids.begin() + 5).size() == 5);
  CHECK(tried.ids[5] == "r0");
  CHECK(tried.ids[6] == "r1");
  CHECK(tried.limits == std::vector<uint32_t>{20, 20, 20, 20, 20, 30, 30});
}

TEST_CASE("While the service is busy a prompt tries only three homes") {
  const TriedRunners tried = tryAll(runners(20, 32), true, true);
  CHECK(tried.ids == std::vector<std::string>{"r0", "r1", "r2"});
}

// Guards against a prompt that is refused everywhere for its late start although slots are free.
TEST_CASE(
    "The start of a prompt is limited at all of its offers but the last while slots are free") {
  const auto candidates = runners(20, 32);
  relay::PlacementQuery query{.candidates = candidates,
                              .by_prompt = true,
                              .engine = true,
                              .prompt_limits = {.kv_limit = 1000, .start_within_ms = 200}};
  const auto limitsOf = [&query] {
    std::vector<uint32_t> starts;
    for (query.refused = 0; const auto offer = relay::nextOffer({}, query); ++query.refused) {
      CHECK(offer->prompt_limits.kv_limit == 1000);
      starts.push_back(offer->prompt_limits.start_within_ms);
    }
    return starts;
  };
  CHECK(limitsOf() == std::vector<uint32_t>{200, 200, 200, 200, 200, 0, 0});
  query.by_prompt = false;
  CHECK(limitsOf() == std::vector<uint32_t>{200, 200, 0});
  query.busy = true;
  CHECK(limitsOf() == std::vector<uint32_t>{200, 200, 200});
  query.by_prompt = true;
  CHECK(limitsOf() == std::vector<uint32_t>{200, 200, 200});
}

// Guards against less urgent prompts that take the whole KV cache, and a limit of the start where
// nothing is known to compare it with.
TEST_CASE("Limits of a prompt follow from capacity, priority and the latency objective") {
  const auto limits = [](uint32_t priority, uint64_t capacity, uint32_t objective_ms,
                         uint32_t pause_ms) {
    return relay::promptLimits({}, {.priority = priority, .draw = 5}, capacity,
                               {.source = relay::DemandSource::Told,
                                .objective_ms = objective_ms,
                                .pause_objective_ms = pause_ms});
  };
  CHECK(limits(0, 400'000, 1500, 500).kv_limit == 360'000);
  CHECK(limits(2, 400'000, 1500, 500).kv_limit == 324'000);
  CHECK(limits(0, 0, 1500, 500).kv_limit == 0);
  CHECK(limits(0, 0, 1500, 500).start_within_ms == 1200);
  CHECK(limits(0, 0, 400, 500).start_within_ms == 320);
  CHECK(limits(0, 0, 400, 0).start_within_ms == 320);
  CHECK(limits(0, 0, 0, 300).start_within_ms == 0);
  CHECK(limits(0, 0, 0, 0).start_within_ms == 0);
  CHECK(relay::promptLimits({}, {}, 1000, {.objective_ms = 400}).start_within_ms == 0);
  CHECK(relay::promptLimits({}, {}, 1000, {.objective_ms = 400}).kv_limit == 900);
}

TEST_CASE("A plain request first tries to get a slot without queueing") {
  const TriedRunners tried = tryAll(runners(10, 6), false, false);
  CHECK(tried.limits == std::vector<uint32_t>{6, 6, 11});
  CHECK(tryAll(runners(1, 6), false, false).limits == std::vector<uint32_t>{11});
}

TEST_CASE(
    "With two fifths of a plain service's slots in use, 300 relays do not overload one runner") {
  // With load totals, relays fill single runners up to their limit of 11, two requests per slot,
  // while others are idle.
  const auto by_owners = FleetSimulation({}).run(10'000);
  CHECK(by_owners.sent > 3000);
  CHECK(by_owners.refused == 0);
  CHECK(by_owners.queued * 100 < by_owners.sent);
  const auto by_totals = FleetSimulation({.owners = false}).run(10'000);
  CHECK(by_totals.queued * 100 > 10 * by_totals.sent);
}

TEST_CASE("Plain requests over the capacity fill the runners to their limits and no further") {
  const auto outcome = FleetSimulation({.runners = 6, .rate = 2500}).run(10'000);
  CHECK(outcome.max_load <= 12);
  CHECK(outcome.refused > 0);
  // The requests sent are those that the limits allow, within a tenth.
  const double sent_per_second = outcome.sent / 8.2;
  CHECK(sent_per_second > 0.9 * 6 * 11 / 0.06);
}

TEST_CASE("Model engines under high load stay at their slot limits, and prefixes at few homes") {
  const FleetSimulation::Shape high_load{
      .runners = 40, .slots = 32, .rate = 800, .service_ms = 1200, .prefixes = 400};
  const auto by_owners = FleetSimulation(high_load).run(8000);
  CHECK(by_owners.max_load <= 38);
  CHECK(by_owners.refused * 100 < by_owners.sent);
  FleetSimulation::Shape without = high_load;
  without.owners = false;
  const auto by_totals = FleetSimulation(without).run(8000);
  CHECK(by_totals.homes > by_owners.homes);
  MESSAGE("homes of 400 prefixes: " << by_owners.homes << " by owners, " << by_totals.homes
                                    << " by totals; highest load " << by_owners.max_load << " and "
                                    << by_totals.max_load << "; refused " << by_owners.refused
                                    << " and " << by_totals.refused);
}

} // namespace workshatch::test
