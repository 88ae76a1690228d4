#include "core/scheduling/engine_load.h"

#include <algorithm>

namespace workshatch::relay {

namespace {

/// Time after its last grant for which a shared prefix counts as read. Engines keep prefixes for
/// longer unless their KV cache is full.
constexpr int64_t kPrefixCachedMs = 10'000;
/// Number of recent prompts that the mean tokens of a service cover.
constexpr size_t kMeanPrompts = 64;

/// A demand split into the parts of the prompt that are shared and its own tokens.
struct DemandParts {
  /// Tokens of the prefix before the last one, of the last one without it, and of the rest of the
  /// prompt with the expected output.
  uint64_t parent = 0;
  uint64_t prefix = 0;
  uint64_t own = 0;
};

/// Splits a demand. Prefixes that are longer than their prompt, which no caller sends, are cut.
DemandParts partsOf(const v1::PromptDemand& demand) {
  const uint64_t prompt = demand.prompt_tokens();
  const uint64_t parent_end =
      demand.parent() == 0 ? 0 : std::min<uint64_t>(demand.parent_tokens(), prompt);
  const uint64_t prefix_end =
      demand.prefix() == 0 ? parent_end
                           : std::clamp<uint64_t>(demand.prefix_tokens(), parent_end, prompt);
  return DemandParts{.parent = parent_end,
                     .prefix = prefix_end - parent_end,
                     .own = prompt - prefix_end + demand.output_tokens()};
}

template <typename Numbers> bool contains(const Numbers& numbers, uint64_t number) {
  return std::find(numbers.begin(), numbers.end(), number) != numbers.end();
}

} // namespace

void MeanPromptTokens::add(const EngineTokens& tokens) {
  samples_ = std::min(samples_ + 1, kMeanPrompts);
  const double weight = 1 / static_cast<double>(samples_);
  kv_ += weight * (static_cast<double>(tokens.kv) - kv_);
  unread_ += weight * (static_cast<double>(tokens.unread) - unread_);
}

EngineTokens MeanPromptTokens::mean(const EngineTokens& otherwise) const {
  if (samples_ == 0) {
    return otherwise;
  }
  return EngineTokens{.kv = static_cast<uint64_t>(kv_), .unread = static_cast<uint64_t>(unread_)};
}

bool EngineLoad::isCached(uint64_t prefix, int64_t now_ms) const {
  const auto found = prefix_granted_ms_.find(prefix);
  return prefix != 0 && found != prefix_granted_ms_.end() &&
         now_ms - found->second <= kPrefixCachedMs;
}

/// @return the tokens by which the KV cache grows with another prompt that has this prefix.
uint64_t EngineLoad::newPrefixTokens(uint64_t prefix, uint64_t tokens) const {
  const auto found = shared_prefixes_.find(prefix);
  const uint64_t counted = found == shared_prefixes_.end() ? 0 : found->second.tokens;
  return tokens > counted ? tokens - counted : 0;
}

EngineTokens EngineLoad::tokensFor(const v1::PromptDemand& demand, int64_t now_ms) const {
  const DemandParts parts = partsOf(demand);
  EngineTokens tokens{.kv = parts.own, .unread = demand.prompt_tokens()};
  tokens.kv += newPrefixTokens(demand.parent(), parts.parent);
  tokens.kv += newPrefixTokens(demand.prefix(), parts.prefix);
  if (isCached(demand.prefix(), now_ms)) {
    tokens.unread -= parts.parent + parts.prefix;
  } else if (isCached(demand.parent(), now_ms)) {
    tokens.unread -= parts.parent;
  }
  return tokens;
}

void EngineLoad::addPrefix(uint64_t prefix, uint64_t tokens) {
  if (prefix == 0) {
    return;
  }
  tokens_.kv += newPrefixTokens(prefix, tokens);
  SharedPrefix& shared = shared_prefixes_[prefix];
  shared.tokens = std::max(shared.tokens, tokens);
  ++shared.prompts;
}

void EngineLoad::removePrefix(uint64_t prefix) {
  const auto found = shared_prefixes_.find(prefix);
  if (found != shared_prefixes_.end() && --found->second.prompts == 0) {
    tokens_.kv -= found->second.tokens;
    shared_prefixes_.erase(found);
  }
}

void EngineLoad::add(const std::string& relay, const v1::PlaceUse& use,
                     const v1::PromptDemand& demand, int64_t now_ms) {
  RelayPrompts& relay_prompts = prompts_by_relay_[relay];
  if (relay_prompts.incarnation != use.incarnation()) {
    removeAll(relay_prompts);
    relay_prompts.incarnation = use.incarnation();
  }
  const bool repeated =
      std::any_of(relay_prompts.prompts.begin(), relay_prompts.prompts.end(),
                  [&](const Prompt& prompt) { return prompt.sequence == use.sequence(); });
  if (repeated) {
    return;
  }
  const uint64_t unread = tokensFor(demand, now_ms).unread;
  const DemandParts parts = partsOf(demand);
  tokens_.unread += unread;
  tokens_.kv += parts.own;
  addPrefix(demand.parent(), parts.parent);
  addPrefix(demand.prefix(), parts.prefix);
  for (const uint64_t prefix : {demand.parent(), demand.prefix()}) {
    if (prefix != 0) {
      prefix_granted_ms_[prefix] = now_ms;
    }
  }
  ++prompts_;
  relay_prompts.prompts.push_back(Prompt{.sequence = use.sequence(),
                                         .demand = demand,
                                         .unread = unread,
                                         .total_unread = tokens_.unread,
                                         .granted_ms = now_ms});
}

void EngineLoad::remove(const Prompt& prompt) {
  tokens_.unread -= prompt.reading ? prompt.unread : 0;
  tokens_.kv -= partsOf(prompt.demand).own;
  removePrefix(prompt.demand.parent());
  removePrefix(prompt.demand.prefix());
  --prompts_;
}

void EngineLoad::removeAll(RelayPrompts& relay_prompts) {
  for (const Prompt& prompt : relay_prompts.prompts) {
    remove(prompt);
  }
  relay_prompts.prompts.clear();
  relay_prompts.unknown_reading = 0;
}

std::vector<PromptRead> EngineLoad::applyReport(const std::string& relay,
                                                const v1::PlaceUse& report, int64_t now_ms) {
  std::vector<PromptRead> read;
  if (report.claims().empty() && !prompts_by_relay_.contains(relay)) {
    return read;
  }
  RelayPrompts& relay_prompts = prompts_by_relay_[relay];
  if (relay_prompts.incarnation != report.incarnation()) {
    removeAll(relay_prompts);
    relay_prompts.incarnation = report.incarnation();
  }
  std::erase_if(relay_prompts.prompts, [&](const Prompt& prompt) {
    const bool ended = !contains(report.claims(), prompt.sequence);
    if (ended) {
      remove(prompt);
    }
    return ended;
  });
  uint32_t known_reading = 0;
  for (Prompt& prompt : relay_prompts.prompts) {
    const bool reading = contains(report.reading(), prompt.sequence);
    known_reading += reading ? 1 : 0;
    if (prompt.reading && !reading) {
      tokens_.unread -= prompt.unread;
      prompt.reading = false;
      read.push_back(
          PromptRead{.tokens = prompt.total_unread, .duration_ms = now_ms - prompt.granted_ms});
    }
  }
  relay_prompts.unknown_reading = static_cast<uint32_t>(report.reading_size()) - known_reading;
  if (report.claims().empty()) {
    prompts_by_relay_.erase(relay);
  }
  return read;
}

void EngineLoad::dropRelay(const std::string& relay) {
  const auto found = prompts_by_relay_.find(relay);
  if (found != prompts_by_relay_.end()) {
    removeAll(found->second);
    prompts_by_relay_.erase(found);
  }
}

void EngineLoad::dropStalePrefixes(int64_t now_ms) {
  std::erase_if(prefix_granted_ms_, [now_ms](const auto& granted) {
    return now_ms - granted.second > kPrefixCachedMs;
  });
}

EngineTokens EngineLoad::total(uint32_t in_progress, const EngineTokens& mean) const {
  const uint64_t unknown = in_progress > prompts_ ? in_progress - prompts_ : 0;
  uint64_t unknown_reading = 0;
  for (const auto& [relay, relay_prompts] : prompts_by_relay_) {
    unknown_reading += relay_prompts.unknown_reading;
  }
  return EngineTokens{.kv = tokens_.kv + unknown * mean.kv,
                      .unread = tokens_.unread + std::min(unknown, unknown_reading) * mean.unread};
}

} // namespace workshatch::relay
