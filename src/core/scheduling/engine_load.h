/// @file
/// The tokens of the prompts in progress at one model engine: those in its KV cache, and those that
/// it still has to read.
#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <string>
#include <unordered_map>
#include <vector>

#include "core/scheduling/prompt_read_times.h"
#include "workshatch/v1/relay.pb.h"

namespace workshatch::relay {

/// Tokens of one prompt, or of all prompts in progress at an engine.
struct EngineTokens {
  /// Tokens in the KV cache: prompts and expected outputs, with each shared prefix counted once.
  uint64_t kv = 0;
  /// Prompt tokens that the engine has not read yet.
  uint64_t unread = 0;
};

/// Mean tokens of the recent prompts of a service. It stands in for the prompts whose demand is not
/// known. Not safe for concurrent use.
class MeanPromptTokens {
public:
  /// @param tokens what a granted prompt added to its engine
  void add(const EngineTokens& tokens);

  /// @return the mean; `otherwise` if no prompt was added yet.
  EngineTokens mean(const EngineTokens& otherwise) const;

private:
  size_t samples_ = 0;
  double kv_ = 0;
  double unread_ = 0;
};

/// Counts the tokens of the prompts in progress at one engine, as its slot owner knows them.
///
/// Load pattern: prompts differ in size by a factor of a hundred. An engine with a free slot may
/// have a full KV cache, so that it preempts running requests, or so many tokens to read that a new
/// request starts late and the events of all others pause.
///
/// A granted prompt is kept until a report of its relay no longer lists its claim. Reports list
/// claims rather than sums, so that a shared prefix is counted once and the report after a lost one
/// corrects everything. A prefix that was granted here within the last 10 s counts as read,
/// although the engine may still be reading it.
///
/// Times are milliseconds of the monotonic clock. Not safe for concurrent use.
class EngineLoad {
public:
  /// @return what a prompt would add to the tokens of the engine.
  EngineTokens tokensFor(const v1::PromptDemand& demand, int64_t now_ms) const;

  /// Adds a granted prompt. A claim that was added before, because its datagram arrived twice, is
  /// ignored.
  /// @param relay address of the relay
  /// @param use the part of the claim that identifies it
  void add(const std::string& relay, const v1::PlaceUse& use, const v1::PromptDemand& demand,
           int64_t now_ms);

  /// Removes the prompts of a relay that its newest report does not list.
  /// @return the prompts whose first event it reports for the first time.
  std::vector<PromptRead> applyReport(const std::string& relay, const v1::PlaceUse& report,
                                      int64_t now_ms);

  /// Removes all prompts of a relay.
  void dropRelay(const std::string& relay);
  /// Forgets prefixes that were not granted within the last 10 s.
  void dropStalePrefixes(int64_t now_ms);

  /// @param in_progress requests in progress at the engine, of any kind
  /// @param mean tokens of a request whose demand is not known
  /// @return the tokens of all requests in progress.
  EngineTokens total(uint32_t in_progress, const EngineTokens& mean) const;

private:
  /// A granted prompt in progress.
  struct Prompt {
    uint64_t sequence = 0;
    v1::PromptDemand demand;
    /// Tokens that the engine had to read at the grant: of this prompt, and of all prompts.
    uint64_t unread = 0;
    uint64_t total_unread = 0;
    int64_t granted_ms = 0;
    bool reading = true;
  };
  struct RelayPrompts {
    /// Start of the relay's process; its sequence numbers are unique within it.
    uint32_t incarnation = 0;
    std::vector<Prompt> prompts;
    /// Reported prompts without a first event that were granted by another owner.
    uint32_t unknown_reading = 0;
  };
  /// A shared prefix in the KV cache, without the shorter prefix before it.
  struct SharedPrefix {
    uint32_t prompts = 0;
    uint64_t tokens = 0;
  };

  void removeAll(RelayPrompts& relay_prompts);
  void remove(const Prompt& prompt);
  void addPrefix(uint64_t prefix, uint64_t tokens);
  void removePrefix(uint64_t prefix);
  uint64_t newPrefixTokens(uint64_t prefix, uint64_t tokens) const;
  bool isCached(uint64_t prefix, int64_t now_ms) const;

  /// By the relay's address.
  std::map<std::string, RelayPrompts> prompts_by_relay_;
  /// By fingerprint; the prefixes of the prompts in progress.
  std::unordered_map<uint64_t, SharedPrefix> shared_prefixes_;
  /// When a prompt with a prefix was last granted, by the prefix's fingerprint.
  std::unordered_map<uint64_t, int64_t> prefix_granted_ms_;
  uint32_t prompts_ = 0;
  EngineTokens tokens_;
};

} // namespace workshatch::relay
