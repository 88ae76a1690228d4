/// @file
/// Simulates the load pattern that token limits at slot owners address: prompts of mixed sizes at
/// model engines whose KV cache is full before their slots are. Each pattern also runs without
/// token limits, where owners count requests only, and compares what callers get.
#include <algorithm>
#include <cmath>
#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <numeric>
#include <random>
#include <string>
#include <vector>

#include <doctest/doctest.h>

#include "core/relay/runner_table.h"
#include "core/scheduling/placement.h"
#include "core/scheduling/slot_owner.h"
#include "core/scheduling/slot_usage.h"

namespace workshatch::test {

namespace {

constexpr uint32_t kSlots = 64;
constexpr uint64_t kKvCapacity = 464'628;
constexpr double kMinStepMs = 3.37;
constexpr double kTokensReadPerMs = 61.2;
constexpr uint32_t kTokensReadPerStep = 2048;
constexpr uint32_t kTokensPerEvent = 9;

/// A kind of prompts, with its rate per engine.
struct Kind {
  uint32_t prefix_tokens = 0;
  uint32_t own_tokens = 0;
  uint32_t events = 0;
  double per_s = 0;
  uint32_t objective_ms = 0;
  uint32_t priority = 0;
  uint64_t prefixes = 0;
};

/// One prompt, from its grant to its last event.
struct Prompt {
  size_t kind = 0;
  v1::PromptDemand demand;
  uint32_t output_tokens = 0;
  double arrived_ms = 0;
  size_t relay = 0;
  uint64_t claim = 0;
  uint32_t unread = 0;
  uint32_t generated = 0;
  double last_event_ms = 0;
  double first_event_ms = 0;
  double longest_pause_ms = 0;
};

/// An engine that processes its prompts in steps. Each step reads some prompt tokens, in the order
/// of arrival, and adds a token to the output of each prompt that is read. When the KV cache is
/// full, the newest prompt is preempted and read again later.
class StandInEngine {
public:
  using Callback = std::function<void(const Prompt&, bool ended)>;

  void add(Prompt prompt, double now_ms) {
    const bool kept = now_ms - lastUse(prompt) < kPrefixKeptMs;
    prompt.unread = prompt.demand.prompt_tokens() - prompt.demand.prefix_tokens() +
                    (kept ? 0 : prompt.demand.prefix_tokens() / kCopySpeed);
    prefix_used_ms_[prompt.demand.prefix()] = now_ms;
    waiting_.push_back(std::move(prompt));
  }

  /// Runs all steps that end by `until_ms`. @param report called at first events and ends
  void run(double until_ms, const Callback& report) {
    while (inProgress() != 0) {
      if (!in_step_) {
        fillBatch();
        step_end_ms_ = now_ms_ + readPrompts();
        in_step_ = true;
      }
      if (step_end_ms_ > until_ms) {
        return;
      }
      now_ms_ = step_end_ms_;
      in_step_ = false;
      generate(report);
    }
    now_ms_ = until_ms;
  }

  uint32_t inProgress() const { return static_cast<uint32_t>(batch_.size() + waiting_.size()); }
  int preempted() const { return preempted_; }

private:
  static constexpr double kPrefixKeptMs = 10'000;
  /// A prefix that the engine lacks is copied from another engine, this much faster than it is
  /// read.
  static constexpr uint32_t kCopySpeed = 8;

  double lastUse(const Prompt& prompt) const {
    const auto found = prefix_used_ms_.find(prompt.demand.prefix());
    return found == prefix_used_ms_.end() ? -kPrefixKeptMs : found->second;
  }

  uint64_t kvTokens() const {
    uint64_t tokens = 0;
    std::map<uint64_t, uint64_t> shared;
    for (const Prompt& prompt : batch_) {
      tokens += prompt.demand.prompt_tokens() - prompt.demand.prefix_tokens() + prompt.generated;
      shared[prompt.demand.prefix()] = prompt.demand.prefix_tokens();
    }
    for (const auto& [prefix, prefix_tokens] : shared) {
      tokens += prefix_tokens;
    }
    return tokens;
  }

  void fillBatch() {
    while (!waiting_.empty() && batch_.size() < kSlots) {
      batch_.push_back(std::move(waiting_.front()));
      waiting_.pop_front();
      if (kvTokens() > kKvCapacity && batch_.size() > 1) {
        waiting_.push_front(std::move(batch_.back()));
        batch_.pop_back();
        return;
      }
    }
  }

  /// @return the duration of the step.
  double readPrompts() {
    uint32_t left = kTokensReadPerStep;
    for (Prompt& prompt : batch_) {
      const uint32_t read = std::min(prompt.unread, left);
      prompt.unread -= read;
      left -= read;
    }
    return std::max(kMinStepMs, (kTokensReadPerStep - left) / kTokensReadPerMs);
  }

  void generate(const Callback& report) {
    for (Prompt& prompt : batch_) {
      if (prompt.unread != 0) {
        continue;
      }
      ++prompt.generated;
      const bool ended = prompt.generated >= prompt.output_tokens;
      if (prompt.generated % kTokensPerEvent == 0 || ended) {
        recordEvent(prompt, report);
      }
      if (ended) {
        report(prompt, true);
      }
    }
    std::erase_if(batch_,
                  [](const Prompt& prompt) { return prompt.generated >= prompt.output_tokens; });
    while (kvTokens() > kKvCapacity && batch_.size() > 1) {
      preempt();
    }
  }

  void recordEvent(Prompt& prompt, const Callback& report) {
    prefix_used_ms_[prompt.demand.prefix()] = now_ms_;
    if (prompt.first_event_ms == 0) {
      prompt.first_event_ms = now_ms_;
      report(prompt, false);
    } else {
      prompt.longest_pause_ms = std::max(prompt.longest_pause_ms, now_ms_ - prompt.last_event_ms);
    }
    prompt.last_event_ms = now_ms_;
  }

  void preempt() {
    ++preempted_;
    Prompt prompt = std::move(batch_.back());
    batch_.pop_back();
    prompt.unread =
        prompt.demand.prompt_tokens() - prompt.demand.prefix_tokens() + prompt.generated;
    waiting_.push_front(std::move(prompt));
  }

  double now_ms_ = 0;
  bool in_step_ = false;
  double step_end_ms_ = 0;
  std::deque<Prompt> batch_;
  std::deque<Prompt> waiting_;
  std::map<uint64_t, double> prefix_used_ms_;
  int preempted_ = 0;
};

/// What callers got.
struct Outcome {
  int preempted = 0;
  int in_time = 0;
  int late = 0;
  int refused = 0;
  double p99_first_ms = 0;
  /// Prompts of the most urgent kind that were late or refused.
  int urgent_not_in_time = 0;
};

/// Relays that send prompts to engines, all of which are owned by one slot owner.
class EngineFleet {
public:
  /// @param token_limits claims state the demand and its limits; false: owners count requests only
  EngineFleet(size_t engines, std::vector<Kind> kinds, bool token_limits)
      : kinds_(std::move(kinds)), token_limits_(token_limits), engines_(engines) {
    for (size_t i = 0; i < engines; ++i) {
      auto runner = std::make_shared<relay::Runner>();
      runner->entry.set_id("r" + std::to_string(i));
      runner->entry.set_slots(kSlots);
      runner->fingerprint = i + 1;
      runners_.push_back(std::move(runner));
    }
    for (size_t i = 0; i < kRelays; ++i) {
      usages_.emplace_back(1);
    }
  }

  Outcome run(int64_t for_ms) {
    std::vector<double> next_ms(kinds_.size(), 0);
    for (int64_t now_ms = 1; now_ms < for_ms; ++now_ms) {
      for (size_t i = 0; i < engines_.size(); ++i) {
        engines_[i].run(static_cast<double>(now_ms), [&](const Prompt& prompt, bool ended) {
          report(i, prompt, ended, now_ms);
        });
      }
      for (size_t kind = 0; kind < kinds_.size(); ++kind) {
        const double per_ms = kinds_[kind].per_s * static_cast<double>(engines_.size()) / 1000;
        while (next_ms[kind] <= static_cast<double>(now_ms)) {
          next_ms[kind] += std::exponential_distribution<double>(per_ms)(random_);
          request(kind, now_ms);
        }
      }
    }
    return summary();
  }

private:
  static constexpr size_t kRelays = 20;
  static constexpr uint32_t kPauseObjectiveMs = 500;

  /// Makes a prompt whose sizes vary: the shared part by a factor of three, the own part up to
  /// 11,000 tokens, and the output around its expectation.
  Prompt makePrompt(size_t kind, int64_t now_ms) {
    const Kind& properties = kinds_[kind];
    const uint64_t prefix = random_() % properties.prefixes;
    const double prefix_factor =
        0.5 + static_cast<double>(prefix) / static_cast<double>(properties.prefixes);
    const double own =
        properties.own_tokens * std::lognormal_distribution<double>(-0.3, 0.8)(random_);
    const double output_factor = std::lognormal_distribution<double>(0, 0.4)(random_);
    Prompt prompt{.kind = kind, .arrived_ms = static_cast<double>(now_ms)};
    prompt.demand.set_prefix(1 + prefix + 1000 * kind);
    prompt.demand.set_prefix_tokens(
        static_cast<uint32_t>(prefix_factor * properties.prefix_tokens));
    prompt.demand.set_prompt_tokens(prompt.demand.prefix_tokens() +
                                    static_cast<uint32_t>(std::clamp(own, 20.0, 11'000.0)));
    prompt.demand.set_output_tokens(properties.events * kTokensPerEvent);
    prompt.output_tokens =
        std::max(kTokensPerEvent,
                 static_cast<uint32_t>(output_factor * properties.events * kTokensPerEvent));
    prompt.relay = random_() % kRelays;
    return prompt;
  }

  /// The ranking of a prefix, the same at all relays.
  std::vector<std::shared_ptr<relay::Runner>> ranked(uint64_t prefix) const {
    auto ranking = runners_;
    std::shuffle(ranking.begin(), ranking.end(), std::mt19937_64(prefix));
    return ranking;
  }

  uint32_t inProgress() const {
    return std::accumulate(
        engines_.begin(), engines_.end(), 0U,
        [](uint32_t sum, const auto& engine) { return sum + engine.inProgress(); });
  }

  void request(size_t kind, int64_t now_ms) {
    Prompt prompt = makePrompt(kind, now_ms);
    const Kind& properties = kinds_[kind];
    const relay::RequestRank rank{.priority = properties.priority, .draw = random_()};
    const relay::RequestDemand demand{.prompt_tokens = prompt.demand.prompt_tokens(),
                                      .output_tokens = prompt.demand.output_tokens(),
                                      .source = relay::DemandSource::Told,
                                      .objective_ms = properties.objective_ms,
                                      .pause_objective_ms = kPauseObjectiveMs};
    const auto candidates = ranked(prompt.demand.prefix());
    const double slots_in_use = inProgress() / static_cast<double>(kSlots * engines_.size());
    relay::PlacementQuery query{.candidates = candidates,
                                .by_prompt = true,
                                .engine = true,
                                .busy = slots_in_use > relay::RunnerTableOptions{}.busy_fraction,
                                .rank = rank,
                                .now_ms = now_ms,
                                .cap_load = static_cast<uint32_t>(2 * kSlots * slots_in_use) + 3};
    if (token_limits_) {
      query.prompt_limits = relay::promptLimits({}, rank, kKvCapacity, demand);
    }
    while (const auto offer = relay::nextOffer({}, query)) {
      if (takeSlot(*offer, prompt, now_ms)) {
        engines_[offer->runner->fingerprint - 1].add(std::move(prompt),
                                                     static_cast<double>(now_ms));
        return;
      }
      ++query.refused;
    }
    ++outcome_.refused;
    outcome_.urgent_not_in_time += properties.priority == 0 ? 1 : 0;
  }

  bool takeSlot(const relay::SlotOffer& offer, Prompt& prompt, int64_t now_ms) {
    const uint64_t runner = offer.runner->fingerprint;
    relay::SlotUsage& usage = usages_[prompt.relay];
    v1::PlaceClaim claim;
    *claim.mutable_use() = usage.makeReport(runner, now_ms);
    claim.set_limit(offer.limit);
    claim.set_kv_limit(offer.prompt_limits.kv_limit);
    claim.set_start_within_ms(offer.prompt_limits.start_within_ms);
    if (token_limits_) {
      *claim.mutable_demand() = prompt.demand;
    }
    const auto decision = owner_.claim(std::to_string(prompt.relay), claim,
                                       relay::OwnedRunner{.listed = true, .service = "s"}, now_ms);
    offer.runner->others_in_progress = decision.load;
    if (decision.granted) {
      prompt.claim = claim.use().sequence();
      usage.add(runner);
      usage.addClaim(runner, prompt.claim);
    }
    return decision.granted;
  }

  /// Reports the first event or the end of a prompt to the owner.
  void report(size_t engine, const Prompt& prompt, bool ended, int64_t now_ms) {
    relay::SlotUsage& usage = usages_[prompt.relay];
    const uint64_t runner = engine + 1;
    if (ended) {
      usage.remove(runner);
      usage.removeClaim(runner, prompt.claim);
      recordEnd(prompt);
    } else {
      usage.recordFirstEvent(runner, prompt.claim);
    }
    owner_.recordUsage(std::to_string(prompt.relay), usage.makeReport(runner, now_ms), now_ms);
  }

  void recordEnd(const Prompt& prompt) {
    const Kind& properties = kinds_[prompt.kind];
    const double first_ms = prompt.first_event_ms - prompt.arrived_ms;
    const bool in_time =
        first_ms <= properties.objective_ms && prompt.longest_pause_ms <= kPauseObjectiveMs;
    ++(in_time ? outcome_.in_time : outcome_.late);
    outcome_.urgent_not_in_time += !in_time && properties.priority == 0 ? 1 : 0;
    first_event_ms_.push_back(first_ms);
  }

  Outcome summary() {
    for (const StandInEngine& engine : engines_) {
      outcome_.preempted += engine.preempted();
    }
    std::sort(first_event_ms_.begin(), first_event_ms_.end());
    outcome_.p99_first_ms = first_event_ms_.at(first_event_ms_.size() * 99 / 100);
    return outcome_;
  }

  const std::vector<Kind> kinds_;
  const bool token_limits_;
  std::mt19937_64 random_{23};
  std::vector<StandInEngine> engines_;
  std::vector<std::shared_ptr<relay::Runner>> runners_;
  std::vector<relay::SlotUsage> usages_;
  relay::SlotOwner owner_;
  Outcome outcome_;
  std::vector<double> first_event_ms_;
};

/// Long prompts, urgent short ones and short answers.
/// @param long_per_s, short_per_s rates of the long prompts and of the urgent ones per engine
std::vector<Kind> mixedPrompts(double long_per_s, double short_per_s, uint64_t long_prefixes) {
  return {Kind{.prefix_tokens = 10'512,
               .own_tokens = 1300,
               .events = 42,
               .per_s = long_per_s,
               .objective_ms = 1500,
               .priority = 1,
               .prefixes = long_prefixes},
          Kind{.prefix_tokens = 699,
               .own_tokens = 130,
               .events = 32,
               .per_s = short_per_s,
               .objective_ms = 400,
               .priority = 0,
               .prefixes = 20},
          Kind{.prefix_tokens = 2041,
               .own_tokens = 360,
               .events = 3,
               .per_s = short_per_s / 3,
               .objective_ms = 500,
               .priority = 1,
               .prefixes = 20}};
}

/// The outcomes of one load pattern under the token limits, and under the count of requests only.
struct Comparison {
  Outcome limited;
  Outcome counted;
};

std::string textOf(const Outcome& outcome) {
  return "preempted " + std::to_string(outcome.preempted) + ", in time " +
         std::to_string(outcome.in_time) + ", late " + std::to_string(outcome.late) + ", refused " +
         std::to_string(outcome.refused) + ", urgent not in time " +
         std::to_string(outcome.urgent_not_in_time) + ", 99th percentile of the first event " +
         std::to_string(std::lround(outcome.p99_first_ms)) + " ms";
}

Comparison compare(size_t engines, const std::vector<Kind>& kinds) {
  constexpr int64_t kRunMs = 30'000;
  const Comparison outcomes{.limited = EngineFleet(engines, kinds, true).run(kRunMs),
                            .counted = EngineFleet(engines, kinds, false).run(kRunMs)};
  MESSAGE("token limits: " << textOf(outcomes.limited));
  MESSAGE("count of requests: " << textOf(outcomes.counted));
  return outcomes;
}

} // namespace

// Guards against prompts that are granted a free slot although the KV cache is full: the engine
// preempts running requests, and urgent ones are late.
TEST_CASE(
    "An engine whose KV cache is full before its slots preempts nothing and is late less often") {
  const Comparison outcomes = compare(1, mixedPrompts(15, 5, 500));
  CHECK(outcomes.counted.preempted > 10);
  CHECK(outcomes.limited.preempted == 0);
  CHECK(outcomes.limited.in_time > outcomes.counted.in_time);
  CHECK(5 * outcomes.limited.late < outcomes.counted.late);
  CHECK(outcomes.limited.refused < 2 * outcomes.counted.refused);
  CHECK(5 * outcomes.limited.urgent_not_in_time < outcomes.counted.urgent_not_in_time);
  CHECK(outcomes.limited.p99_first_ms < 0.6 * outcomes.counted.p99_first_ms);
}

// Guards against overload in which engines admit more prompts than they can process in time, so
// that most are late.
TEST_CASE("A dozen engines over their capacity serve more prompts in time and refuse fewer") {
  const Comparison outcomes = compare(12, mixedPrompts(15, 13.5, 2400));
  CHECK(outcomes.counted.preempted > 50);
  CHECK(outcomes.limited.preempted == 0);
  CHECK(outcomes.limited.in_time > outcomes.counted.in_time);
  CHECK(10 * outcomes.limited.late < outcomes.counted.late);
  CHECK(outcomes.limited.refused <= outcomes.counted.refused);
  CHECK(2 * outcomes.limited.urgent_not_in_time < outcomes.counted.urgent_not_in_time);
  CHECK(outcomes.limited.p99_first_ms < 0.5 * outcomes.counted.p99_first_ms);
}

// Guards against token limits that refuse prompts while there is room for them.
TEST_CASE("A dozen engines below their capacity refuse nothing because of token limits") {
  const Comparison outcomes = compare(12, mixedPrompts(5, 4.5, 2400));
  CHECK(outcomes.limited.refused == 0);
  CHECK(outcomes.limited.late == 0);
  CHECK(outcomes.limited.in_time == outcomes.counted.in_time);
}

} // namespace workshatch::test
