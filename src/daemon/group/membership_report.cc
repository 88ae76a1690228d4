#include "daemon/group/membership_report.h"

#include <algorithm>
#include <iterator>
#include <utility>

#include "adapters/metrics/text_format.h"

namespace workshatch::daemon {

namespace {

/// A replica that is outside for less than this time is joining in the ordinary way.
constexpr int64_t kOutsideReportMs = 1000;
/// An election takes less time than this.
constexpr int64_t kLeaderlessReportMs = 1000;
/// Minimum time between two lines of one kind.
constexpr int64_t kMinLinePeriodMs = 1000;
/// Interval at which a line is repeated while there is trouble.
constexpr int64_t kRepeatPeriodMs = 5000;

std::vector<std::string> addressesOf(const std::vector<SilentVoter>& voters) {
  std::vector<std::string> addresses;
  for (const SilentVoter& voter : voters) {
    addresses.push_back(voter.address);
  }
  return addresses;
}

int64_t longestSilenceMs(const std::vector<SilentVoter>& voters) {
  int64_t longest_ms = 0;
  for (const SilentVoter& voter : voters) {
    longest_ms = std::max(longest_ms, voter.silent_ms);
  }
  return longest_ms;
}

} // namespace

const char* nameOf(Standing standing) {
  switch (standing) {
  case Standing::Outside:
    return "outside";
  case Standing::Learner:
    return "learner";
  case Standing::Voter:
    return "voter";
  }
  return "";
}

bool MembershipReport::Pace::isDue(int64_t now_ms, const std::string& new_state,
                                   bool trouble) const {
  if (!written) {
    return true;
  }
  const int64_t since_ms = now_ms - written_ms;
  return (new_state != state && since_ms >= kMinLinePeriodMs) ||
         (trouble && since_ms >= kRepeatPeriodMs);
}

void MembershipReport::Pace::record(int64_t now_ms, std::string new_state) {
  written = true;
  written_ms = now_ms;
  state = std::move(new_state);
}

void MembershipReport::asked(const std::string& address) {
  if (isOutside()) {
    asked_.insert(address);
  }
}

void MembershipReport::frameReceived(const std::string& kind) {
  if (isOutside()) {
    ++received_[kind];
  }
}

template <typename Addresses>
std::vector<std::string> MembershipReport::linkedOf(const Addresses& addresses) const {
  std::vector<std::string> linked;
  std::copy_if(addresses.begin(), addresses.end(), std::back_inserter(linked), is_linked_);
  return linked;
}

void MembershipReport::update(int64_t now_ms, const MembershipView& view) {
  const bool begins = view.standing == Standing::Outside && !isOutside();
  view_ = view;
  updated_ = true;
  updated_ms_ = now_ms;
  if (begins) {
    outside_since_ms_ = now_ms;
    outside_due_ms_ = now_ms + kOutsideReportMs;
    asked_.clear();
    received_.clear();
  }
  if (isOutside() && now_ms >= outside_due_ms_) {
    reportOutside(now_ms);
  }
  if (!isOutside() && view.leaderless_ms >= kLeaderlessReportMs && now_ms >= leaderless_due_ms_) {
    reportLeaderless(now_ms);
  }
  if (view.leads) {
    reportHealth(now_ms, view.leader);
  } else {
    health_pace_ = {};
  }
}

void MembershipReport::reportOutside(int64_t now_ms) {
  outside_due_ms_ = now_ms + kRepeatPeriodMs;
  write_line_("outside_group", {{"outside_ms", now_ms - outside_since_ms_},
                                {"asked", asked_},
                                {"reached", linkedOf(asked_)},
                                {"received", received_}});
  asked_.clear();
  received_.clear();
}

void MembershipReport::reportLeaderless(int64_t now_ms) {
  leaderless_due_ms_ = now_ms + kRepeatPeriodMs;
  write_line_("leaderless", {{"leaderless_ms", view_.leaderless_ms},
                             {"standing", nameOf(view_.standing)},
                             {"members", view_.members},
                             {"reached", linkedOf(view_.members)}});
}

void MembershipReport::reportHealth(int64_t now_ms, const LeaderView& leader) {
  const std::vector<std::string> silent = addressesOf(leader.silent);
  const nlohmann::json state = {leader.voters, leader.answering, leader.learners_caught_up, silent};
  if (!health_pace_.isDue(now_ms, state.dump(), !silent.empty())) {
    return;
  }
  health_pace_.record(now_ms, state.dump());
  write_line_("group_health", {{"voters", leader.voters},
                               {"answering", leader.answering},
                               {"losses_left", leader.lossesLeft()},
                               {"learners_caught_up", leader.learners_caught_up},
                               {"silent", silent},
                               {"silent_ms", longestSilenceMs(leader.silent)}});
}

void MembershipReport::expose(std::string& out) const {
  metrics::exposeGauge(out, "group_outside_ms",
                       "time for which this replica has belonged to no group; 0: it belongs to one",
                       isOutside() ? updated_ms_ - outside_since_ms_ : 0);
  metrics::exposeGauge(out, "group_leaderless_ms",
                       "time for which this member has known no leader; 0: it knows one",
                       isOutside() ? 0 : view_.leaderless_ms);
  if (!view_.leads) {
    return;
  }
  metrics::exposeGauge(out, "group_losses_left",
                       "voters that can be lost before no majority answers; at the leader only",
                       view_.leader.lossesLeft());
  metrics::exposeGauge(out, "group_silent_voters", "voters without a reply; at the leader only",
                       static_cast<int64_t>(view_.leader.silent.size()));
  metrics::exposeGauge(out, "group_longest_silence_ms",
                       "longest time without a reply of a silent voter; at the leader only",
                       longestSilenceMs(view_.leader.silent));
  metrics::exposeGauge(out, "group_learners_caught_up",
                       "learners that could become voters; at the leader only",
                       static_cast<int64_t>(view_.leader.learners_caught_up));
}

} // namespace workshatch::daemon
