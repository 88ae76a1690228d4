#include "core/relay/runner_end_counts.h"

#include <algorithm>
#include <cstdlib>
#include <utility>

#include "core/relay/runner_end_times.h"

namespace workshatch::relay {

namespace {

/// Reports of one end by several relays lie this close together: a relay's way to the leader, and
/// the look at the runner's address (300 ms at most). A new process takes longer to start and to
/// run the request.
constexpr int64_t kOneEndMs = 1000;
/// All relays that saw the last end have reported it by then, so that the requests which were there
/// can be compared: some ways between zones, and the look at an address that refuses at once.
constexpr int64_t kReportsCompleteMs = 60;
/// An order that has not come into force is given again after this: a few rounds of the group.
constexpr int64_t kOrderAgainMs = 500;
/// A request that ran whole is not held to have ended a runner within this time.
constexpr int64_t kWholeCountsMs = 60'000;
/// Requests counted at most: those of some 200 ends with 20 each; some 600 kB.
constexpr size_t kMostRequests = 4096;

} // namespace

void RunnerEndCounts::take(const v1::LeaseRenewal& renewal, int64_t now_ms) {
  for (const v1::RequestIdentity& request : renewal.ran_whole()) {
    takeWhole(identityOf(request), now_ms);
  }
  for (const v1::RunnerEnd& told : renewal.runner_ends()) {
    takeEnd(told, now_ms);
  }
}

/// @return the number of the end that the report is of; a new one if it is of none so far.
uint64_t RunnerEndCounts::numberOf(uint64_t runner, int64_t ended_ms) {
  for (const auto& [number, end] : ends_) {
    if (end.runner == runner && std::abs(end.ended_ms - ended_ms) < kOneEndMs) {
      return number;
    }
  }
  ends_[next_end_] = End{.runner = runner, .ended_ms = ended_ms};
  return next_end_++;
}

void RunnerEndCounts::takeEnd(const v1::RunnerEnd& told, int64_t now_ms) {
  const RequestIdentity request = identityOf(told.request());
  if (whole_.contains(request) || told.age_ms() >= kEndCountsMs) {
    return;
  }
  if (requests_.size() >= kMostRequests && !requests_.contains(request)) {
    makeRoom();
  }
  const uint64_t number = numberOf(told.runner(), now_ms - told.age_ms());
  Counted& counted = requests_[request];
  if (counted.ends.insert(number).second) {
    counted.last_report_ms = now_ms;
    news_due_ms_ = news_due_ms_.value_or(now_ms + kReportsCompleteMs);
  }
  if (inQuarantine(request)) {
    blame(request);
  }
}

void RunnerEndCounts::takeWhole(const RequestIdentity& request, int64_t now_ms) {
  whole_[request] = now_ms;
  news_due_ms_ = now_ms;
  requests_.erase(request);
  for (auto& [number, end] : ends_) {
    if (end.cause == request) {
      end.cause.reset();
    }
  }
}

bool RunnerEndCounts::inQuarantine(const RequestIdentity& request) const {
  const auto& held = quarantine_.requests();
  return std::any_of(held.begin(), held.end(), [&](const v1::QuarantinedRequest& entry) {
    return identityOf(entry.request()) == request;
  });
}

/// Names the request as the cause of its ends, which then count against no other.
void RunnerEndCounts::blame(const RequestIdentity& request) {
  for (const uint64_t number : requests_.at(request).ends) {
    const auto end = ends_.find(number);
    if (end != ends_.end() && !end->second.cause) {
      end->second.cause = request;
    }
  }
}

/// @return the ends at which the request was running and none in quarantine is known to have been.
RunnerEndCounts::Ends RunnerEndCounts::endsHeldAgainst(const RequestIdentity& request) const {
  Ends held;
  for (const uint64_t number : requests_.at(request).ends) {
    const auto end = ends_.find(number);
    const bool own = end != ends_.end() && (!end->second.cause || end->second.cause == request);
    if (own) {
      held.insert(number);
    }
  }
  return held;
}

/// @return whether no other request was running at all of these ends.
bool RunnerEndCounts::standsOut(const RequestIdentity& request, const Ends& ends) const {
  return std::none_of(requests_.begin(), requests_.end(), [&](const auto& entry) {
    const Ends& others = entry.second.ends;
    return !(entry.first == request) &&
           std::includes(others.begin(), others.end(), ends.begin(), ends.end());
  });
}

/// Drops the request with the fewest ends, of these the one that was reported longest ago.
void RunnerEndCounts::makeRoom() {
  const auto least =
      std::min_element(requests_.begin(), requests_.end(), [](const auto& left, const auto& right) {
        return std::pair(left.second.ends.size(), left.second.last_report_ms) <
               std::pair(right.second.ends.size(), right.second.last_report_ms);
      });
  requests_.erase(least);
}

void RunnerEndCounts::forgetOld(int64_t now_ms) {
  std::erase_if(ends_,
                [&](const auto& entry) { return now_ms - entry.second.ended_ms >= kEndCountsMs; });
  for (auto& [request, counted] : requests_) {
    std::erase_if(counted.ends, [&](uint64_t number) { return !ends_.contains(number); });
  }
  std::erase_if(requests_, [](const auto& entry) { return entry.second.ends.empty(); });
  std::erase_if(whole_, [&](const auto& entry) { return now_ms - entry.second >= kWholeCountsMs; });
  std::erase_if(released_ms_,
                [&](const auto& entry) { return now_ms - entry.second >= kOrderAgainMs; });
}

/// Adds orders to take requests out: those that ran whole, and those whose time is over.
void RunnerEndCounts::addReleases(std::vector<v1::QuarantineOrder>& orders, int64_t now_ms,
                                  uint64_t wall_ms) {
  for (const v1::QuarantinedRequest& entry : quarantine_.requests()) {
    const RequestIdentity request = identityOf(entry.request());
    const bool over = wall_ms > entry.since_ms() + static_cast<uint64_t>(kQuarantineMs);
    if ((!over && !whole_.contains(request)) || released_ms_.contains(request)) {
      continue;
    }
    released_ms_[request] = now_ms;
    v1::QuarantineOrder order;
    *order.mutable_request() = entry;
    order.set_begin(false);
    orders.push_back(std::move(order));
  }
}

bool RunnerEndCounts::isDue(int64_t now_ms) const {
  const bool nothing = requests_.empty() && quarantine_.requests().empty();
  return !nothing && now_ms >= news_due_ms_.value_or(again_due_ms_);
}

bool RunnerEndCounts::mayBeBlamed(const RequestIdentity& request, const Counted& counted) const {
  return counted.ends.size() >= kEndsForQuarantine && !inQuarantine(request);
}

/// @return whether a request that may be blamed was told of at its last end just now.
bool RunnerEndCounts::waitsForReports(int64_t now_ms) const {
  return std::any_of(requests_.begin(), requests_.end(), [&](const auto& entry) {
    return now_ms - entry.second.last_report_ms < kReportsCompleteMs &&
           mayBeBlamed(entry.first, entry.second);
  });
}

/// @return the requests that are to be put into quarantine.
std::vector<RunnerEndCounts::Culprit> RunnerEndCounts::findCulprits(int64_t now_ms) const {
  std::vector<Culprit> culprits;
  for (const auto& [request, counted] : requests_) {
    if (!mayBeBlamed(request, counted)) {
      continue;
    }
    const Ends ends = endsHeldAgainst(request);
    // Of the last end some relays may not have told yet.
    const bool complete = now_ms - counted.last_report_ms >= kReportsCompleteMs;
    const bool enough = ends.size() >= kEndsWithoutDoubt ||
                        (ends.size() >= kEndsForQuarantine && complete && standsOut(request, ends));
    if (enough) {
      culprits.push_back(Culprit{.request = request, .ends = static_cast<uint32_t>(ends.size())});
    }
  }
  return culprits;
}

std::vector<v1::QuarantineOrder> RunnerEndCounts::due(int64_t now_ms, uint64_t wall_ms) {
  std::vector<v1::QuarantineOrder> orders;
  if (!isDue(now_ms)) {
    return orders;
  }
  news_due_ms_.reset();
  again_due_ms_ = now_ms + kOrderAgainMs;
  forgetOld(now_ms);
  addReleases(orders, now_ms, wall_ms);
  const std::vector<Culprit> culprits = findCulprits(now_ms);
  if (waitsForReports(now_ms)) {
    news_due_ms_ = now_ms + kReportsCompleteMs;
  }
  for (const Culprit& culprit : culprits) {
    blame(culprit.request);
    v1::QuarantineOrder order;
    *order.mutable_request()->mutable_request() = messageOf(culprit.request);
    order.mutable_request()->set_since_ms(wall_ms);
    order.mutable_request()->set_runners_ended(culprit.ends);
    order.set_begin(true);
    orders.push_back(std::move(order));
  }
  return orders;
}

} // namespace workshatch::relay
