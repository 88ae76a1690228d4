/// @file
/// How soon a relay that is gone is known to be, replayed for a thousand relays; and what the
/// others are told then.
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

/// Relays that renew, ask one another, and sometimes stand still for a moment.
class WatchedFleet {
public:
  WatchedFleet(size_t relays, uint32_t seed)
      : period_ms_(relay::renewalPeriodForFleetMs(relay::kRenewalPeriodMs, relays)), random_(seed),
        relays_(relays) {
    for (Relay& relay : relays_) {
      relay.next_renewal_ms = below(period_ms_);
    }
  }

  /// @param gone relays that lose power; @param from_ms when
  void play(size_t gone, int64_t from_ms, int64_t until_ms) {
    for (int64_t now_ms = 0; now_ms < until_ms; now_ms += kStepMs) {
      for (size_t i = 0; i < relays_.size(); ++i) {
        step(i, i < gone && now_ms >= from_ms, now_ms);
      }
      if (now_ms % kRefreshMs != 0) {
        continue;
      }
      for (const std::string& name : watch_.takeSilent(period_ms_, now_ms)) {
        Relay& relay = relays_[std::stoul(name)];
        relay.dropped_ms = relay.dropped_ms < 0 ? now_ms - from_ms : relay.dropped_ms;
      }
    }
  }

  /// Milliseconds until the relays that are gone were known to be, the quickest first; those never
  /// known count as `never`.
  std::vector<int64_t> timesToKnow(size_t gone, int64_t never) const {
    std::vector<int64_t> times;
    for (size_t i = 0; i < gone; ++i) {
      times.push_back(relays_[i].dropped_ms < 0 ? never : relays_[i].dropped_ms);
    }
    std::sort(times.begin(), times.end());
    return times;
  }
  size_t wronglyDropped(size_t gone) const {
    return static_cast<size_t>(
        std::count_if(relays_.begin() + static_cast<ptrdiff_t>(gone), relays_.end(),
                      [](const Relay& relay) { return relay.dropped_ms >= 0; }));
  }
  size_t asked() const { return asked_; }

private:
  static constexpr int64_t kStepMs = 10;
  static constexpr int64_t kRefreshMs = 300;
  /// Questions of a relay to others in a second.
  static constexpr double kAsksPerSecond = 2;
  /// A relay stands still for some 200 ms, once in ten seconds.
  static constexpr int64_t kStallMs = 200;
  static constexpr int64_t kBetweenStallsMs = 10'000;

  struct Relay {
    int64_t next_renewal_ms = 0;
    int64_t stalled_until_ms = 0;
    int64_t dropped_ms = -1;
    bool asked_to_renew = false;
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
    if (now_ms >= relay.next_renewal_ms || relay.asked_to_renew) {
      relay.asked_to_renew = false;
      relay.next_renewal_ms = now_ms + period_ms_;
      watch_.recordRenewal(std::to_string(number), now_ms);
    }
    if (std::bernoulli_distribution(kAsksPerSecond * kStepMs / 1000)(random_)) {
      askAnother(now_ms);
    }
  }

  void askAnother(int64_t now_ms) {
    const auto other = static_cast<size_t>(below(static_cast<int64_t>(relays_.size())));
    const bool silent = relays_[other].stalled_until_ms > now_ms;
    if (silent && watch_.reportUnanswered(std::to_string(other), now_ms)) {
      ++asked_;
      relays_[other].asked_to_renew = true;
    }
  }

  const int64_t period_ms_;
  std::mt19937 random_;
  relay::RelayMonitor watch_;
  std::vector<Relay> relays_;
  size_t asked_ = 0;
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

TEST_CASE("Relays that lose power are known within two seconds among a thousand, and no others") {
  constexpr int64_t kNever = 60'000;
  for (const size_t relays : {300, 1000, 2000}) {
    for (uint32_t seed = 1; seed <= 3; ++seed) {
      CAPTURE(relays);
      CAPTURE(seed);
      const size_t gone = relays / 5;
      WatchedFleet fleet(relays, seed);
      fleet.play(gone, 5000, 12'000);
      const std::vector<int64_t> times = fleet.timesToKnow(gone, kNever);
      CHECK(times[gone / 2] <= 2000);
      CHECK(times[gone * 95 / 100] <= 4500);
      CHECK(fleet.wronglyDropped(gone) == 0);
      // A question to a relay that answers another late costs one renewal.
      CHECK(fleet.asked() <= gone + relays);
    }
  }
}

TEST_CASE(
    "A change of the list of a thousand relays travels in a few bytes for each that changed") {
  relay::RelayListHistory history;
  REQUIRE(history.set(relaysNamed(0, 1000), 1));
  CHECK_FALSE(history.set(relaysNamed(0, 1000), 2));
  REQUIRE(history.set(relaysNamed(200, 1000), 3));
  const v1::RelayListUpdate went = history.updateFrom(1);
  CHECK(went.ByteSizeLong() <= 2 * 200 + 50);
  REQUIRE(history.set(relaysNamed(0, 1000), 4));
  const v1::RelayListUpdate came = history.updateFrom(3);
  CHECK(came.ByteSizeLong() <= 12 * 200);
  CHECK(history.updateFrom(1).ByteSizeLong() <= 50);
}

TEST_CASE("Lists of relays after updates are those that the leader has") {
  std::mt19937 random(9);
  relay::RelayListHistory history;
  v1::RelayList held;
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
    const auto applied = relay::applyUpdate(held, history.updateFrom(held.version()));
    REQUIRE_FALSE(isError(applied));
    held = std::get<v1::RelayList>(applied);
    CHECK(held.SerializeAsString() == history.newest().SerializeAsString());
  }
  v1::RelayListUpdate other;
  other.set_version(99);
  other.set_base_version(98);
  CHECK(isError(relay::applyUpdate(held, other)));
  other.set_base_version(held.version());
  other.add_removed(1000);
  CHECK(isError(relay::applyUpdate(held, other)));
}

} // namespace workshatch::test
