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
    at.table.noteNotice(*runner, relay::RunnerNotice{.backoff_ms = kBackoffMs}, request.now_ms);
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
                                 .standing = {.draw = random()}};
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

} // namespace workshatch::test
