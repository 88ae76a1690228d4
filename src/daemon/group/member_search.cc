#include "daemon/group/member_search.h"

#include <algorithm>

#include "adapters/logging/line_log.h"

namespace workshatch::daemon {

namespace {

/// Interval of the questions while no leader is known.
constexpr int64_t kSearchPeriodMs = 300;
/// Interval of the questions that keep the leader known.
constexpr int64_t kRefreshPeriodMs = relay::kLeaderKnownMs / 2;
/// Number of candidates that are asked at once while no leader is known.
constexpr size_t kSearchedAtOnce = 3;
/// Delay of the questions after a new candidate was learned; the minimum interval between them.
constexpr int64_t kSeekDelayMs = 100;
/// Minimum interval of log lines about new candidates.
constexpr int64_t kContactsLogPeriodMs = 1000;

} // namespace

void MemberSearch::poll() {
  const int64_t now = clock_.monotonicMs();
  if (now < question_due_ms_) {
    return;
  }
  const bool leader_known = !directory_.leader(now).empty();
  question_due_ms_ = now + (leader_known ? kRefreshPeriodMs : kSearchPeriodMs);
  if (leader_known) {
    askNextOf(directory_.members(), 1);
  } else {
    askNextOf(directory_.candidates(now), kSearchedAtOnce);
  }
}

/// Sends a question without any list to the next addresses in rotation.
void MemberSearch::askNextOf(const std::vector<std::string>& addresses, size_t count) {
  v1::MembersNotice question;
  question.set_sender_address(own_address_);
  question.set_answer_wanted(true);
  for (size_t asked = 0; asked < std::min(count, addresses.size()); ++asked) {
    send_(addresses[rotation_++ % addresses.size()], question);
  }
}

void MemberSearch::noticeReceived(const v1::MembersNotice& notice) {
  const bool learned = directory_.apply(notice, clock_.monotonicMs());
  if (notice.answer_wanted()) {
    send_(notice.sender_address(), makeNotice());
  }
  if (!learned) {
    return;
  }
  const int64_t now = clock_.monotonicMs();
  if (leader().empty()) {
    askSoon();
  }
  if (now >= log_due_ms_) {
    log_due_ms_ = now + kContactsLogPeriodMs;
    line_log::write("group_contacts_learned",
                    {{"leader", leader()}, {"candidates", directory_.candidates(now)}});
  }
}

void MemberSearch::askSoon() {
  question_due_ms_ = std::min(question_due_ms_, clock_.monotonicMs() + kSeekDelayMs);
}

void MemberSearch::joinReceived(const v1::JoinRequest& request) {
  send_(request.address(), makeNotice());
}

v1::LeaseReply MemberSearch::renewalReceived(const v1::LeaseRenewal& renewal) {
  if (directory_.addContacts({renewal.known_members().begin(), renewal.known_members().end()},
                             clock_.monotonicMs())) {
    askSoon();
  }
  return relay::makeLeaderReply(makeNotice(), renewal.sequence());
}

} // namespace workshatch::daemon
