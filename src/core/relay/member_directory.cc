#include "core/relay/member_directory.h"

#include <algorithm>
#include <utility>

namespace workshatch::relay {

namespace {

bool contains(const std::vector<std::string>& addresses, const std::string& address) {
  return std::find(addresses.begin(), addresses.end(), address) != addresses.end();
}

/// Puts an address first and drops the last one above the limit.
void putFirst(std::vector<std::string>& hints, const std::string& address) {
  std::erase(hints, address);
  hints.insert(hints.begin(), address);
  if (hints.size() > MemberDirectory::kMaxHints) {
    hints.pop_back();
  }
}

/// Replaces `current` and keeps those of it that are not in the new list as hints.
void replace(std::vector<std::string>& current, std::vector<std::string> next,
             std::vector<std::string>& former) {
  // From the end, so that the first addresses rank first and outlast the limit.
  for (auto address = current.rbegin(); address != current.rend(); ++address) {
    if (!contains(next, *address)) {
      putFirst(former, *address);
    }
  }
  current = std::move(next);
}

bool hasNew(const std::vector<std::string>& before, const std::vector<std::string>& after) {
  return std::any_of(after.begin(), after.end(),
                     [&](const std::string& address) { return !contains(before, address); });
}

} // namespace

void MemberDirectory::setSeeds(std::vector<std::string> seeds) {
  replace(seeds_, std::move(seeds), former_);
}

void MemberDirectory::setMembers(std::vector<std::string> members) {
  if (members.empty()) {
    return;
  }
  members.resize(std::min(members.size(), kMaxMembers));
  replace(members_, std::move(members), former_);
}

void MemberDirectory::addContact(const std::string& address) {
  if (!address.empty() && address != own_address_) {
    putFirst(contacts_, address);
  }
}

bool MemberDirectory::addContacts(const std::vector<std::string>& addresses, int64_t now_ms) {
  const std::vector<std::string> before = candidates(now_ms);
  const size_t count = std::min(addresses.size(), kMaxHints);
  std::for_each_n(addresses.begin(), count,
                  [this](const std::string& address) { addContact(address); });
  return hasNew(before, candidates(now_ms));
}

void MemberDirectory::setLeader(const std::string& address, int64_t named_ms) {
  if (address.empty() || address == own_address_ || named_ms < leader_named_ms_) {
    return;
  }
  leader_ = address;
  leader_named_ms_ = named_ms;
}

void MemberDirectory::forgetLeader(int64_t now_ms) {
  leader_.clear();
  leader_named_ms_ = now_ms;
}

bool MemberDirectory::apply(const v1::MembersNotice& notice, int64_t now_ms) {
  const std::vector<std::string> before = candidates(now_ms);
  const std::string leader_before = leader(now_ms);
  std::vector<std::string> members(notice.members().begin(), notice.members().end());
  if (notice.sender_is_member()) {
    setMembers(std::move(members));
  } else {
    addContacts(members, now_ms);
  }
  if (notice.sender_is_member() && notice.leader_address().empty()) {
    forgetLeader(now_ms);
  }
  setLeader(notice.leader_address(), now_ms - int64_t{notice.leader_age_ms()});
  return leader(now_ms) != leader_before || hasNew(before, candidates(now_ms));
}

std::string MemberDirectory::leader(int64_t now_ms) const {
  return now_ms - leader_named_ms_ < kLeaderKnownMs ? leader_ : "";
}

std::vector<std::string> MemberDirectory::candidates(int64_t now_ms) const {
  std::vector<std::string> candidates;
  const auto add = [&](const std::string& address) {
    if (!address.empty() && address != own_address_ && !contains(candidates, address)) {
      candidates.push_back(address);
    }
  };
  add(leader(now_ms));
  for (const auto* source : {&members_, &contacts_, &seeds_, &former_}) {
    std::for_each(source->begin(), source->end(), add);
  }
  return candidates;
}

v1::MembersNotice MemberDirectory::makeNotice(int64_t now_ms) const {
  v1::MembersNotice notice;
  notice.set_sender_address(own_address_);
  for (const std::string& member : members()) {
    notice.add_members(member);
  }
  const std::string known_leader = leader(now_ms);
  if (!known_leader.empty()) {
    notice.set_leader_address(known_leader);
    notice.set_leader_age_ms(
        static_cast<uint32_t>(std::max<int64_t>(0, now_ms - leader_named_ms_)));
  }
  return notice;
}

v1::LeaseReply makeLeaderReply(const v1::MembersNotice& known, uint64_t sequence) {
  v1::LeaseReply reply;
  reply.set_sequence(sequence);
  *reply.mutable_members() = known.members();
  reply.set_leader_address(known.leader_address());
  return reply;
}

} // namespace workshatch::relay
