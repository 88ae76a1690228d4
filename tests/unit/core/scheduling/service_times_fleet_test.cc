/// @file
/// Simulations of the plain requests of a fleet: slow runners, more requests than the service can
/// serve, and failing runners. The decision by a limit of three requests per slot runs as the
/// baseline.
#include <algorithm>
#include <deque>
#include <memory>
#include <queue>
#include <random>
#include <vector>

#include <doctest/doctest.h>

#include "core/relay/load_totals.h"
#include "core/relay/runner_table.h"
#include "core/scheduling/service_reports.h"
#include "core/scheduling/slot_usage.h"

namespace workshatch::test {

namespace {

constexpr int64_t kObjectiveMs = 300;
constexpr uint32_t kStartWithinMs = 240;
constexpr uint32_t kSlots = 6;
constexpr int kRelays = 76;
constexpr int64_t kTotalsPeriodMs = 900;
/// The results of the first seconds, in which nothing is measured yet, are not counted.
constexpr int64_t kWarmUpMs = 4000;
constexpr int64_t kEndMs = 24'000;

/// A runner with a queue. Requests take between half and one and a half of the mean time.
struct SimulatedRunner {
  double service_ms = 60;
  double failed_fraction = 0;
};

struct FleetShape {
  std::vector<SimulatedRunner> runners;
  double requests_per_s = 0;
  bool by_service_times = true;
};

/// What the callers got.
struct CallerResults {
  int in_time = 0;
  int late = 0;
  int refused = 0;
  int failed = 0;
  int64_t percentile_99_ms = 0;
  /// Most runners that a relay avoided because of their failures at a time.
  size_t most_avoided = 0;
  int total() const { return in_time + late + refused + failed; }
};

/// Discrete-event simulation with relays that each own the slots of at most one runner. Datagrams
/// take no time; load totals reach all relays once per period and are one period old.
class PlainFleet {
public:
  explicit PlainFleet(FleetShape shape) : shape_(std::move(shape)), arrivals_(7), random_(23) {
    v1::RunnerList list;
    list.set_version(1);
    for (size_t i = 0; i < shape_.runners.size(); ++i) {
      v1::RunnerEntry* entry = list.add_runners();
      entry->set_id("r" + std::to_string(i));
      entry->set_service("s");
      entry->set_slots(kSlots);
    }
    relay::RunnerTableOptions options;
    options.policy.service_times = shape_.by_service_times;
    if (!shape_.by_service_times) {
      options.slot_limits.plain_requests_per_slot = 3;
      options.placement.slot_limits.plain_requests_per_slot = 3;
    }
    for (int i = 0; i < kRelays; ++i) {
      relays_.push_back(std::make_unique<Relay>(options));
      relays_.back()->table.setServices({relay::Service{.name = "s"}});
      relays_.back()->table.setList(list, 0);
      relays_.back()->table.setRelays(kRelays);
    }
    queues_.resize(shape_.runners.size());
    running_.resize(shape_.runners.size());
  }

  CallerResults run() {
    std::exponential_distribution<double> gap(shape_.requests_per_s / 1000);
    double next_request = 0;
    for (int64_t now = 0; now < kEndMs; ++now) {
      while (!ends_.empty() && ends_.top().ends_ms <= now) {
        const Request ended = ends_.top();
        ends_.pop();
        end(ended, now);
      }
      if (now % kTotalsPeriodMs == 0) {
        sendLoadTotals(now);
      }
      for (; next_request <= static_cast<double>(now); next_request += gap(arrivals_)) {
        admit(now);
      }
    }
    std::sort(times_.begin(), times_.end());
    results_.percentile_99_ms = times_.empty() ? 0 : times_[times_.size() * 99 / 100];
    return results_;
  }

private:
  struct Relay {
    explicit Relay(const relay::RunnerTableOptions& options) : table(options) {}
    relay::RunnerTable table;
    relay::SlotUsage usage{1};
    relay::SlotOwner owner;
  };
  struct Request {
    int64_t arrived_ms = 0;
    int64_t ends_ms = 0;
    size_t relay = 0;
    std::shared_ptr<relay::Runner> runner;
    size_t position = 0;
    bool operator>(const Request& other) const { return ends_ms > other.ends_ms; }
  };

  static std::string nameOf(size_t relay) { return std::to_string(relay); }
  static size_t positionOf(const relay::Runner& runner) {
    return static_cast<size_t>(std::stoi(runner.entry.id().substr(1)));
  }

  void sendLoadTotals(int64_t now) {
    relay::LoadTotals totals(1, shape_.runners.size());
    for (const auto& relay : relays_) {
      totals.add(relay->table.ownLoads(now));
    }
    const v1::RunnerLoads published = std::exchange(totals_, totals.totals());
    for (const auto& relay : relays_) {
      relay->table.setLoadTotals(published, relay->table.ownLoads(now), now);
      const auto avoided = relay::findFailingRunners(relay->table.runners(), now);
      results_.most_avoided = std::max(results_.most_avoided, avoided.size());
    }
  }

  void admit(int64_t now) {
    const size_t at = random_() % relays_.size();
    relay::RunnerRequest request{.service = "s", .now_ms = now};
    request.rank.draw = random_();
    request.uses_slot_owners = true;
    request.start_within_ms = shape_.by_service_times ? kStartWithinMs : 0;
    while (true) {
      const auto chosen = relays_[at]->table.choose(request);
      const auto* choice = std::get_if<relay::RunnerChoice>(&chosen);
      if (choice == nullptr) {
        results_.refused += now >= kWarmUpMs ? 1 : 0;
        return;
      }
      if (takeSlot(*relays_[at], nameOf(at), *choice, now, request.unsuitable)) {
        begin(at, *choice, now);
        return;
      }
      ++request.refused_slots;
      request.already_counted = true;
    }
  }

  /// Claims a slot as `ActiveRequest` does.
  bool takeSlot(Relay& relay, const std::string& address, const relay::RunnerChoice& choice,
                int64_t now, std::vector<uint64_t>& unsuitable) {
    const uint64_t runner = choice.runner->fingerprint;
    Relay& owner = *relays_[positionOf(*choice.runner)];
    v1::PlaceClaim claim;
    *claim.mutable_use() = relay.usage.makeReport(runner, now);
    claim.set_limit(choice.limit);
    claim.set_start_within_ms(choice.start_within_ms);
    const auto decision =
        owner.owner.claim(address, claim, owner.table.ownedRunner(runner, now), now);
    relay.table.recordLoad(*choice.runner, decision.load);
    if (!shape_.by_service_times) {
      return decision.granted;
    }
    if (decision.plain.service_time_ms != 0) {
      relay.owner.recordReceivedServiceTime("s", decision.plain.service_time_ms, now);
    }
    relay::recordServiceReport(*choice.runner, decision.plain, now);
    const bool given_up =
        decision.granted && !choice.last_resort && relay.table.isFailing(*choice.runner, now);
    if (given_up || decision.plain.late) {
      unsuitable.push_back(runner);
    }
    if (given_up) {
      owner.owner.recordUsage(address, relay.usage.makeReport(runner, now), now);
    }
    return decision.granted && !given_up;
  }

  void begin(size_t at, const relay::RunnerChoice& choice, int64_t now) {
    Relay& relay = *relays_[at];
    relay.table.beginAttempt(*choice.runner, now);
    relay.usage.add(choice.runner->fingerprint);
    const size_t position = positionOf(*choice.runner);
    queues_[position].push_back(
        Request{.arrived_ms = now, .relay = at, .runner = choice.runner, .position = position});
    startNext(position, now);
  }

  void startNext(size_t position, int64_t now) {
    if (queues_[position].empty() || running_[position] == kSlots) {
      return;
    }
    const double mean_ms = shape_.runners[position].service_ms;
    std::uniform_real_distribution<double> duration(0.5 * mean_ms, 1.5 * mean_ms);
    Request request = queues_[position].front();
    queues_[position].pop_front();
    request.ends_ms = now + static_cast<int64_t>(duration(random_));
    ++running_[position];
    ends_.push(std::move(request));
  }

  void end(const Request& request, int64_t now) {
    Relay& relay = *relays_[request.relay];
    const uint64_t runner = request.runner->fingerprint;
    const bool failed =
        std::bernoulli_distribution(shape_.runners[request.position].failed_fraction)(random_);
    relay.table.recordActivity(*request.runner, now);
    relay.table.endAttempt(
        *request.runner, failed ? relay::AttemptOutcome::Failed : relay::AttemptOutcome::Succeeded,
        now);
    relay.usage.remove(runner);
    relay.usage.recordEnd(runner,
                          failed ? relay::RequestEnd::Failed : relay::RequestEnd::Completed);
    relays_[request.position]->owner.recordUsage(nameOf(request.relay),
                                                 relay.usage.makeReport(runner, now), now);
    --running_[request.position];
    startNext(request.position, now);
    if (request.arrived_ms >= kWarmUpMs) {
      count(now - request.arrived_ms, failed);
    }
  }

  void count(int64_t took_ms, bool failed) {
    times_.push_back(took_ms);
    const bool in_time = took_ms <= kObjectiveMs;
    results_.failed += failed ? 1 : 0;
    results_.in_time += !failed && in_time ? 1 : 0;
    results_.late += !failed && !in_time ? 1 : 0;
  }

  const FleetShape shape_;
  /// The requests arrive at the same times with each decision.
  std::mt19937_64 arrivals_;
  std::mt19937_64 random_;
  std::vector<std::unique_ptr<Relay>> relays_;
  v1::RunnerLoads totals_;
  /// By position of the runner: requests that wait there, and number of those that are processed.
  std::vector<std::deque<Request>> queues_;
  std::vector<uint32_t> running_;
  std::priority_queue<Request, std::vector<Request>, std::greater<>> ends_;
  std::vector<int64_t> times_;
  CallerResults results_;
};

/// Results with the decision by service times, and by the number of requests.
struct Comparison {
  CallerResults by_time;
  CallerResults by_count;
};

Comparison compare(FleetShape shape) {
  Comparison results;
  results.by_time = PlainFleet(shape).run();
  shape.by_service_times = false;
  results.by_count = PlainFleet(shape).run();
  for (const auto* result : {&results.by_time, &results.by_count}) {
    const std::string decision = result == &results.by_time ? "by time: " : "by count: ";
    MESSAGE(decision << result->in_time << " in time, " << result->late << " late, "
                     << result->refused << " refused, " << result->failed
                     << " failed, 99th percentile " << result->percentile_99_ms << " ms");
  }
  return results;
}

/// @return six runners, of which the first `slow` take `factor` times as long as the others.
std::vector<SimulatedRunner> slowRunners(size_t slow, double factor) {
  std::vector<SimulatedRunner> runners(6);
  for (size_t i = 0; i < slow; ++i) {
    runners[i].service_ms *= factor;
  }
  return runners;
}

/// Requests per second that six runners of the usual speed can serve.
constexpr double kCapacity = 600;

} // namespace

// Guards against slow runners that make the requests sent to them late while others are idle.
TEST_CASE("Two of six runners that work four times slower make few requests late") {
  const auto results = compare({.runners = slowRunners(2, 4), .requests_per_s = 255});
  CHECK(100 * results.by_time.in_time >= 98 * results.by_time.total());
  CHECK(3 * results.by_time.late < results.by_count.late);
  CHECK(200 * results.by_time.refused <= results.by_time.total());
  CHECK(results.by_time.percentile_99_ms <= kObjectiveMs);
  CHECK(results.by_count.percentile_99_ms > kObjectiveMs);
}

// Guards against queues of late requests at slow runners when the fast ones are full.
TEST_CASE("Two slow runners are not filled with late requests when the others are fully used") {
  const auto results = compare({.runners = slowRunners(2, 4), .requests_per_s = 400});
  CHECK(results.by_time.in_time > results.by_count.in_time);
  CHECK(5 * results.by_time.late < results.by_count.late);
  CHECK(100 * results.by_time.refused <= 2 * results.by_time.total());
  CHECK(results.by_time.percentile_99_ms <= kObjectiveMs);
  CHECK(results.by_count.percentile_99_ms > 2 * kObjectiveMs);
}

// Guards against overload in which the limit by time costs throughput.
TEST_CASE("Six runners at one and a half of their capacity serve as many in time as with a count") {
  const auto results = compare({.runners = slowRunners(0, 1), .requests_per_s = 1.5 * kCapacity});
  CHECK(100 * results.by_time.in_time >= 99 * results.by_count.in_time);
  CHECK(results.by_time.late == 0);
  CHECK(results.by_time.in_time + results.by_time.refused == results.by_time.total());
  CHECK(results.by_time.percentile_99_ms <= kObjectiveMs);
}

// Guards against overload in which all responses are late and none is useful.
TEST_CASE("Runners that are all slower serve what they can in time, and the rest is refused") {
  const double slower = 2.5;
  const double capacity = kCapacity / slower;
  const auto results =
      compare({.runners = slowRunners(6, slower), .requests_per_s = 1.5 * capacity});
  CHECK(results.by_time.late == 0);
  CHECK(results.by_time.in_time > 0.9 * capacity * (kEndMs - kWarmUpMs) / 1000);
  CHECK(results.by_time.percentile_99_ms <= kObjectiveMs);
  CHECK(results.by_count.late > 10 * results.by_count.in_time);
}

// Guards against a failing runner that no relay notices because each sends it few requests.
TEST_CASE("A runner that fails half of its requests is avoided by the evidence of all relays") {
  // A relay sends this runner a request every two seconds, too few to notice by itself.
  FleetShape shape{.runners = std::vector<SimulatedRunner>(6), .requests_per_s = 255};
  shape.runners[2].failed_fraction = 0.5;
  const auto results = compare(shape);
  CHECK(results.by_time.most_avoided == 1);
  CHECK(3 * results.by_time.failed < results.by_count.failed);
  CHECK(100 * results.by_time.in_time >= 99 * results.by_time.total());
}

// Guards against the overload of the last runners that are not avoided.
TEST_CASE("If most runners fail, no relay avoids more than a third of them") {
  FleetShape shape{.runners = std::vector<SimulatedRunner>(6), .requests_per_s = 255};
  for (size_t i = 0; i < 4; ++i) {
    shape.runners[i].failed_fraction = 0.8;
  }
  const auto results = compare(shape);
  CHECK(results.by_time.most_avoided == 2);
  CHECK(results.by_time.failed < results.by_count.failed);
  CHECK(results.by_time.in_time > results.by_count.in_time);
}

} // namespace workshatch::test
