/// @file
/// Prefix cache of an emulated engine: token blocks in limited memory with LRU eviction.
#pragma once

#include <cstdint>
#include <list>
#include <string>
#include <unordered_map>
#include <vector>

namespace workshatch::standin {

struct CacheEvent {
  uint64_t sequence = 0;
  /// True when the block was stored, false when it was evicted.
  bool stored = true;
  /// Hash of the block and all blocks before it in the prompt.
  uint64_t block = 0;
};

/// Not safe for concurrent use.
class PrefixCache {
public:
  explicit PrefixCache(size_t capacity_blocks) : capacity_blocks_(capacity_blocks) {}

  /// Looks up the full blocks of a prompt and stores the missing ones.
  /// @return number of cached tokens at the start of the prompt.
  uint64_t lookupAndStore(const std::string& prompt);

  size_t blockCount() const { return index_.size(); }
  uint64_t evictions() const { return evictions_; }
  /// @return the retained events after `sequence`. Dropped events show as a gap in the sequence.
  std::vector<CacheEvent> eventsAfter(uint64_t sequence) const;

  /// @return all blocks, least recently used first.
  std::vector<uint64_t> exportBlocks() const;
  void importBlocks(const std::vector<uint64_t>& blocks);

  /// @return the estimated number of tokens of a text: one for each four bytes, rounded up.
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
