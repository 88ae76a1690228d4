#include "core/control/ledger.h"

#include <algorithm>
#include <vector>

namespace workshatch::control {

namespace {

v1::LedgerReply replyOf(v1::LedgerOutcome outcome) {
  v1::LedgerReply reply;
  reply.set_outcome(outcome);
  return reply;
}

v1::LedgerReply recordedAnswer(const v1::LedgerEntry& entry) {
  v1::LedgerReply reply = replyOf(v1::LEDGER_ANSWERED);
  *reply.mutable_answer() = entry.answer();
  return reply;
}

v1::LedgerReply replyToRepeatedBegin(const v1::LedgerEntry& entry,
                                     const v1::LedgerBeginRequest& request) {
  if (entry.status() == v1::LEDGER_ABORTED) {
    // A tombstone has no fingerprint to compare.
    return replyOf(v1::LEDGER_REFUSED);
  }
  if (entry.fingerprint() != request.fingerprint()) {
    return replyOf(v1::LEDGER_KEY_REUSED);
  }
  switch (entry.status()) {
  case v1::LEDGER_COMPLETED:
    return recordedAnswer(entry);
  case v1::LEDGER_UNKNOWN:
    return replyOf(v1::LEDGER_OUTCOME_UNKNOWN);
  default:
    break;
  }
  const bool same_attempt = entry.attempt() == request.attempt() &&
                            entry.router() == request.router() &&
                            entry.incarnation() == request.incarnation();
  return replyOf(same_attempt ? v1::LEDGER_GRANTED : v1::LEDGER_IN_PROGRESS);
}

} // namespace

v1::LedgerReply Ledger::begin(const v1::LedgerBeginRequest& request, uint64_t clock_ms) {
  const auto found = entries_.find(request.key());
  const bool retry = found != entries_.end() && found->second.status() == v1::LEDGER_ABORTED &&
                     found->second.attempt() != request.attempt();
  if (found != entries_.end() && !retry) {
    return replyToRepeatedBegin(found->second, request);
  }
  v1::LedgerEntry entry;
  entry.set_key(request.key());
  entry.set_fingerprint(request.fingerprint());
  entry.set_status(v1::LEDGER_BEGUN);
  entry.set_router(request.router());
  entry.set_incarnation(request.incarnation());
  entry.set_attempt(request.attempt());
  entry.set_begun_ms(clock_ms);
  entries_[request.key()] = std::move(entry);
  ages_.push_back(Age{.begun_ms = clock_ms, .key = request.key()});
  return replyOf(v1::LEDGER_GRANTED);
}

v1::LedgerReply Ledger::finish(const v1::LedgerFinishRequest& request) {
  const auto found = entries_.find(request.key());
  if (found == entries_.end() || found->second.attempt() != request.attempt()) {
    return replyOf(v1::LEDGER_REFUSED);
  }
  v1::LedgerEntry& entry = found->second;
  if (entry.status() == v1::LEDGER_COMPLETED) {
    return recordedAnswer(entry);
  }
  if (entry.status() != v1::LEDGER_BEGUN) {
    return replyOf(entry.status() == v1::LEDGER_UNKNOWN ? v1::LEDGER_OUTCOME_UNKNOWN
                                                        : v1::LEDGER_REFUSED);
  }
  if (request.unknown()) {
    entry.set_status(v1::LEDGER_UNKNOWN);
    return replyOf(v1::LEDGER_OUTCOME_UNKNOWN);
  }
  entry.set_status(v1::LEDGER_COMPLETED);
  *entry.mutable_answer() = request.answer();
  return recordedAnswer(entry);
}

v1::LedgerReply Ledger::abort(const v1::LedgerAbortRequest& request) {
  v1::LedgerEntry& entry = entries_[request.key()];
  if (entry.status() == v1::LEDGER_STATUS_UNSPECIFIED) {
    // The begin request of this attempt may still be in flight. The tombstone causes its refusal.
    entry.set_key(request.key());
    entry.set_attempt(request.attempt());
    entry.set_status(v1::LEDGER_ABORTED);
    ages_.push_back(Age{.begun_ms = 0, .key = request.key()});
  } else if (entry.status() == v1::LEDGER_BEGUN && entry.attempt() == request.attempt()) {
    entry.set_status(v1::LEDGER_ABORTED);
  }
  return replyOf(v1::LEDGER_DONE);
}

void Ledger::markUnknown(const std::string& router, uint64_t incarnation) {
  for (auto& [key, entry] : entries_) {
    if (entry.status() == v1::LEDGER_BEGUN && entry.router() == router &&
        entry.incarnation() == incarnation) {
      entry.set_status(v1::LEDGER_UNKNOWN);
    }
  }
}

void Ledger::removeBefore(uint64_t clock_ms) {
  while (!ages_.empty() && ages_.front().begun_ms < clock_ms) {
    const Age age = ages_.front();
    const auto found = entries_.find(age.key);
    const bool current = found != entries_.end() && found->second.begun_ms() == age.begun_ms;
    if (current && found->second.status() == v1::LEDGER_BEGUN) {
      return;
    }
    if (current) {
      entries_.erase(found);
    }
    ages_.pop_front();
  }
}

void Ledger::save(v1::StateSnapshot& snapshot) const {
  std::vector<const v1::LedgerEntry*> sorted;
  sorted.reserve(entries_.size());
  for (const auto& [key, entry] : entries_) {
    sorted.push_back(&entry);
  }
  std::sort(sorted.begin(), sorted.end(), [](const auto* left, const auto* right) {
    return std::pair(left->begun_ms(), left->key()) < std::pair(right->begun_ms(), right->key());
  });
  for (const v1::LedgerEntry* entry : sorted) {
    *snapshot.add_ledger() = *entry;
  }
}

void Ledger::restore(const v1::StateSnapshot& snapshot) {
  entries_.clear();
  ages_.clear();
  for (const v1::LedgerEntry& entry : snapshot.ledger()) {
    entries_[entry.key()] = entry;
    ages_.push_back(Age{.begun_ms = entry.begun_ms(), .key = entry.key()});
  }
}

} // namespace workshatch::control
