/// @file
/// Runners that ask for no requests for a time, before relays that send what callers want.
///
/// A third of a service's engines declined nearly half of what reached them and asked each relay
/// for three seconds without requests. Relays took that for being full for a moment, and sent on.
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
constexpr double kDeclinedPart = 0.45;
constexpr uint32_t kBackoffMs = 3000;
/// After its answer the runner bears what was on its way for so long.
constexpr int64_t kOnTheWayMs = 500;
/// Requests of one relay that a runner bears within a backoff.
constexpr int kBorneInBackoff = 2;
constexpr int64_t kSeriesMs = 9000;
constexpr double kRequestsPerS = 62;
constexpr int64_t kRunMs = 600;
constexpr int kDeclinesOfARequest = 3;

/// One relay, its attempts in progress, and what the runners declined.
struct Relay {
  relay::RunnerTable table{relay::RunnerTableOptions{}};
  struct Running {
    std::shared_ptr<relay::Runner> runner;
    int64_t ends_ms = 0;
  };
  std::deque<Running> running;
  struct Asked {
    int64_t at_ms = 0;
    int arrivals = 0;
  };
  std::map<std::string, std::vector<Asked>> asked;

  void endRuns(int64_t now_ms) {
    while (!running.empty() && running.front().ends_ms <= now_ms) {
      table.endAttempt(*running.front().runner, relay::AttemptOutcome::Succeeded, now_ms);
      running.pop_front();
    }
  }

  void countArrival(const std::string& runner, int64_t now_ms) {
    for (Asked& one : asked[runner]) {
      const int64_t after_ms = now_ms - one.at_ms;
      one.arrivals += after_ms > kOnTheWayMs && after_ms < int64_t{kBackoffMs} ? 1 : 0;
    }
  }

  int mostArrivals() const {
    int most = 0;
    for (const auto& [runner, all] : asked) {
      for (const Asked& one : all) {
        most = std::max(most, one.arrivals);
      }
    }
    return most;
  }
};

struct Outcome {
  int most_arrivals = 0;
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

/// One request of a caller at one relay. @return whether a runner runs it.
bool serve(Relay& at, relay::RunnerRequest request, std::mt19937_64& random, Outcome& outcome) {
  std::uniform_real_distribution<double> part(0, 1);
  for (int tries = 0; tries < kDeclinesOfARequest; ++tries) {
    const auto chosen = at.table.choose(request);
    const auto* choice = std::get_if<relay::RunnerChoice>(&chosen);
    if (choice == nullptr) {
      return false;
    }
    const auto runner = choice->runner;
    at.countArrival(runner->entry.id(), request.now_ms);
    at.table.beginAttempt(*runner, request.now_ms);
    const bool declining = runner->entry.id() < "r" + std::to_string(100 + kDecliningRunners);
    if (!declining || part(random) >= kDeclinedPart) {
      at.running.push_back({.runner = runner, .ends_ms = request.now_ms + kRunMs});
      return true;
    }
    ++outcome.declines;
    at.table.applyNotice(*runner, relay::RunnerNotice{.backoff_ms = kBackoffMs}, request.now_ms);
    at.table.endAttempt(*runner, relay::AttemptOutcome::Refused, request.now_ms);
    at.asked[runner->entry.id()].push_back({.at_ms = request.now_ms});
    request.excluded.push_back(runner->entry.id());
  }
  return false;
}

Outcome playSeries(uint64_t seed) {
  std::mt19937_64 random(seed);
  std::exponential_distribution<double> pause_ms(kRequestsPerS / 1000);
  std::vector<Relay> relays(kRelays);
  for (Relay& one : relays) {
    one.table.setList(engines(), 0);
  }
  Outcome outcome;
  const double begin_ms = 1000;
  for (double now = begin_ms; now < begin_ms + kSeriesMs; now += pause_ms(random)) {
    const auto now_ms = static_cast<int64_t>(now);
    Relay& at = relays[random() % kRelays];
    at.endRuns(now_ms);
    constexpr uint64_t kParts = 40;
    relay::RunnerRequest request{.service = "s",
                                 .cache_key = 1 + random() % kParts,
                                 .zone = "z",
                                 .now_ms = now_ms,
                                 .engine = true,
                                 .rank = {.draw = random()}};
    ++outcome.requests;
    outcome.served += serve(at, std::move(request), random, outcome) ? 1 : 0;
  }
  for (const Relay& one : relays) {
    outcome.most_arrivals = std::max(outcome.most_arrivals, one.mostArrivals());
  }
  return outcome;
}

} // namespace

TEST_CASE("Runners that ask for no requests for three seconds get them all the same") {
  for (const uint64_t seed : {1U, 2U, 3U, 4U, 5U}) {
    CAPTURE(seed);
    const Outcome outcome = playSeries(seed);
    MESSAGE("requests ", outcome.requests, ", served ", outcome.served, ", declines ",
            outcome.declines, ", most arrivals in a backoff ", outcome.most_arrivals);
    CHECK(outcome.most_arrivals <= kBorneInBackoff);
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

v1::RunnerList nobody(uint64_t version) {
  v1::RunnerList list;
  list.set_version(version);
  return list;
}

bool getsRequests(relay::RunnerTable& table, int64_t now_ms) {
  const relay::RunnerRequest request{.service = "s", .zone = "z", .now_ms = now_ms};
  return std::holds_alternative<relay::RunnerChoice>(table.choose(request));
}

/// A table of one runner, born at 5, that asked at 1000 for what the notice says.
relay::RunnerTable tableAfter(const relay::RunnerNotice& notice) {
  relay::RunnerTable table{relay::RunnerTableOptions{}};
  table.setList(oneRunner(1, 5), 0);
  table.applyNotice(*table.runners()[0], notice, 1000);
  return table;
}

const relay::RunnerNotice kAsksForThreeSeconds{.backoff_ms = kBackoffMs};

} // namespace

TEST_CASE("A runner that is missing from a list for a moment is sent requests in its backoff") {
  relay::RunnerTable table = tableAfter(kAsksForThreeSeconds);
  const auto before = table.runners()[0];
  table.setList(nobody(2), 1500);
  table.setList(oneRunner(3, 5), 2000);
  CHECK_FALSE(getsRequests(table, 2000));
  // An answer to an attempt that began before counts for the runner that is listed now.
  table.applyNotice(*before, kAsksForThreeSeconds, 3000);
  CHECK_FALSE(getsRequests(table, 5999));
  CHECK(getsRequests(table, 6000));
}

TEST_CASE("A relay that reads the list by itself forgets what runners asked for") {
  relay::RunnerTable table = tableAfter(kAsksForThreeSeconds);
  // Cut off from the group: the list comes from the platform, without a version.
  table.setList(oneRunner(0, 5), 2000);
  CHECK_FALSE(getsRequests(table, 2000));
  CHECK(getsRequests(table, 4000));
}

TEST_CASE("A runner that has started again waits for the end of its former process's backoff") {
  relay::RunnerTable table = tableAfter(kAsksForThreeSeconds);
  const auto former = table.runners()[0];
  table.setList(oneRunner(2, 9), 1500);
  CHECK(getsRequests(table, 1500));
  // A late answer of the former process says nothing of the present one.
  table.applyNotice(*former, kAsksForThreeSeconds, 1600);
  CHECK(getsRequests(table, 1600));
}

TEST_CASE("A shorter backoff ends a longer one that a runner asked for before") {
  relay::RunnerTable table = tableAfter(kAsksForThreeSeconds);
  table.applyNotice(*table.runners()[0], relay::RunnerNotice{.backoff_ms = 100}, 1500);
  CHECK_FALSE(getsRequests(table, 3999));
  CHECK(getsRequests(table, 4000));
}

TEST_CASE("The rest of a stream that broke goes to a runner that wants no requests") {
  relay::RunnerTable table = tableAfter(kAsksForThreeSeconds);
  const relay::RunnerRequest rest{
      .service = "s", .zone = "z", .now_ms = 2000, .ignores_limits = true};
  CHECK(std::get<relay::NoRunner>(table.choose(rest)) == relay::NoRunner::AllBackingOff);
}

TEST_CASE("A runner that said it is leaving gets requests again from a list that calls it ready") {
  relay::RunnerTable table = tableAfter(relay::RunnerNotice{.leaving = true});
  constexpr int64_t kLaterMs = 60'000;
  CHECK_FALSE(getsRequests(table, 1000));
  table.setList(oneRunner(2, 5), 2000);
  CHECK_FALSE(getsRequests(table, kLaterMs));
  table.setList(nobody(3), kLaterMs);
  table.setList(oneRunner(0, 5), kLaterMs + 1000);
  CHECK_FALSE(getsRequests(table, kLaterMs + 1000));
  // Nobody knows when another runner comes: no time is told.
  CHECK(table.backoffLeftMs("s", kLaterMs + 1000) == 0);
  // Its successor under its id has not said so.
  table.setList(oneRunner(4, 9), kLaterMs + 2000);
  CHECK(getsRequests(table, kLaterMs + 2000));
}

TEST_CASE("Backoffs of runners that are over take memory for good") {
  relay::RunnerBackoffs backoffs;
  constexpr uint64_t kIncarnations = 100'000;
  for (uint64_t incarnation = 1; incarnation <= kIncarnations; ++incarnation) {
    backoffs.note(incarnation, relay::RunnerNotice{.backoff_ms = 10},
                  static_cast<int64_t>(incarnation));
  }
  CHECK(backoffs.size() <= 4096);
  CHECK(backoffs.find(kIncarnations).holds(kIncarnations + 9));
}

} // namespace workshatch::test
