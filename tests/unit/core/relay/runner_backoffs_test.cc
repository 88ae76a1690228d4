/// @file
/// Backoffs that runners request from relays.
///
/// Guards against relays that ignore a requested backoff. A third of a service's engines declined
/// nearly half of their requests and requested a backoff of three seconds from each relay. The
/// relays treated them as full for a moment, and sent further requests.
#include <algorithm>
#include <cstdint>
#include <deque>
#include <map>
#include <random>
#include <variant>
#include <vector>

#include <doctest/doctest.h>

#include "core/relay/runner_table.h"

namespace workshatch::test {

namespace {

constexpr size_t kRelays = 12;
constexpr int kRunners = 12;
constexpr int kDecliningRunners = 4;
constexpr double kDeclineProbability = 0.45;
constexpr uint32_t kBackoffMs = 3000;
/// Time after the response in which the runner accepts requests that were already on their way.
constexpr int64_t kInFlightMs = 500;
/// Maximum number of requests of one relay that may reach a runner within a backoff.
constexpr int kMaxArrivalsInBackoff = 2;
constexpr int64_t kDurationMs = 9000;
constexpr double kRequestsPerS = 62;
constexpr int64_t kRunMs = 600;
constexpr int kMaxDeclines = 3;

/// One relay, its attempts in progress, and the backoffs that runners requested.
struct Relay {
  relay::RunnerTable table{relay::RunnerTableOptions{}};
  struct Running {
    std::shared_ptr<relay::Runner> runner;
    int64_t ends_ms = 0;
  };
  std::deque<Running> running;
  struct BackoffRequest {
    int64_t at_ms = 0;
    int arrivals = 0;
  };
  std::map<std::string, std::vector<BackoffRequest>> backoff_requests;

  void endRuns(int64_t now_ms) {
    while (!running.empty() && running.front().ends_ms <= now_ms) {
      table.endAttempt(*running.front().runner, relay::AttemptOutcome::Succeeded, now_ms);
      running.pop_front();
    }
  }

  void countArrival(const std::string& runner, int64_t now_ms) {
    for (BackoffRequest& one : backoff_requests[runner]) {
      const int64_t after_ms = now_ms - one.at_ms;
      one.arrivals += after_ms > kInFlightMs && after_ms < int64_t{kBackoffMs} ? 1 : 0;
    }
  }

  int maxArrivals() const {
    int most = 0;
    for (const auto& [runner, all] : backoff_requests) {
      for (const BackoffRequest& one : all) {
        most = std::max(most, one.arrivals);
      }
    }
    return most;
  }
};

struct Outcome {
  int max_arrivals = 0;
  size_t requests = 0;
  size_t served = 0;
  size_t declines = 0;
};

v1::RunnerList engines() {
  v1::RunnerList list;
  list.set_version(1);
  for (int i = 0; i < kRunners; ++i) {
    v1::RunnerEntry* entry = list.add_runners();
    entry->set_id("r" + std::to_string(100 + i));
    entry->set_service("s");
    entry->set_address("127.0.0.1:1");
    entry->set_zone("z");
    entry->set_slots(64);
  }
  return list;
}

/// Sends one request of a caller at one relay. @return whether a runner runs it.
bool serve(Relay& at, relay::RunnerRequest request, std::mt19937_64& random, Outcome& outcome) {
  std::uniform_real_distribution<double> uniform(0, 1);
  for (int tries = 0; tries < kMaxDeclines; ++tries) {
    const auto chosen = at.table.choose(request);
    const auto* choice = std::get_if<relay::RunnerChoice>(&chosen);
    if (choice == nullptr) {
      return false;
    }
    const auto runner = choice->runner;
    at.countArrival(runner->entry.id(), request.now_ms);
    at.table.beginAttempt(*runner, request.now_ms);
    const bool declining = runner->entry.id() < "r" + std::to_string(100 + kDecliningRunners);
    if (!declining || uniform(random) >= kDeclineProbability) {
      at.running.push_back({.runner = runner, .ends_ms = request.now_ms + kRunMs});
      return true;
    }
    ++outcome.declines;
    at.table.applyNotice(*runner, relay::RunnerNotice{.backoff_ms = kBackoffMs}, request.now_ms);
    at.table.endAttempt(*runner, relay::AttemptOutcome::Refused, request.now_ms);
    at.backoff_requests[runner->entry.id()].push_back({.at_ms = request.now_ms});
    request.excluded.push_back(runner->entry.id());
  }
  return false;
}

Outcome simulate(uint64_t seed) {
  std::mt19937_64 random(seed);
  std::exponential_distribution<double> pause_ms(kRequestsPerS / 1000);
  std::vector<Relay> relays(kRelays);
  for (Relay& one : relays) {
    one.table.setList(engines(), 0);
  }
  Outcome outcome;
  const double begin_ms = 1000;
  for (double now = begin_ms; now < begin_ms + kDurationMs; now += pause_ms(random)) {
    const auto now_ms = static_cast<int64_t>(now);
    Relay& at = relays[random() % kRelays];
    at.endRuns(now_ms);
    constexpr uint64_t kPrefixes = 40;
    relay::RunnerRequest request{.service = "s",
                                 .cache_key = 1 + random() % kPrefixes,
                                 .zone = "z",
                                 .now_ms = now_ms,
                                 .engine = true,
                                 .rank = {.draw = random()}};
    ++outcome.requests;
    outcome.served += serve(at, std::move(request), random, outcome) ? 1 : 0;
  }
  for (const Relay& one : relays) {
    outcome.max_arrivals = std::max(outcome.max_arrivals, one.maxArrivals());
  }
  return outcome;
}

} // namespace

TEST_CASE("Runners that requested a backoff of three seconds still get requests") {
  for (const uint64_t seed : {1U, 2U, 3U, 4U, 5U}) {
    CAPTURE(seed);
    const Outcome outcome = simulate(seed);
    MESSAGE("requests ", outcome.requests, ", served ", outcome.served, ", declines ",
            outcome.declines, ", most arrivals in a backoff ", outcome.max_arrivals);
    CHECK(outcome.max_arrivals <= kMaxArrivalsInBackoff);
  }
}

namespace {

v1::RunnerList oneRunner(uint64_t version, uint64_t born_ms) {
  v1::RunnerList list = engines();
  list.set_version(version);
  list.mutable_runners()->DeleteSubrange(1, list.runners_size() - 1);
  list.mutable_runners(0)->set_born_ms(born_ms);
  return list;
}

v1::RunnerList emptyList(uint64_t version) {
  v1::RunnerList list;
  list.set_version(version);
  return list;
}

bool getsRequests(relay::RunnerTable& table, int64_t now_ms) {
  const relay::RunnerRequest request{.service = "s", .zone = "z", .now_ms = now_ms};
  return std::holds_alternative<relay::RunnerChoice>(table.choose(request));
}

/// A table of one runner, started at 5, that sent this notice at 1000.
relay::RunnerTable tableAfter(const relay::RunnerNotice& notice) {
  relay::RunnerTable table{relay::RunnerTableOptions{}};
  table.setList(oneRunner(1, 5), 0);
  table.applyNotice(*table.runners()[0], notice, 1000);
  return table;
}

const relay::RunnerNotice kThreeSecondBackoff{.backoff_ms = kBackoffMs};

} // namespace

TEST_CASE(
    "A runner that is temporarily missing from the list is sent requests during its backoff") {
  relay::RunnerTable table = tableAfter(kThreeSecondBackoff);
  const auto before = table.runners()[0];
  table.setList(emptyList(2), 1500);
  table.setList(oneRunner(3, 5), 2000);
  CHECK_FALSE(getsRequests(table, 2000));
  // A response to an attempt that began before is applied to the runner that is listed now.
  table.applyNotice(*before, kThreeSecondBackoff, 3000);
  CHECK_FALSE(getsRequests(table, 5999));
  CHECK(getsRequests(table, 6000));
}

TEST_CASE("A relay that reads the list from the platform loses the requested backoffs") {
  relay::RunnerTable table = tableAfter(kThreeSecondBackoff);
  // Without a connection to the group, the list is read from the platform and has no version.
  table.setList(oneRunner(0, 5), 2000);
  CHECK_FALSE(getsRequests(table, 2000));
  CHECK(getsRequests(table, 4000));
}

TEST_CASE("A restarted runner gets no requests until the backoff of its former process ends") {
  relay::RunnerTable table = tableAfter(kThreeSecondBackoff);
  const auto former = table.runners()[0];
  table.setList(oneRunner(2, 9), 1500);
  CHECK(getsRequests(table, 1500));
  // A late response of the former process does not affect the present one.
  table.applyNotice(*former, kThreeSecondBackoff, 1600);
  CHECK(getsRequests(table, 1600));
}

TEST_CASE("A shorter backoff ends a longer one that the runner requested before") {
  relay::RunnerTable table = tableAfter(kThreeSecondBackoff);
  table.applyNotice(*table.runners()[0], relay::RunnerNotice{.backoff_ms = 100}, 1500);
  CHECK_FALSE(getsRequests(table, 3999));
  CHECK(getsRequests(table, 4000));
}

TEST_CASE("A resumed stream goes to a runner that is backing off") {
  relay::RunnerTable table = tableAfter(kThreeSecondBackoff);
  const relay::RunnerRequest rest{
      .service = "s", .zone = "z", .now_ms = 2000, .ignores_limits = true};
  CHECK(std::get<relay::NoRunner>(table.choose(rest)) == relay::NoRunner::AllBackingOff);
}

TEST_CASE("A runner that announced its end gets requests again after a list that calls it ready") {
  relay::RunnerTable table = tableAfter(relay::RunnerNotice{.leaving = true});
  constexpr int64_t kLaterMs = 60'000;
  CHECK_FALSE(getsRequests(table, 1000));
  table.setList(oneRunner(2, 5), 2000);
  CHECK_FALSE(getsRequests(table, kLaterMs));
  table.setList(emptyList(3), kLaterMs);
  table.setList(oneRunner(0, 5), kLaterMs + 1000);
  CHECK_FALSE(getsRequests(table, kLaterMs + 1000));
  // It is unknown when another runner starts, so that no time is returned.
  CHECK(table.backoffLeftMs("s", kLaterMs + 1000) == 0);
  // The next process under its id has not announced that it is leaving.
  table.setList(oneRunner(4, 9), kLaterMs + 2000);
  CHECK(getsRequests(table, kLaterMs + 2000));
}

TEST_CASE("Expired backoffs are never removed from memory") {
  relay::RunnerBackoffs backoffs;
  constexpr uint64_t kIncarnations = 100'000;
  for (uint64_t incarnation = 1; incarnation <= kIncarnations; ++incarnation) {
    backoffs.record(incarnation, relay::RunnerNotice{.backoff_ms = 10},
                    static_cast<int64_t>(incarnation));
  }
  CHECK(backoffs.size() <= 4096);
  CHECK(backoffs.find(kIncarnations).holds(kIncarnations + 9));
}

} // namespace workshatch::test
