#include "core/relay/runner_crash_counts.h"

#include <algorithm>
#include <cstdlib>
#include <utility>

#include "core/relay/runner_crash_times.h"

namespace workshatch::relay {

namespace {

/// Reports of one crash by several relays arrive this close together: the delay from a relay to the
/// leader, plus the probe of the runner's address (300 ms at most). A new process takes longer to
/// start and to run the request.
constexpr int64_t kSameCrashMs = 1000;
/// Time within which all relays that saw a crash have reported it, so that the requests present at
/// it can be compared: some delays between zones, plus the probe of an address that refuses at
/// once.
constexpr int64_t kReportsCompleteMs = 60;
/// Time after which an order that has not taken effect is given again: a few rounds of the group.
constexpr int64_t kOrderRetryMs = 500;
/// Time for which crashes are not held against a request after it completed.
constexpr int64_t kCompletedRetentionMs = 60'000;
/// Maximum number of requests counted: those of some 200 crashes with 20 requests each, some 600
/// kB.
constexpr size_t kMaxRequests = 4096;

} // namespace

void RunnerCrashCounts::addReport(const v1::LeaseRenewal& renewal, int64_t now_ms) {
  for (const v1::RequestIdentity& request : renewal.ran_whole()) {
    addCompleted(identityOf(request), now_ms);
  }
  for (const v1::RunnerEnd& report : renewal.runner_ends()) {
    if (report.has_request()) {
      addCrash(report, now_ms);
    }
  }
}

/// @return the number of the reported crash; a new number if it was not reported before.
uint64_t RunnerCrashCounts::crashNumberFor(uint64_t runner, int64_t crashed_ms) {
  for (const auto& [number, crash] : crashes_) {
    if (crash.runner == runner && std::abs(crash.crashed_ms - crashed_ms) < kSameCrashMs) {
      return number;
    }
  }
  crashes_[next_crash_] = Crash{.runner = runner, .crashed_ms = crashed_ms};
  return next_crash_++;
}

void RunnerCrashCounts::addCrash(const v1::RunnerEnd& report, int64_t now_ms) {
  const RequestIdentity request = identityOf(report.request());
  if (completed_.contains(request) || report.age_ms() >= kCrashWindowMs) {
    return;
  }
  if (requests_.size() >= kMaxRequests && !requests_.contains(request)) {
    evictOne();
  }
  const uint64_t number = crashNumberFor(report.runner(), now_ms - report.age_ms());
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
  for (auto& [number, crash] : crashes_) {
    if (crash.cause == request) {
      crash.cause.reset();
    }
  }
}

bool RunnerCrashCounts::inQuarantine(const RequestIdentity& request) const {
  const auto& entries = quarantine_.requests();
  return std::any_of(entries.begin(), entries.end(), [&](const v1::QuarantinedRequest& entry) {
    return identityOf(entry.request()) == request;
  });
}

/// Sets the request as the cause of its crashes, which then count against no other request.
void RunnerCrashCounts::setCause(const RequestIdentity& request) {
  for (const uint64_t number : requests_.at(request).crashes) {
    const auto crash = crashes_.find(number);
    if (crash != crashes_.end() && !crash->second.cause) {
      crash->second.cause = request;
    }
  }
}

/// @return the crashes at which the request was running, except those with another request in
/// quarantine as their cause.
RunnerCrashCounts::CrashSet
RunnerCrashCounts::crashesHeldAgainst(const RequestIdentity& request) const {
  CrashSet result;
  for (const uint64_t number : requests_.at(request).crashes) {
    const auto crash = crashes_.find(number);
    const bool own =
        crash != crashes_.end() && (!crash->second.cause || crash->second.cause == request);
    if (own) {
      result.insert(number);
    }
  }
  return result;
}

/// @return whether no other request was running at all of these crashes.
bool RunnerCrashCounts::isOnlyCommonRequest(const RequestIdentity& request,
                                            const CrashSet& crashes) const {
  return std::none_of(requests_.begin(), requests_.end(), [&](const auto& entry) {
    const CrashSet& others = entry.second.crashes;
    return !(entry.first == request) &&
           std::includes(others.begin(), others.end(), crashes.begin(), crashes.end());
  });
}

/// Drops the request with the fewest crashes; among several, the one that was reported longest ago.
void RunnerCrashCounts::evictOne() {
  const auto fewest_crashes =
      std::min_element(requests_.begin(), requests_.end(), [](const auto& left, const auto& right) {
        return std::pair(left.second.crashes.size(), left.second.last_report_ms) <
               std::pair(right.second.crashes.size(), right.second.last_report_ms);
      });
  requests_.erase(fewest_crashes);
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

/// Adds orders to release requests from quarantine: those that completed, and those whose time in
/// quarantine is over.
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

/// @return whether the last crash of a suspected request was reported so recently that further
/// reports of it may follow.
bool RunnerCrashCounts::waitsForReports(int64_t now_ms) const {
  return std::any_of(requests_.begin(), requests_.end(), [&](const auto& entry) {
    return now_ms - entry.second.last_report_ms < kReportsCompleteMs &&
           isSuspect(entry.first, entry.second);
  });
}

/// @return the requests to put into quarantine.
std::vector<RunnerCrashCounts::Culprit> RunnerCrashCounts::findCulprits(int64_t now_ms) const {
  std::vector<Culprit> culprits;
  for (const auto& [request, counted] : requests_) {
    if (!isSuspect(request, counted)) {
      continue;
    }
    const CrashSet crashes = crashesHeldAgainst(request);
    // Some relays may not have reported the last crash yet.
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
