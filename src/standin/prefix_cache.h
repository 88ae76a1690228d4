/// @file
/// The prefix cache of an emulated engine: blocks of tokens in limited memory, least recently used
/// evicted first.
#pragma once

#include <cstdint>
#include <list>
#include <string>
#include <unordered_map>
#include <vector>

namespace workshatch::standin {

struct CacheEvent {
  uint64_t sequence = 0;
  bool stored = true;
  uint64_t block = 0;
};

/// Not safe for concurrent use.
class PrefixCache {
public:
  explicit PrefixCache(size_t capacity_blocks) : capacity_blocks_(capacity_blocks) {}

  /// Looks a prompt up and stores what is missing.
  /// @return tokens of the prompt that were found, from its start.
  uint64_t lookupAndStore(const std::string& prompt);

  size_t blockCount() const { return index_.size(); }
  uint64_t evictions() const { return evictions_; }
  /// Events after `sequence`; older ones than are kept show as a gap.
  std::vector<CacheEvent> eventsAfter(uint64_t sequence) const;

  /// All blocks, for an export, oldest first.
  std::vector<uint64_t> exportBlocks() const;
  void importBlocks(const std::vector<uint64_t>& blocks);

  /// Tokens of a text, estimated.
  static uint64_t estimateTokens(const std::string& text);

private:
  void store(uint64_t block);
  void recordEvent(bool stored, uint64_t block);

  const size_t capacity_blocks_;
  /// Least recently used first.
  std::list<uint64_t> lru_order_;
  std::unordered_map<uint64_t, std::list<uint64_t>::iterator> index_;
  std::vector<CacheEvent> events_;
  uint64_t next_sequence_ = 1;
  uint64_t evictions_ = 0;
};

} // namespace workshatch::standin
