/// @file
/// Simulation of relays, runners and the leader for prompts with parts that crash runners.
#pragma once

#include <algorithm>
#include <cstdint>
#include <map>
#include <random>
#include <set>
#include <string>
#include <vector>

#include "core/relay/part_crash_counts.h"
#include "core/relay/request_identity.h"
#include "core/relay/runner_crash_monitor.h"
#include "core/relay/sound_parts.h"

namespace workshatch::test {

/// One simulated day. Rates are per second over the whole fleet.
struct PartCrashScenario {
  size_t relays = 12;
  size_t runners = 12;
  double sound_rate = 66;
  /// Rate of the prompts with each crashing part.
  double crashing_rate = 1;
  /// Number of crashing parts, and their position among the three shared parts of their prompts.
  size_t crashing_parts = 1;
  size_t position = 1;
  /// Period of crashes that no part causes, of `wave_share` of all runners each; zero: none.
  int64_t wave_period_ms = 0;
  double wave_share = 0;
  /// When the leader is replaced by one that knows nothing; zero: never.
  int64_t new_leader_at_ms = 0;
  int64_t duration_ms = 20'000;
};

/// Steps of 5 ms. Arrivals, waits, and the relay and runner of each prompt are random by the seed.
class PartCrashSimulation {
public:
  PartCrashSimulation(const PartCrashScenario& scenario, uint64_t seed)
      : scenario_(scenario), random_(seed), relays_(scenario.relays), runners_(scenario.runners) {
    leader_.beginTerm(-10'000);
    for (size_t i = 0; i < relays_.size(); ++i) {
      relays_[i].next_renewal_ms = static_cast<int64_t>(below(renewalPeriodMs()));
    }
  }

  void run() {
    for (now_ms_ = 1000; now_ms_ < 1000 + scenario_.duration_ms; now_ms_ += kStepMs) {
      if (scenario_.new_leader_at_ms != 0 && now_ms_ == 1000 + scenario_.new_leader_at_ms) {
        replaceLeader();
      }
      startRunners();
      crashWave();
      arrive();
      progress();
      renew();
    }
  }

  /// Sound parts that were put into quarantine at any time.
  const std::set<uint64_t>& soundBlamed() const { return sound_blamed_; }
  /// Prompts with a crashing part that reached runners later than 3 s after its fifth crash.
  size_t lateArrivals() const {
    constexpr size_t kFifth = 4;
    constexpr int64_t kBoundMs = 3000;
    size_t late = 0;
    for (const auto& [part, crashes] : crashes_) {
      if (crashes.size() <= kFifth) {
        continue;
      }
      const int64_t bound_ms = crashes[kFifth] + kBoundMs;
      const auto& arrivals = arrivals_.at(part);
      late += static_cast<size_t>(std::count_if(arrivals.begin(), arrivals.end(),
                                                [bound_ms](int64_t ms) { return ms > bound_ms; }));
    }
    return late;
  }
  size_t crashesByParts() const {
    size_t crashes = 0;
    for (const auto& [part, times] : crashes_) {
      crashes += times.size();
    }
    return crashes;
  }
  size_t crashingPartsFound() const { return found_.size(); }

private:
  static constexpr int64_t kStepMs = 5;
  static constexpr int64_t kDownMs = 3000;
  static constexpr uint64_t kFirstParts = 4;
  static constexpr uint64_t kSecondParts = 90;
  static constexpr uint64_t kThirdParts = 300;
  static constexpr uint64_t kCrashingPart = 1'000'000;

  struct Prompt {
    std::vector<uint64_t> parts;
    uint64_t crashing_part = 0;
    size_t relay = 0;
    uint64_t content = 0;
    int64_t begins_ms = 0;
    int64_t ends_ms = 0;
    bool proven = false;
    bool retried = false;
  };
  struct Runner {
    uint64_t id = 0;
    int64_t up_at_ms = 0;
    std::vector<Prompt> prompts;
  };
  struct Relay {
    relay::RunnerCrashMonitor monitor;
    relay::SoundParts sound_parts;
    int64_t next_renewal_ms = 0;
    bool first_on_link = true;
  };

  uint64_t below(uint64_t limit) { return random_() % limit; }
  bool happens(double rate) {
    constexpr double kStepsPerSecond = 200;
    constexpr uint64_t kDraws = 1'000'000;
    return static_cast<double>(below(kDraws)) < rate / kStepsPerSecond * kDraws;
  }
  uint64_t renewalPeriodMs() const { return std::max<uint64_t>(100, 3 * scenario_.relays); }
  bool inQuarantine(const Prompt& prompt) const {
    return std::any_of(prompt.parts.begin(), prompt.parts.end(),
                       [&](uint64_t part) { return quarantined_.contains(part); });
  }

  void replaceLeader() {
    leader_ = relay::PartCrashCounts();
    leader_.setQuarantine(list_);
    leader_.beginTerm(now_ms_);
    for (Relay& relay : relays_) {
      relay.first_on_link = true;
      // Each relay renews on its new link within a second.
      relay.next_renewal_ms = now_ms_ + static_cast<int64_t>(below(1000));
    }
  }

  void startRunners() {
    for (Runner& runner : runners_) {
      if (runner.id == 0 || (runner.up_at_ms != 0 && now_ms_ >= runner.up_at_ms)) {
        runner.id = ++last_runner_id_;
        runner.up_at_ms = 0;
      }
    }
  }

  void crashWave() {
    if (scenario_.wave_period_ms == 0 || now_ms_ % scenario_.wave_period_ms != 0) {
      return;
    }
    const auto count =
        static_cast<size_t>(scenario_.wave_share * static_cast<double>(runners_.size()));
    for (size_t i = 0; i < count; ++i) {
      crash(runners_[below(runners_.size())]);
    }
  }

  Prompt newPrompt() {
    Prompt prompt;
    const uint64_t first = below(kFirstParts);
    const uint64_t second = first * kSecondParts + below(kSecondParts / kFirstParts);
    prompt.parts = {1 + first, 1000 + second, 10'000 + below(kThirdParts)};
    prompt.relay = below(relays_.size());
    prompt.content = ++last_content_;
    return prompt;
  }

  void arrive() {
    constexpr int kArrivalsPerStep = 8;
    for (int i = 0; i < kArrivalsPerStep; ++i) {
      if (happens(scenario_.sound_rate / kArrivalsPerStep)) {
        send(newPrompt());
      }
    }
    for (size_t i = 0; i < scenario_.crashing_parts; ++i) {
      if (happens(scenario_.crashing_rate)) {
        Prompt prompt = newPrompt();
        prompt.crashing_part = kCrashingPart + i;
        prompt.parts[scenario_.position] = prompt.crashing_part;
        send(std::move(prompt));
      }
    }
  }

  void send(Prompt prompt) {
    Runner& runner = runners_[below(runners_.size())];
    if (runner.up_at_ms != 0 || inQuarantine(prompt)) {
      return;
    }
    if (prompt.crashing_part != 0) {
      arrivals_[prompt.crashing_part].push_back(now_ms_);
    }
    prompt.begins_ms = now_ms_ + 50 + static_cast<int64_t>(below(300));
    prompt.ends_ms = prompt.begins_ms + 50 + static_cast<int64_t>(below(1500));
    runner.prompts.push_back(std::move(prompt));
  }

  void progress() {
    for (Runner& runner : runners_) {
      const bool crashes =
          std::any_of(runner.prompts.begin(), runner.prompts.end(), [&](const Prompt& prompt) {
            return prompt.crashing_part != 0 && now_ms_ >= prompt.begins_ms;
          });
      for (const Prompt& prompt : runner.prompts) {
        if (prompt.crashing_part != 0 && now_ms_ >= prompt.begins_ms) {
          crashes_[prompt.crashing_part].push_back(now_ms_);
          break;
        }
      }
      if (crashes) {
        crash(runner);
        continue;
      }
      std::erase_if(runner.prompts, [&](Prompt& prompt) { return advance(prompt); });
    }
  }

  /// @return whether the prompt has ended.
  bool advance(Prompt& prompt) {
    const bool whole = now_ms_ >= prompt.ends_ms;
    const bool proves = whole || now_ms_ - prompt.begins_ms >= relay::kAnswerProvenMs;
    if (proves && !std::exchange(prompt.proven, true)) {
      Relay& relay = relays_[prompt.relay];
      if (relay.sound_parts.record(prompt.parts, prompt.begins_ms)) {
        relay.next_renewal_ms = now_ms_ + kStepMs;
      }
    }
    return whole || inQuarantineBeforeAnswer(prompt);
  }
  bool inQuarantineBeforeAnswer(const Prompt& prompt) const {
    return now_ms_ < prompt.begins_ms && inQuarantine(prompt);
  }

  void crash(Runner& runner) {
    if (runner.up_at_ms != 0) {
      return;
    }
    runner.up_at_ms = now_ms_ + kDownMs;
    std::vector<Prompt> cut = std::exchange(runner.prompts, {});
    for (Prompt& prompt : cut) {
      Relay& relay = relays_[prompt.relay];
      const bool proven = now_ms_ - prompt.begins_ms >= relay::kAnswerProvenMs;
      relay.monitor.recordDisconnect(runner.id,
                                     {.request = {.caller = 1, .content = prompt.content},
                                      .parts = proven ? std::vector<uint64_t>() : prompt.parts},
                                     now_ms_);
      if (relay.monitor.recordConnectionRefused(runner.id, now_ms_)) {
        relay.next_renewal_ms = now_ms_ + kStepMs * (1 + static_cast<int64_t>(below(6)));
      }
      if (!std::exchange(prompt.retried, true)) {
        prompt.relay = below(relays_.size());
        send(std::move(prompt));
      }
    }
  }

  void renew() {
    for (Relay& relay : relays_) {
      if (now_ms_ < relay.next_renewal_ms) {
        continue;
      }
      relay.next_renewal_ms = now_ms_ + static_cast<int64_t>(renewalPeriodMs());
      v1::LeaseRenewal renewal;
      relay.monitor.fill(renewal, relay.first_on_link, now_ms_);
      relay.sound_parts.fill(renewal, relay.first_on_link, now_ms_);
      relay.first_on_link = false;
      leader_.addReport(renewal, now_ms_);
    }
    obey(leader_.dueOrders(now_ms_, static_cast<uint64_t>(now_ms_)));
    if (leader_.takeSuspectsChanged()) {
      for (Relay& relay : relays_) {
        if (relay.sound_parts.setSuspects(leader_.suspects(), now_ms_)) {
          relay.next_renewal_ms = now_ms_ + kStepMs;
        }
      }
    }
  }

  void obey(const std::vector<v1::QuarantineOrder>& orders) {
    for (const v1::QuarantineOrder& order : orders) {
      const uint64_t part = order.request().request().content();
      auto* entries = list_.mutable_requests();
      if (order.begin()) {
        quarantined_.insert(part);
        *entries->Add() = order.request();
        (part >= kCrashingPart ? found_ : sound_blamed_).insert(part);
      } else {
        quarantined_.erase(part);
        entries->erase(std::remove_if(entries->begin(), entries->end(),
                                      [&](const v1::QuarantinedRequest& entry) {
                                        return entry.request().content() == part;
                                      }),
                       entries->end());
      }
    }
    if (!orders.empty()) {
      leader_.setQuarantine(list_);
    }
  }

  const PartCrashScenario scenario_;
  std::mt19937_64 random_;
  relay::PartCrashCounts leader_;
  std::vector<Relay> relays_;
  std::vector<Runner> runners_;
  v1::QuarantineList list_;
  std::set<uint64_t> quarantined_;
  std::set<uint64_t> sound_blamed_;
  std::set<uint64_t> found_;
  /// By crashing part.
  std::map<uint64_t, std::vector<int64_t>> crashes_;
  std::map<uint64_t, std::vector<int64_t>> arrivals_;
  int64_t now_ms_ = 0;
  uint64_t last_runner_id_ = 0;
  uint64_t last_content_ = 0;
};

} // namespace workshatch::test
