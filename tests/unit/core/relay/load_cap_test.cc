/// @file
/// Simulates a fleet of relays whose loads are known to one another with a delay, and tests that no
/// engine exceeds the operators' multiple of the mean load.
#include <algorithm>
#include <deque>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include <doctest/doctest.h>

#include "core/relay/load_totals.h"
#include "core/relay/renewal_period.h"
#include "core/relay/runner_table.h"
#include "ports/seeded_random.h"

namespace workshatch::test {

namespace {

/// Traffic of a quiet day on which the cap was exceeded.
constexpr size_t kRelays = 10;
constexpr int kRunners = 18;
constexpr uint32_t kSlots = 48;
constexpr uint64_t kPrefixes = 346;
constexpr int64_t kDurationMs = 60'000;
/// Requests arrive in bursts of this size, some 170 per second in all.
constexpr uint64_t kBurstSize = 3;
constexpr uint64_t kBurstsPerSecond = 57;
/// Range of the duration of a request.
constexpr uint64_t kShortestMs = 60;
constexpr uint64_t kLongestMs = 700;
/// The operators' bound. They consider it violated if 3 in 100 of the requests of five seconds
/// exceed it. The test allows a third of that, because the simulation has neither slow links nor
/// runners that start and stop. Renewals every 250 ms that used the bound itself as their limit
/// reached 1.1 to 2.2 in 100.
constexpr double kCapFactor = 2;
constexpr double kCapSlack = 3;
constexpr int64_t kWindowMs = 5'000;
constexpr double kMaxOverFraction = 0.01;

v1::RunnerList engines() {
  v1::RunnerList list;
  list.set_version(1);
  for (int i = 0; i < kRunners; ++i) {
    v1::RunnerEntry* entry = list.add_runners();
    entry->set_id("engine-" + std::to_string(i));
    entry->set_service("s");
    entry->set_zone("z");
    entry->set_slots(kSlots);
  }
  return list;
}

/// Relays that renew their leases one after the other and receive the totals of the latest reports
/// of all relays.
class SimulatedFleet {
public:
  explicit SimulatedFleet(uint64_t seed) : random_(seed) {
    for (size_t i = 0; i < kRelays; ++i) {
      relays_.push_back(std::make_unique<relay::RunnerTable>(relay::RunnerTableOptions{}));
      relays_.back()->setList(engines(), 0);
      relays_.back()->setRelays(kRelays);
    }
    reported_.resize(kRelays);
  }

  /// @return the largest fraction of a window's requests that exceeded the bound.
  double worstOverFraction() {
    for (int64_t now_ms = 1; now_ms <= kDurationMs; ++now_ms) {
      endRequests(now_ms);
      streamEvents(now_ms);
      renew(now_ms);
      if (random_.below(1000) < kBurstsPerSecond) {
        arrive(now_ms);
      }
    }
    return worst_;
  }

private:
  struct Running {
    size_t relay = 0;
    std::shared_ptr<relay::Runner> runner;
  };
  struct Sent {
    int64_t at_ms = 0;
    bool over = false;
  };

  void endRequests(int64_t now_ms) {
    const auto ended = ends_.equal_range(now_ms);
    for (auto it = ended.first; it != ended.second; ++it) {
      const Running& running = it->second;
      relays_[running.relay]->endAttempt(*running.runner, relay::AttemptOutcome::Succeeded, now_ms);
      --loads_[running.runner->entry.id()];
    }
    ends_.erase(now_ms);
  }

  /// Engines send events for each request continuously.
  void streamEvents(int64_t now_ms) {
    for (const auto& [end_ms, running] : ends_) {
      relays_[running.relay]->recordActivity(*running.runner, now_ms);
    }
  }

  void renew(int64_t now_ms) {
    const int64_t period_ms = relay::renewalPeriodForFleetMs(relay::kRenewalPeriodMs, kRelays);
    for (size_t i = 0; i < kRelays; ++i) {
      const auto offset_ms = static_cast<int64_t>(i) * period_ms / static_cast<int64_t>(kRelays);
      if (now_ms % period_ms != offset_ms) {
        continue;
      }
      reported_[i] = relays_[i]->ownLoads(now_ms);
      relay::LoadTotals totals(1, kRunners);
      for (const v1::RunnerLoads& report : reported_) {
        totals.add(report);
      }
      relays_[i]->setLoadTotals(totals.totals(), reported_[i], now_ms);
    }
  }

  /// Half of the requests use an eighth of the prefixes.
  uint64_t drawPrefix() {
    constexpr uint64_t kPopular = kPrefixes / 8;
    return 1 + (random_.below(2) == 0 ? random_.below(kPopular) : random_.below(kPrefixes));
  }

  void arrive(int64_t now_ms) {
    for (uint64_t i = 0; i < kBurstSize; ++i) {
      const size_t at = random_.below(kRelays);
      const relay::RunnerRequest request{.service = "s",
                                         .cache_key = drawPrefix(),
                                         .zone = "z",
                                         .now_ms = now_ms,
                                         .engine = true,
                                         .rank = {.draw = random_.next()}};
      const auto choice = relays_[at]->choose(request);
      if (const auto* chosen = std::get_if<relay::RunnerChoice>(&choice)) {
        send(at, chosen->runner, now_ms);
      }
    }
  }

  void send(size_t from, const std::shared_ptr<relay::Runner>& runner, int64_t now_ms) {
    uint32_t& load = loads_[runner->entry.id()];
    const double mean = static_cast<double>(ends_.size()) / kRunners;
    recordSent(Sent{.at_ms = now_ms, .over = load > kCapFactor * mean + kCapSlack});
    ++load;
    relays_[from]->beginAttempt(*runner, now_ms);
    const auto length_ms =
        static_cast<int64_t>(kShortestMs + random_.below(kLongestMs - kShortestMs));
    ends_.emplace(now_ms + length_ms, Running{.relay = from, .runner = runner});
  }

  void recordSent(Sent sent) {
    window_.push_back(sent);
    while (window_.front().at_ms < sent.at_ms - kWindowMs) {
      window_.pop_front();
    }
    if (sent.at_ms > kWindowMs) {
      const auto over = std::count_if(window_.begin(), window_.end(),
                                      [](const Sent& earlier) { return earlier.over; });
      worst_ = std::max(worst_, static_cast<double>(over) / static_cast<double>(window_.size()));
    }
  }

  SeededRandom random_;
  std::vector<std::unique_ptr<relay::RunnerTable>> relays_;
  std::vector<v1::RunnerLoads> reported_;
  /// Actual loads by runner, and the requests in progress by the time at which they end.
  std::map<std::string, uint32_t> loads_;
  std::multimap<int64_t, Running> ends_;
  std::deque<Sent> window_;
  double worst_ = 0;
};

} // namespace

TEST_CASE("Relays that know one another's loads with a delay keep to the load cap") {
  constexpr uint64_t kSeeds = 6;
  for (uint64_t seed = 1; seed <= kSeeds; ++seed) {
    const double worst = SimulatedFleet(seed).worstOverFraction();
    CAPTURE(seed);
    CHECK(worst <= kMaxOverFraction);
  }
}

} // namespace workshatch::test
