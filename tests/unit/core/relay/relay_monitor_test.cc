/// @file
/// Time until relays that lost power are detected, simulated for up to 2,000 relays, and the
/// updates of the relay list that follow.
#include <algorithm>
#include <cstdint>
#include <random>
#include <string>
#include <vector>

#include <doctest/doctest.h>

#include "core/relay/relay_list_history.h"
#include "core/relay/relay_monitor.h"
#include "core/relay/renewal_period.h"

namespace workshatch::test {

namespace {

/// Simulates relays that renew, send requests to each other, and sometimes stall for a moment.
class SimulatedFleet {
public:
  SimulatedFleet(size_t relays, uint32_t seed)
      : period_ms_(relay::renewalPeriodForFleetMs(relay::kRenewalPeriodMs, relays)), random_(seed),
        relays_(relays) {
    for (Relay& relay : relays_) {
      relay.next_renewal_ms = below(period_ms_);
    }
  }

  /// @param gone number of relays that lose power
  /// @param from_ms when they lose power
  void run(size_t gone, int64_t from_ms, int64_t until_ms) {
    for (int64_t now_ms = 0; now_ms < until_ms; now_ms += kStepMs) {
      for (size_t i = 0; i < relays_.size(); ++i) {
        step(i, i < gone && now_ms >= from_ms, now_ms);
      }
      if (now_ms % kRefreshMs != 0) {
        continue;
      }
      for (const std::string& name : monitor_.takeSilent(period_ms_, now_ms)) {
        Relay& relay = relays_[std::stoul(name)];
        relay.detected_after_ms =
            relay.detected_after_ms < 0 ? now_ms - from_ms : relay.detected_after_ms;
      }
    }
  }

  /// @return the times until the relays that are gone were detected, in milliseconds and ascending
  /// order; `never` for those that were not detected.
  std::vector<int64_t> detectionTimes(size_t gone, int64_t never) const {
    std::vector<int64_t> times;
    for (size_t i = 0; i < gone; ++i) {
      times.push_back(relays_[i].detected_after_ms < 0 ? never : relays_[i].detected_after_ms);
    }
    std::sort(times.begin(), times.end());
    return times;
  }
  size_t falseDetections(size_t gone) const {
    return static_cast<size_t>(
        std::count_if(relays_.begin() + static_cast<ptrdiff_t>(gone), relays_.end(),
                      [](const Relay& relay) { return relay.detected_after_ms >= 0; }));
  }
  size_t renewalsRequested() const { return renewals_requested_; }

private:
  static constexpr int64_t kStepMs = 10;
  static constexpr int64_t kRefreshMs = 300;
  /// Requests of a relay to other relays per second.
  static constexpr double kRequestsPerSecond = 2;
  /// A relay stalls for some 200 ms, once in ten seconds.
  static constexpr int64_t kStallMs = 200;
  static constexpr int64_t kBetweenStallsMs = 10'000;

  struct Relay {
    int64_t next_renewal_ms = 0;
    int64_t stalled_until_ms = 0;
    int64_t detected_after_ms = -1;
    bool renewal_requested = false;
  };

  int64_t below(int64_t bound) {
    return std::uniform_int_distribution<int64_t>(0, bound - 1)(random_);
  }

  void step(size_t number, bool gone, int64_t now_ms) {
    Relay& relay = relays_[number];
    if (gone) {
      relay.stalled_until_ms = now_ms + kStepMs + 1;
      return;
    }
    if (below(kBetweenStallsMs) < kStepMs) {
      relay.stalled_until_ms = now_ms + kStallMs;
    }
    if (relay.stalled_until_ms > now_ms) {
      return;
    }
    if (now_ms >= relay.next_renewal_ms || relay.renewal_requested) {
      relay.renewal_requested = false;
      relay.next_renewal_ms = now_ms + period_ms_;
      monitor_.recordRenewal(std::to_string(number), now_ms);
    }
    if (std::bernoulli_distribution(kRequestsPerSecond * kStepMs / 1000)(random_)) {
      sendRequest(now_ms);
    }
  }

  void sendRequest(int64_t now_ms) {
    const auto other = static_cast<size_t>(below(static_cast<int64_t>(relays_.size())));
    const bool silent = relays_[other].stalled_until_ms > now_ms;
    if (silent && monitor_.reportUnanswered(std::to_string(other), now_ms)) {
      ++renewals_requested_;
      relays_[other].renewal_requested = true;
    }
  }

  const int64_t period_ms_;
  std::mt19937 random_;
  relay::RelayMonitor monitor_;
  std::vector<Relay> relays_;
  size_t renewals_requested_ = 0;
};

v1::RelayList relaysNamed(size_t from, size_t until) {
  v1::RelayList list;
  for (size_t i = from; i < until; ++i) {
    v1::RelayEntry& entry = *list.add_relays();
    entry.set_address("10." + std::to_string(i % 5) + "." + std::to_string(i / 250) + "." +
                      std::to_string(i % 250) + ":8227");
    entry.set_zone("zone-" + std::to_string(i % 5));
  }
  return list;
}

} // namespace

TEST_CASE("Half of the relays that lose power are detected within two seconds, and no others are") {
  constexpr int64_t kNever = 60'000;
  for (const size_t relays : {300, 1000, 2000}) {
    for (uint32_t seed = 1; seed <= 3; ++seed) {
      CAPTURE(relays);
      CAPTURE(seed);
      const size_t gone = relays / 5;
      SimulatedFleet fleet(relays, seed);
      fleet.run(gone, 5000, 12'000);
      const std::vector<int64_t> times = fleet.detectionTimes(gone, kNever);
      CHECK(times[gone / 2] <= 2000);
      CHECK(times[gone * 95 / 100] <= 4500);
      CHECK(fleet.falseDetections(gone) == 0);
      // A relay that is only late with an answer is asked for one renewal.
      CHECK(fleet.renewalsRequested() <= gone + relays);
    }
  }
}

TEST_CASE("An update of the list of a thousand relays takes a few bytes for each changed relay") {
  relay::RelayListHistory history;
  REQUIRE(history.set(relaysNamed(0, 1000), 1));
  CHECK_FALSE(history.set(relaysNamed(0, 1000), 2));
  REQUIRE(history.set(relaysNamed(200, 1000), 3));
  const v1::RelayListUpdate removal = history.updateFrom(1);
  CHECK(removal.ByteSizeLong() <= 2 * 200 + 50);
  REQUIRE(history.set(relaysNamed(0, 1000), 4));
  const v1::RelayListUpdate addition = history.updateFrom(3);
  CHECK(addition.ByteSizeLong() <= 12 * 200);
  CHECK(history.updateFrom(1).ByteSizeLong() <= 50);
}

TEST_CASE("After an update a relay's list equals the leader's") {
  std::mt19937 random(9);
  relay::RelayListHistory history;
  v1::RelayList relay_list;
  uint64_t version = 0;
  for (int step = 0; step < 200; ++step) {
    v1::RelayList list;
    for (size_t i = 0; i < 40; ++i) {
      if (random() % 4 != 0) {
        list.mutable_relays()->MergeFrom(relaysNamed(i, i + 1).relays());
      }
    }
    list.set_silent(random() % 3);
    history.set(list, ++version);
    if (random() % 3 == 0) {
      continue;
    }
    const auto applied = relay::applyUpdate(relay_list, history.updateFrom(relay_list.version()));
    REQUIRE_FALSE(isError(applied));
    relay_list = std::get<v1::RelayList>(applied);
    CHECK(relay_list.SerializeAsString() == history.newest().SerializeAsString());
  }
  v1::RelayListUpdate other;
  other.set_version(99);
  other.set_base_version(98);
  CHECK(isError(relay::applyUpdate(relay_list, other)));
  other.set_base_version(relay_list.version());
  other.add_removed(1000);
  CHECK(isError(relay::applyUpdate(relay_list, other)));
}

} // namespace workshatch::test
