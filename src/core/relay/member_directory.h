/// @file
/// Addresses at which a process may find the group's replicas and their leader.
#pragma once

#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

#include "workshatch/v1/relay.pb.h"

namespace workshatch::relay {

/// Time for which a leader counts as known after a member named it. Longer than the period of
/// questions to members, so that one lost answer does not matter.
inline constexpr int64_t kLeaderKnownMs = 2000;

/// Collects addresses of replicas from all sources, and orders them by how likely the group's
/// leader or a member is found there.
///
/// Load pattern: the settings name a few addresses (seeds). By the time a process needs them, all
/// of these machines may be gone, hold no replica, or hold one that is outside the group itself.
/// What the seeds tell first must not decide for good: each answer adds candidates, and candidates
/// that lose their rank stay as hints of a lower one.
///
/// Candidates in this order: the leader; the members as last told by a member; contacts, which are
/// addresses that another process named or from which messages of the group came; seeds; former
/// members and former seeds.
///
/// Guarantees: the own address is no candidate. A leader is known only for a limited time after a
/// member named it, however often it is passed on, because the age is passed on with it. Limits:
/// `kMaxMembers` members, `kMaxHints` contacts and as many former addresses; the least recently
/// told ones are dropped.
///
/// Addresses are hints: nothing here proves that a group is found there, or which one. Times are
/// milliseconds of the monotonic clock. Not safe for concurrent use.
class MemberDirectory {
public:
  static constexpr size_t kMaxMembers = 32;
  static constexpr size_t kMaxHints = 8;

  /// @param own_address address at which this process takes frames; empty if it takes none
  /// @param seeds addresses from the settings
  MemberDirectory(std::string own_address, std::vector<std::string> seeds)
      : own_address_(std::move(own_address)), seeds_(std::move(seeds)) {}

  /// Replaces the seeds; the others stay as hints.
  void setSeeds(std::vector<std::string> seeds);
  /// Replaces the members by those that a member told; the others stay as hints. An empty list is
  /// ignored.
  void setMembers(std::vector<std::string> members);
  /// Records an address at which a replica may be.
  void addContact(const std::string& address);
  /// Records the leader that a member named at a time, unless a later statement is known.
  void setLeader(const std::string& address, int64_t named_ms);
  /// Forgets the leader, and ignores what was said of it before.
  void forgetLeader(int64_t now_ms);
  /// Records what another process knows. Only a member replaces the list of members. A member that
  /// names no leader makes the leader unknown here too.
  /// @return whether this brought a new candidate or another leader.
  bool apply(const v1::MembersNotice& notice, int64_t now_ms);
  /// Records addresses that a relay knew as members.
  /// @return whether this brought a new candidate.
  bool addContacts(const std::vector<std::string>& addresses, int64_t now_ms);

  /// @return the leader's address; empty if none was named recently.
  std::string leader(int64_t now_ms) const;
  /// @return the members as last told by a member, or the contacts while no member told any.
  const std::vector<std::string>& members() const {
    return members_.empty() ? contacts_ : members_;
  }
  const std::vector<std::string>& seeds() const { return seeds_; }
  /// @return all candidates, the most likely one first.
  std::vector<std::string> candidates(int64_t now_ms) const;
  /// @return what is known here, from a sender that is no member.
  v1::MembersNotice makeNotice(int64_t now_ms) const;

private:
  const std::string own_address_;
  std::vector<std::string> seeds_;
  std::vector<std::string> members_;
  /// The most recently told ones first.
  std::vector<std::string> contacts_;
  std::vector<std::string> former_;
  std::string leader_;
  /// When a member named the leader.
  int64_t leader_named_ms_ = 0;
};

/// @return a reply that tells a relay the members and the leader without a confirmation.
v1::LeaseReply makeLeaderReply(const v1::MembersNotice& known, uint64_t sequence);

} // namespace workshatch::relay
