#include "core/raft/raft_log.h"

#include <algorithm>
#include <utility>

#include "core/check.h"

namespace workshatch::raft {

namespace {

v1::RaftEntry baseEntry(uint64_t index, uint64_t term) {
  v1::RaftEntry entry;
  entry.set_index(index);
  entry.set_term(term);
  return entry;
}

} // namespace

RaftLog::RaftLog() { entries_.push_back(baseEntry(0, 0)); }

RaftLog::RaftLog(v1::RaftSnapshot snapshot, std::vector<v1::RaftEntry> entries)
    : snapshot_(std::move(snapshot)), entries_(std::move(entries)) {
  const bool continues = !entries_.empty() && contains(snapshot_.index()) &&
                         termAt(snapshot_.index()) == snapshot_.term();
  if (!continues) {
    entries_.assign(1, baseEntry(snapshot_.index(), snapshot_.term()));
  }
}

uint64_t RaftLog::termAt(uint64_t index) const {
  WORKSHATCH_CHECK(contains(index), "term of an index outside the log");
  return entries_[index - baseIndex()].term();
}

const v1::RaftEntry& RaftLog::at(uint64_t index) const {
  WORKSHATCH_CHECK(contains(index) && index > baseIndex(), "entry outside the log");
  return entries_[index - baseIndex()];
}

void RaftLog::append(v1::RaftEntry entry) {
  WORKSHATCH_CHECK(entry.index() == lastIndex() + 1, "log index is not contiguous");
  entries_.push_back(std::move(entry));
}

void RaftLog::truncateFrom(uint64_t index) {
  WORKSHATCH_CHECK(index > snapshot_.index() && index > baseIndex(), "truncation of committed log");
  if (index <= lastIndex()) {
    entries_.resize(index - baseIndex());
  }
}

std::vector<v1::RaftEntry> RaftLog::slice(uint64_t first, uint64_t last, size_t max_bytes) const {
  std::vector<v1::RaftEntry> result;
  size_t bytes = 0;
  for (uint64_t index = first; index <= std::min(last, lastIndex()); ++index) {
    const v1::RaftEntry& entry = at(index);
    bytes += entry.ByteSizeLong();
    if (!result.empty() && bytes > max_bytes) {
      break;
    }
    result.push_back(entry);
  }
  return result;
}

void RaftLog::restore(const v1::RaftSnapshot& snapshot) {
  snapshot_ = snapshot;
  entries_.assign(1, baseEntry(snapshot.index(), snapshot.term()));
}

void RaftLog::compact(v1::RaftSnapshot snapshot, uint64_t trailing) {
  WORKSHATCH_CHECK(contains(snapshot.index()), "snapshot outside the log");
  const uint64_t oldest_needed = snapshot.index() > trailing ? snapshot.index() - trailing : 0;
  const uint64_t base = std::max(baseIndex(), oldest_needed);
  v1::RaftEntry base_entry = baseEntry(base, termAt(base));
  entries_.erase(entries_.begin(), entries_.begin() + static_cast<int64_t>(base - baseIndex()));
  entries_.front() = std::move(base_entry);
  snapshot_ = std::move(snapshot);
}

v1::RaftMembership RaftLog::latestMembership() const { return membershipAt(lastIndex()); }

v1::RaftMembership RaftLog::membershipAt(uint64_t index) const {
  const uint64_t lowest = std::max(baseIndex(), snapshot_.index());
  for (uint64_t i = std::min(index, lastIndex()); i > lowest; --i) {
    if (at(i).has_membership()) {
      return at(i).membership();
    }
  }
  return snapshot_.membership();
}

} // namespace workshatch::raft
