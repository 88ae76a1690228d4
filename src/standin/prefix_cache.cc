#include "standin/prefix_cache.h"

#include <algorithm>

#include <xxhash.h>

namespace workshatch::standin {

namespace {

constexpr size_t kCharactersPerToken = 4;
constexpr size_t kTokensPerBlock = 16;
constexpr size_t kBlockBytes = kCharactersPerToken * kTokensPerBlock;
constexpr size_t kRetainedEvents = 4096;

} // namespace

uint64_t PrefixCache::estimateTokens(const std::string& text) {
  return (text.size() + kCharactersPerToken - 1) / kCharactersPerToken;
}

uint64_t PrefixCache::lookupAndStore(const std::string& prompt) {
  uint64_t found = 0;
  bool hit = true;
  uint64_t chained_hash = 0;
  for (size_t start = 0; start + kBlockBytes <= prompt.size(); start += kBlockBytes) {
    chained_hash = XXH3_64bits_withSeed(prompt.data() + start, kBlockBytes, chained_hash);
    hit = hit && index_.contains(chained_hash);
    found += hit ? kTokensPerBlock : 0;
    store(chained_hash);
  }
  return found;
}

void PrefixCache::store(uint64_t block) {
  const auto found = index_.find(block);
  if (found != index_.end()) {
    lru_order_.splice(lru_order_.end(), lru_order_, found->second);
    return;
  }
  if (index_.size() >= capacity_blocks_) {
    const uint64_t oldest = lru_order_.front();
    lru_order_.pop_front();
    index_.erase(oldest);
    ++evictions_;
    recordEvent(false, oldest);
  }
  index_[block] = lru_order_.insert(lru_order_.end(), block);
  recordEvent(true, block);
}

void PrefixCache::recordEvent(bool stored, uint64_t block) {
  events_.push_back(CacheEvent{.sequence = next_sequence_++, .stored = stored, .block = block});
  if (events_.size() > 2 * kRetainedEvents) {
    events_.erase(events_.begin(), events_.begin() + kRetainedEvents);
  }
}

std::vector<CacheEvent> PrefixCache::eventsAfter(uint64_t sequence) const {
  std::vector<CacheEvent> result;
  std::copy_if(events_.begin(), events_.end(), std::back_inserter(result),
               [sequence](const CacheEvent& event) { return event.sequence > sequence; });
  return result;
}

std::vector<uint64_t> PrefixCache::exportBlocks() const {
  return {lru_order_.begin(), lru_order_.end()};
}

void PrefixCache::importBlocks(const std::vector<uint64_t>& blocks) {
  for (const uint64_t block : blocks) {
    store(block);
  }
}

} // namespace workshatch::standin
