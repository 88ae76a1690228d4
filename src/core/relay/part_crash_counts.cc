#include "core/relay/part_crash_counts.h"

#include <algorithm>
#include <cmath>
#include <cstdlib>
#include <iterator>
#include <utility>

#include "core/relay/request_identity.h"
#include "core/relay/runner_crash_times.h"

namespace workshatch::relay {

namespace {

/// Reports of one crash by several relays arrive this close together: the delay from a relay to the
/// leader, plus the probe of the runner's address. A new process takes longer to start and to
/// answer.
constexpr int64_t kSameCrashMs = 1000;
/// Crashes of several runners within this time are one wave: machines that fail together do so at
/// the same moment.
constexpr int64_t kWaveMs = 100;
/// Time within which all relays that saw a crash have reported it.
constexpr int64_t kReportsCompleteMs = 60;
/// Time within which relays have told that a part is sound: prompts with it are answered elsewhere
/// meanwhile. The second one is for parts against which there is less evidence.
constexpr int64_t kAnswersCompleteMs = 800;
constexpr int64_t kMoreAnswersCompleteMs = 2000;
/// Number of waves over which crashes must be spread that count less.
constexpr size_t kWaves = 3;
/// What a wave counts at most.
constexpr double kMaxOfWave = 2;
/// Probability above which the presence of a part at its crashes may be chance; and if it was not
/// answered for `kMoreAnswersCompleteMs`.
constexpr double kMaxChance = 0.001;
constexpr double kMaxChanceIfUnanswered = 0.0005;
/// For the estimate of a part's share of the prompts: number of prompts that are assumed beside
/// those seen, and how many of them have a part that was not seen in any.
constexpr double kPromptsAssumed = 20;
constexpr double kPromptsOfUnseen = 1;
/// Time within which all relays have reported their crashes to a new leader.
constexpr int64_t kReportedAgainMs = 1500;
/// Time after which an order that has not taken effect is given again.
constexpr int64_t kOrderRetryMs = 500;
/// Minimum time between two evaluations of reports.
constexpr int64_t kEvaluationPeriodMs = 20;
/// Period of evaluations while there are neither reports nor suspects.
constexpr int64_t kCheckPeriodMs = 100;
constexpr size_t kMaxCrashes = 256;
constexpr size_t kMaxPromptsOfCrash = 64;
constexpr size_t kMaxSuspects = 32;
constexpr size_t kMaxSoundParts = 4096;
/// Allows for the rounding of sums of fractions.
constexpr double kTolerance = 1e-6;

bool contains(const std::vector<uint64_t>& prompt, uint64_t part) {
  return std::find(prompt.begin(), prompt.end(), part) != prompt.end();
}

} // namespace

void PartCrashCounts::beginTerm(int64_t now_ms) {
  term_began_ms_ = now_ms;
  // The suspects of another term were told on other links.
  asked_ms_.clear();
  suspects_.clear_parts();
  suspects_changed_ = false;
}

void PartCrashCounts::addReport(const v1::LeaseRenewal& renewal, int64_t now_ms) {
  for (const v1::SoundPart& sound : renewal.sound_parts()) {
    if (sound_ms_.size() >= kMaxSoundParts && !sound_ms_.contains(sound.part())) {
      continue;
    }
    int64_t& began_ms = sound_ms_[sound.part()];
    began_ms = std::max(began_ms, now_ms - static_cast<int64_t>(sound.age_ms()));
    has_news_ = true;
  }
  for (const v1::RunnerEnd& report : renewal.runner_ends()) {
    addCrash(report, now_ms);
  }
}

/// @return the reported crash, added if it was not reported before.
PartCrashCounts::Crash& PartCrashCounts::crashFor(uint64_t runner, int64_t crashed_ms) {
  const auto known = std::find_if(crashes_.begin(), crashes_.end(), [&](const Crash& crash) {
    return crash.runner == runner && std::abs(crash.crashed_ms - crashed_ms) < kSameCrashMs;
  });
  if (known != crashes_.end()) {
    return *known;
  }
  if (crashes_.size() >= kMaxCrashes) {
    crashes_.erase(crashes_.begin());
  }
  const auto position = std::upper_bound(
      crashes_.begin(), crashes_.end(), crashed_ms,
      [](int64_t time_ms, const Crash& crash) { return time_ms < crash.crashed_ms; });
  return *crashes_.insert(position, Crash{.runner = runner, .crashed_ms = crashed_ms});
}

void PartCrashCounts::addCrash(const v1::RunnerEnd& report, int64_t now_ms) {
  if (report.parts().empty() || report.age_ms() >= kCrashWindowMs) {
    return;
  }
  Crash& crash = crashFor(report.runner(), now_ms - report.age_ms());
  if (crash.prompts.size() >= kMaxPromptsOfCrash) {
    return;
  }
  if (crash.prompts.emplace(report.parts().begin(), report.parts().end()).second) {
    last_report_ms_ = now_ms;
    has_news_ = true;
  }
}

void PartCrashCounts::setQuarantine(const v1::QuarantineList& list) {
  quarantined_.clear();
  ordered_ms_.clear();
  for (const v1::QuarantinedRequest& entry : list.requests()) {
    const RequestIdentity identity = identityOf(entry.request());
    if (isPart(identity)) {
      quarantined_[identity.content] = entry;
    }
  }
  has_news_ = true;
}

void PartCrashCounts::dropExpired(int64_t now_ms) {
  std::erase_if(crashes_,
                [&](const Crash& crash) { return now_ms - crash.crashed_ms >= kCrashWindowMs; });
  std::erase_if(sound_ms_,
                [&](const auto& entry) { return now_ms - entry.second >= kCrashWindowMs; });
  std::erase_if(ordered_ms_,
                [&](const auto& entry) { return now_ms - entry.second >= kOrderRetryMs; });
}

/// Assigns the crashes to waves.
void PartCrashCounts::findWaves() {
  wave_sizes_.clear();
  int64_t wave_began_ms = 0;
  for (Crash& crash : crashes_) {
    if (wave_sizes_.empty() || crash.crashed_ms - wave_began_ms >= kWaveMs) {
      wave_sizes_.push_back(0);
      wave_began_ms = crash.crashed_ms;
    }
    crash.wave = wave_sizes_.size() - 1;
    wave_sizes_.back() += isExplained(crash) ? 0 : 1;
  }
}

bool PartCrashCounts::hasQuarantined(const Prompt& prompt) const {
  return std::any_of(prompt.begin(), prompt.end(),
                     [&](uint64_t part) { return isQuarantined(part); });
}

bool PartCrashCounts::isExplained(const Crash& crash) const {
  return std::any_of(crash.prompts.begin(), crash.prompts.end(),
                     [&](const Prompt& prompt) { return hasQuarantined(prompt); });
}

/// @return for each part in quarantine the parts that were in all prompts with it at crashes.
std::map<uint64_t, std::set<uint64_t>> PartCrashCounts::companionsOfQuarantined() const {
  std::map<uint64_t, std::set<uint64_t>> companions;
  for (const Crash& crash : crashes_) {
    for (const Prompt& prompt : crash.prompts) {
      const std::set<uint64_t> parts(prompt.begin(), prompt.end());
      for (const uint64_t part : parts) {
        if (!isQuarantined(part)) {
          continue;
        }
        const auto [known, added] = companions.try_emplace(part, parts);
        if (!added) {
          std::erase_if(known->second, [&](uint64_t other) { return !parts.contains(other); });
        }
      }
    }
  }
  return companions;
}

PartCrashCounts::EvidenceByPart PartCrashCounts::collectEvidence() const {
  EvidenceByPart evidence;
  const auto companions = companionsOfQuarantined();
  for (size_t i = 0; i < crashes_.size(); ++i) {
    const Crash& crash = crashes_[i];
    const bool explained = isExplained(crash);
    for (const Prompt& prompt : crash.prompts) {
      if (explained && !hasQuarantined(prompt)) {
        continue;
      }
      for (const uint64_t part : prompt) {
        const auto sound = sound_ms_.find(part);
        const bool answered = sound != sound_ms_.end() && sound->second > crash.crashed_ms;
        const bool explained_by_other =
            std::any_of(prompt.begin(), prompt.end(), [&](uint64_t other) {
              return isQuarantined(other) && !companions.at(other).contains(part);
            });
        if (answered || explained_by_other) {
          continue;
        }
        Evidence& found = evidence[part];
        if (found.crashes.empty() || found.crashes.back() != i) {
          found.crashes.push_back(i);
        }
        found.prompts.emplace(i, prompt);
      }
    }
  }
  return evidence;
}

PartCrashCounts::CrashesSince PartCrashCounts::crashesSinceFirst(const Evidence& evidence) const {
  CrashesSince since;
  size_t next = 0;
  for (size_t i = evidence.crashes.front(); i < crashes_.size(); ++i) {
    const bool present = next < evidence.crashes.size() && evidence.crashes[next] == i;
    next += present ? 1 : 0;
    if (present || !isExplained(crashes_[i])) {
      ++since.crashes;
      since.prompts += crashes_[i].prompts.size();
    }
  }
  return since;
}

/// @return the probability that a sound part is present at as many of the crashes as this one. Its
/// share of the prompts is estimated from those at the crashes, without the one at each that would
/// have caused it.
double PartCrashCounts::chanceOf(const Evidence& evidence, const CrashesSince& since) {
  const auto present = static_cast<double>(evidence.crashes.size());
  const auto all = static_cast<double>(since.crashes);
  const auto prompts = static_cast<double>(since.prompts);
  const double others = static_cast<double>(evidence.prompts.size()) - present;
  const double share = (others + kPromptsOfUnseen) / (prompts - present + kPromptsAssumed);
  const double at_one = 1 - std::pow(1 - std::min(share, 1.0), prompts / all);
  // The upper tail of the binomial distribution.
  double chance = 0;
  for (double count = present; count <= all; ++count) {
    const double ways =
        std::lgamma(all + 1) - std::lgamma(count + 1) - std::lgamma(all - count + 1);
    chance += std::exp(ways) * std::pow(at_one, count) * std::pow(1 - at_one, all - count);
  }
  return chance;
}

/// Sets when the crashes were enough evidence, if they are.
void PartCrashCounts::weigh(Evidence& evidence) const {
  const CrashesSince since = crashesSinceFirst(evidence);
  const bool at_all = since.crashes == evidence.crashes.size();
  const double needed = at_all ? kCrashesIfAtAll : static_cast<double>(kCrashes);
  const double chance = chanceOf(evidence, since);
  double count = 0;
  size_t crashes = 0;
  size_t waves = 0;
  for (size_t i = 0; i < evidence.crashes.size();) {
    const size_t wave = crashes_[evidence.crashes[i]].wave;
    size_t in_wave = 0;
    int64_t last_ms = 0;
    for (; i < evidence.crashes.size() && crashes_[evidence.crashes[i]].wave == wave; ++i) {
      ++in_wave;
      last_ms = crashes_[evidence.crashes[i]].crashed_ms;
    }
    const size_t size = std::max(wave_sizes_[wave], in_wave);
    count += in_wave == size ? std::min(kMaxOfWave, static_cast<double>(size))
                             : static_cast<double>(in_wave) / static_cast<double>(size);
    crashes += in_wave;
    ++waves;
    if (!evidence.enough_ms && chance <= kMaxChance && count >= needed - kTolerance) {
      evidence.enough_ms = last_ms;
    }
    if (!evidence.many_ms && chance <= kMaxChanceIfUnanswered && crashes >= kCrashes &&
        waves >= kWaves) {
      evidence.many_ms = last_ms;
    }
  }
}

/// @return whether `other` is a better explanation of the crashes at which `part` was present, or
/// as good a one that cannot be told apart.
bool PartCrashCounts::explainsBetter(uint64_t other, const Evidence& by_other, uint64_t part,
                                     const Evidence& by_part) {
  const auto& crashes = by_part.crashes;
  const auto& others = by_other.crashes;
  if (!std::includes(others.begin(), others.end(), crashes.begin(), crashes.end())) {
    return false;
  }
  if (others.size() > crashes.size()) {
    return true;
  }
  const bool only_with_other = std::includes(by_other.prompts.begin(), by_other.prompts.end(),
                                             by_part.prompts.begin(), by_part.prompts.end());
  const bool other_only_with = std::includes(by_part.prompts.begin(), by_part.prompts.end(),
                                             by_other.prompts.begin(), by_other.prompts.end());
  if (only_with_other && other_only_with) {
    const Prompt& prompt = by_part.prompts.begin()->second;
    return std::find(prompt.begin(), prompt.end(), other) >
           std::find(prompt.begin(), prompt.end(), part);
  }
  return !only_with_other;
}

bool PartCrashCounts::isBestExplanation(uint64_t part, const EvidenceByPart& evidence) {
  const Evidence& by_part = evidence.at(part);
  return std::none_of(evidence.begin(), evidence.end(), [&](const auto& entry) {
    return entry.first != part && explainsBetter(entry.first, entry.second, part, by_part);
  });
}

/// @return whether there is enough evidence against the part, and time for evidence for it.
bool PartCrashCounts::mayBeJudged(uint64_t part, const Evidence& evidence, int64_t now_ms) const {
  const auto asked = asked_ms_.find(part);
  if (asked == asked_ms_.end() || now_ms - last_report_ms_ < kReportsCompleteMs ||
      now_ms - term_began_ms_ < kReportedAgainMs) {
    return false;
  }
  const auto passed = [&](const std::optional<int64_t>& since_ms, int64_t limit_ms) {
    return since_ms && now_ms - std::max(*since_ms, asked->second) >= limit_ms;
  };
  return passed(evidence.enough_ms, kAnswersCompleteMs) ||
         passed(evidence.many_ms, kMoreAnswersCompleteMs);
}

/// Updates the parts about which relays are asked: those present at several crashes, and those in
/// quarantine, which an answer that was under way may clear.
void PartCrashCounts::updateSuspects(const EvidenceByPart& evidence, int64_t now_ms) {
  std::vector<std::pair<size_t, uint64_t>> ranked;
  for (const auto& [part, found] : evidence) {
    if (found.crashes.size() >= kCrashesToAsk) {
      ranked.emplace_back(found.crashes.size(), part);
    }
  }
  std::sort(ranked.rbegin(), ranked.rend());
  ranked.resize(std::min(ranked.size(), kMaxSuspects));
  std::map<uint64_t, int64_t> asked;
  v1::SuspectedParts suspects;
  for (const auto& [crashes, part] : ranked) {
    const auto known = asked_ms_.find(part);
    asked[part] = known == asked_ms_.end() ? now_ms : known->second;
    v1::SuspectedPart* suspect = suspects.add_parts();
    suspect->set_part(part);
    const int64_t first_ms = crashes_[evidence.at(part).crashes.front()].crashed_ms;
    suspect->set_age_ms(static_cast<uint32_t>(now_ms - first_ms));
  }
  const bool same =
      std::equal(asked.begin(), asked.end(), asked_ms_.begin(), asked_ms_.end(),
                 [](const auto& left, const auto& right) { return left.first == right.first; });
  if (same) {
    return;
  }
  suspects.set_version(suspects_.version() + 1);
  suspects_ = std::move(suspects);
  asked_ms_ = std::move(asked);
  suspects_changed_ = true;
}

bool PartCrashCounts::takeSuspectsChanged() { return std::exchange(suspects_changed_, false); }

/// @return whether a runner crashed under a prompt with the part at this time or later.
bool PartCrashCounts::crashedSince(uint64_t part, int64_t since_ms) const {
  return std::any_of(crashes_.begin(), crashes_.end(), [&](const Crash& crash) {
    return crash.crashed_ms >= since_ms &&
           std::any_of(crash.prompts.begin(), crash.prompts.end(),
                       [&](const Prompt& prompt) { return contains(prompt, part); });
  });
}

/// Adds orders to release parts that were answered without a crash after the crashes for which they
/// are in quarantine began.
void PartCrashCounts::addReleases(std::vector<v1::QuarantineOrder>& orders, int64_t now_ms) {
  for (const auto& [part, entry] : quarantined_) {
    const auto sound = sound_ms_.find(part);
    if (sound == sound_ms_.end() || ordered_ms_.contains(part)) {
      continue;
    }
    if (crashedSince(part, sound->second)) {
      continue;
    }
    ordered_ms_[part] = now_ms;
    v1::QuarantineOrder order;
    *order.mutable_request() = entry;
    order.set_begin(false);
    orders.push_back(std::move(order));
  }
}

std::vector<v1::QuarantineOrder> PartCrashCounts::dueOrders(int64_t now_ms, uint64_t wall_ms) {
  std::vector<v1::QuarantineOrder> orders;
  const bool idle = crashes_.empty() && quarantined_.empty();
  if (idle || now_ms < next_check_ms_) {
    return orders;
  }
  const bool active = std::exchange(has_news_, false) || !asked_ms_.empty();
  next_check_ms_ = now_ms + (active ? kEvaluationPeriodMs : kCheckPeriodMs);
  dropExpired(now_ms);
  addReleases(orders, now_ms);
  findWaves();
  EvidenceByPart evidence = collectEvidence();
  for (auto& [part, found] : evidence) {
    weigh(found);
  }
  updateSuspects(evidence, now_ms);
  for (const auto& [part, found] : evidence) {
    if (isQuarantined(part) || ordered_ms_.contains(part) || !mayBeJudged(part, found, now_ms) ||
        !isBestExplanation(part, evidence)) {
      continue;
    }
    ordered_ms_[part] = now_ms;
    v1::QuarantineOrder order;
    *order.mutable_request()->mutable_request() = messageOf(identityOfPart(part));
    order.mutable_request()->set_since_ms(wall_ms);
    order.mutable_request()->set_runners_ended(static_cast<uint32_t>(found.crashes.size()));
    order.set_begin(true);
    orders.push_back(std::move(order));
  }
  return orders;
}

} // namespace workshatch::relay
