#include "core/relay/runner_crash_counts.h"

#include <algorithm>
#include <cstdlib>
#include <utility>

#include "core/relay/runner_crash_times.h"

namespace workshatch::relay {

namespace {

/// Reports of one end by several relays lie this close together: a relay's way to the leader, and
/// the look at the runner's address (300 ms at most). A new process takes longer to start and to
/// run the request.
constexpr int64_t kSameCrashMs = 1000;
/// All relays that saw the last end have reported it by then, so that the requests which were there
/// can be compared: some ways between zones, and the look at an address that refuses at once.
constexpr int64_t kReportsCompleteMs = 60;
/// An order that has not come into force is given again after this: a few rounds of the group.
constexpr int64_t kOrderRetryMs = 500;
/// A request that ran whole is not held to have ended a runner within this time.
constexpr int64_t kCompletedRetentionMs = 60'000;
/// Requests counted at most: those of some 200 ends with 20 each; some 600 kB.
constexpr size_t kMaxRequests = 4096;

} // namespace

void RunnerCrashCounts::addReport(const v1::LeaseRenewal& renewal, int64_t now_ms) {
  for (const v1::RequestIdentity& request : renewal.ran_whole()) {
    addCompleted(identityOf(request), now_ms);
  }
  for (const v1::RunnerEnd& told : renewal.runner_ends()) {
    addCrash(told, now_ms);
  }
}

/// @return the number of the end that the report is of; a new one if it is of none so far.
uint64_t RunnerCrashCounts::crashNumberFor(uint64_t runner, int64_t crashed_ms) {
  for (const auto& [number, end] : crashes_) {
    if (end.runner == runner && std::abs(end.crashed_ms - crashed_ms) < kSameCrashMs) {
      return number;
    }
  }
  crashes_[next_crash_] = Crash{.runner = runner, .crashed_ms = crashed_ms};
  return next_crash_++;
}

void RunnerCrashCounts::addCrash(const v1::RunnerEnd& told, int64_t now_ms) {
  const RequestIdentity request = identityOf(told.request());
  if (completed_.contains(request) || told.age_ms() >= kCrashWindowMs) {
    return;
  }
  if (requests_.size() >= kMaxRequests && !requests_.contains(request)) {
    evictOne();
  }
  const uint64_t number = crashNumberFor(told.runner(), now_ms - told.age_ms());
  RequestCrashes& counted = requests_[request];
  if (counted.crashes.insert(number).second) {
    counted.last_report_ms = now_ms;
    reports_due_ms_ = reports_due_ms_.value_or(now_ms + kReportsCompleteMs);
  }
  if (inQuarantine(request)) {
    setCause(request);
  }
}

void RunnerCrashCounts::addCompleted(const RequestIdentity& request, int64_t now_ms) {
  completed_[request] = now_ms;
  reports_due_ms_ = now_ms;
  requests_.erase(request);
  for (auto& [number, end] : crashes_) {
    if (end.cause == request) {
      end.cause.reset();
    }
  }
}

bool RunnerCrashCounts::inQuarantine(const RequestIdentity& request) const {
  const auto& held = quarantine_.requests();
  return std::any_of(held.begin(), held.end(), [&](const v1::QuarantinedRequest& entry) {
    return identityOf(entry.request()) == request;
  });
}

/// Names the request as the cause of its ends, which then count against no other.
void RunnerCrashCounts::setCause(const RequestIdentity& request) {
  for (const uint64_t number : requests_.at(request).crashes) {
    const auto end = crashes_.find(number);
    if (end != crashes_.end() && !end->second.cause) {
      end->second.cause = request;
    }
  }
}

/// @return the ends at which the request was running and none in quarantine is known to have been.
RunnerCrashCounts::CrashSet
RunnerCrashCounts::crashesHeldAgainst(const RequestIdentity& request) const {
  CrashSet held;
  for (const uint64_t number : requests_.at(request).crashes) {
    const auto end = crashes_.find(number);
    const bool own = end != crashes_.end() && (!end->second.cause || end->second.cause == request);
    if (own) {
      held.insert(number);
    }
  }
  return held;
}

/// @return whether no other request was running at all of these ends.
bool RunnerCrashCounts::isOnlyCommonRequest(const RequestIdentity& request,
                                            const CrashSet& crashes) const {
  return std::none_of(requests_.begin(), requests_.end(), [&](const auto& entry) {
    const CrashSet& others = entry.second.crashes;
    return !(entry.first == request) &&
           std::includes(others.begin(), others.end(), crashes.begin(), crashes.end());
  });
}

/// Drops the request with the fewest ends, of these the one that was reported longest ago.
void RunnerCrashCounts::evictOne() {
  const auto least =
      std::min_element(requests_.begin(), requests_.end(), [](const auto& left, const auto& right) {
        return std::pair(left.second.crashes.size(), left.second.last_report_ms) <
               std::pair(right.second.crashes.size(), right.second.last_report_ms);
      });
  requests_.erase(least);
}

void RunnerCrashCounts::dropExpired(int64_t now_ms) {
  std::erase_if(crashes_, [&](const auto& entry) {
    return now_ms - entry.second.crashed_ms >= kCrashWindowMs;
  });
  for (auto& [request, counted] : requests_) {
    std::erase_if(counted.crashes, [&](uint64_t number) { return !crashes_.contains(number); });
  }
  std::erase_if(requests_, [](const auto& entry) { return entry.second.crashes.empty(); });
  std::erase_if(completed_,
                [&](const auto& entry) { return now_ms - entry.second >= kCompletedRetentionMs; });
  std::erase_if(released_ms_,
                [&](const auto& entry) { return now_ms - entry.second >= kOrderRetryMs; });
}

/// Adds orders to take requests out: those that ran whole, and those whose time is over.
void RunnerCrashCounts::addReleases(std::vector<v1::QuarantineOrder>& orders, int64_t now_ms,
                                    uint64_t wall_ms) {
  for (const v1::QuarantinedRequest& entry : quarantine_.requests()) {
    const RequestIdentity request = identityOf(entry.request());
    const bool over = wall_ms > entry.since_ms() + static_cast<uint64_t>(kQuarantineMs);
    if ((!over && !completed_.contains(request)) || released_ms_.contains(request)) {
      continue;
    }
    released_ms_[request] = now_ms;
    v1::QuarantineOrder order;
    *order.mutable_request() = entry;
    order.set_begin(false);
    orders.push_back(std::move(order));
  }
}

bool RunnerCrashCounts::isDue(int64_t now_ms) const {
  const bool nothing = requests_.empty() && quarantine_.requests().empty();
  return !nothing && now_ms >= reports_due_ms_.value_or(next_check_ms_);
}

bool RunnerCrashCounts::isSuspect(const RequestIdentity& request,
                                  const RequestCrashes& counted) const {
  return counted.crashes.size() >= kCrashesForQuarantine && !inQuarantine(request);
}

/// @return whether a request that may be blamed was told of at its last end just now.
bool RunnerCrashCounts::waitsForReports(int64_t now_ms) const {
  return std::any_of(requests_.begin(), requests_.end(), [&](const auto& entry) {
    return now_ms - entry.second.last_report_ms < kReportsCompleteMs &&
           isSuspect(entry.first, entry.second);
  });
}

/// @return the requests that are to be put into quarantine.
std::vector<RunnerCrashCounts::Culprit> RunnerCrashCounts::findCulprits(int64_t now_ms) const {
  std::vector<Culprit> culprits;
  for (const auto& [request, counted] : requests_) {
    if (!isSuspect(request, counted)) {
      continue;
    }
    const CrashSet crashes = crashesHeldAgainst(request);
    // Of the last end some relays may not have told yet.
    const bool complete = now_ms - counted.last_report_ms >= kReportsCompleteMs;
    const bool enough = crashes.size() >= kCrashesWithoutComparison ||
                        (crashes.size() >= kCrashesForQuarantine && complete &&
                         isOnlyCommonRequest(request, crashes));
    if (enough) {
      culprits.push_back(
          Culprit{.request = request, .crashes = static_cast<uint32_t>(crashes.size())});
    }
  }
  return culprits;
}

std::vector<v1::QuarantineOrder> RunnerCrashCounts::dueOrders(int64_t now_ms, uint64_t wall_ms) {
  std::vector<v1::QuarantineOrder> orders;
  if (!isDue(now_ms)) {
    return orders;
  }
  reports_due_ms_.reset();
  next_check_ms_ = now_ms + kOrderRetryMs;
  dropExpired(now_ms);
  addReleases(orders, now_ms, wall_ms);
  const std::vector<Culprit> culprits = findCulprits(now_ms);
  if (waitsForReports(now_ms)) {
    reports_due_ms_ = now_ms + kReportsCompleteMs;
  }
  for (const Culprit& culprit : culprits) {
    setCause(culprit.request);
    v1::QuarantineOrder order;
    *order.mutable_request()->mutable_request() = messageOf(culprit.request);
    order.mutable_request()->set_since_ms(wall_ms);
    order.mutable_request()->set_runners_ended(culprit.crashes);
    order.set_begin(true);
    orders.push_back(std::move(order));
  }
  return orders;
}

} // namespace workshatch::relay
