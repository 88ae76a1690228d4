/// @file
/// How a machine that holds no replica keeps track of the group, and what it tells others.
#pragma once

#include <cstddef>
#include <cstdint>
#include <functional>
#include <string>
#include <vector>

#include "core/relay/member_directory.h"
#include "ports/clock.h"

namespace workshatch::daemon {

/// Asks for members and the leader, and answers relays, replicas and other such machines with what
/// it knows.
///
/// Load: while no leader is known, a question to three candidates in rotation every 300 ms; then
/// one to one member in rotation every second. A question has no lists; its answer has some 20
/// bytes for each member. With 17 such machines and five members, a member gets 3.4 questions a
/// second. Limit: questions at a member grow with the number of such machines. Holds no group
/// state: it neither votes nor takes join requests, and what it passes on is dated
/// (`MemberDirectory`). Used on one event loop; not safe for concurrent use.
class MemberSearch {
public:
  using NoticeSender = std::function<void(const std::string& address, v1::MembersNotice notice)>;

  MemberSearch(const Clock& clock, std::string own_address, std::vector<std::string> seeds,
               NoticeSender send)
      : clock_(clock), own_address_(std::move(own_address)),
        directory_(own_address_, std::move(seeds)), send_(std::move(send)) {}

  /// Sends the questions that are due. Must be called at least every `kPollPeriodMs`.
  void poll();
  static constexpr int64_t kPollPeriodMs = 100;

  void setSeeds(std::vector<std::string> seeds) { directory_.setSeeds(std::move(seeds)); }
  void noticeReceived(const v1::MembersNotice& notice);
  /// Tells a replica that asked to join where it can ask.
  void joinReceived(const v1::JoinRequest& request);
  /// @return the answer to a relay's renewal, which is no confirmation.
  v1::LeaseReply renewalReceived(const v1::LeaseRenewal& renewal);

  /// @return the leader's address; empty if none was named recently.
  std::string leader() const { return directory_.leader(clock_.monotonicMs()); }
  const std::vector<std::string>& members() const { return directory_.members(); }

private:
  void askNextOf(const std::vector<std::string>& addresses, size_t count);
  void askSoon();
  v1::MembersNotice makeNotice() const { return directory_.makeNotice(clock_.monotonicMs()); }

  const Clock& clock_;
  const std::string own_address_;
  relay::MemberDirectory directory_;
  const NoticeSender send_;
  int64_t question_due_ms_ = 0;
  size_t rotation_ = 0;
  int64_t log_due_ms_ = 0;
};

} // namespace workshatch::daemon
