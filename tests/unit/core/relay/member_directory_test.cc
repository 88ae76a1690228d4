/// @file
/// Tests of the addresses at which a process may find the group: order, age of the leader, limits.
#include <string>
#include <vector>

#include <doctest/doctest.h>

#include "core/relay/member_directory.h"

namespace workshatch::test {

namespace {

using relay::kLeaderKnownMs;
using relay::MemberDirectory;
constexpr int64_t kNowMs = 100'000;
using Addresses = std::vector<std::string>;

v1::MembersNotice noticeOf(bool member, const Addresses& members, const std::string& leader) {
  v1::MembersNotice notice;
  notice.set_sender_is_member(member);
  notice.mutable_members()->Assign(members.begin(), members.end());
  notice.set_leader_address(leader);
  return notice;
}

} // namespace

TEST_CASE("Candidates are the leader, members, contacts, seeds and former ones, without the own") {
  MemberDirectory directory("own", {"s1", "s2"});
  directory.setMembers({"m1", "m2", "own"});
  directory.setMembers({"m2", "m3", "own"});
  directory.addContact("c1");
  directory.setSeeds({"s2", "s3"});
  directory.setLeader("m3", kNowMs);
  CHECK(directory.candidates(kNowMs) == Addresses{"m3", "m2", "c1", "s2", "s3", "s1", "m1"});
}

TEST_CASE("A leader that is passed on between processes outside the group expires") {
  MemberDirectory first("first", {});
  MemberDirectory second("second", {});
  first.apply(noticeOf(true, {"m1"}, "m1"), kNowMs);
  int64_t now = kNowMs;
  for (; now < kNowMs + kLeaderKnownMs; now += 100) {
    second.apply(first.makeNotice(now), now);
    first.apply(second.makeNotice(now), now);
    CHECK(second.leader(now) == "m1");
  }
  CHECK(first.leader(now).empty());
  CHECK(second.leader(now).empty());
}

TEST_CASE("What a process outside the group passes on does not replace what a member told") {
  MemberDirectory directory("own", {});
  CHECK(directory.apply(noticeOf(true, {"m1", "m2"}, "m1"), kNowMs));
  CHECK(directory.apply(noticeOf(false, {"old"}, ""), kNowMs));
  CHECK(directory.members() == Addresses{"m1", "m2"});
  CHECK(directory.candidates(kNowMs) == Addresses{"m1", "m2", "old"});
  CHECK_FALSE(directory.apply(noticeOf(false, {"old"}, ""), kNowMs));
  v1::MembersNotice stale = noticeOf(false, {}, "old");
  stale.set_leader_age_ms(500);
  directory.apply(stale, kNowMs);
  CHECK(directory.leader(kNowMs) == "m1");
}

TEST_CASE("A directory keeps a bounded number of addresses") {
  MemberDirectory directory("own", {"s1"});
  for (int i = 0; i < 100; ++i) {
    directory.addContact("c" + std::to_string(i));
    directory.setMembers({"m" + std::to_string(i)});
  }
  CHECK(directory.candidates(kNowMs).size() == 2 + 2 * MemberDirectory::kMaxHints);
}

TEST_CASE("A leader is forgotten when a member names none, and older statements do not bring it "
          "back") {
  MemberDirectory directory("own", {});
  directory.apply(noticeOf(true, {"m1", "m2"}, "m1"), kNowMs);
  directory.apply(noticeOf(false, {}, ""), kNowMs + 100);
  CHECK(directory.leader(kNowMs + 100) == "m1");
  directory.apply(noticeOf(true, {"m1", "m2"}, ""), kNowMs + 200);
  CHECK(directory.leader(kNowMs + 200).empty());
  v1::MembersNotice older = noticeOf(false, {}, "m1");
  older.set_leader_age_ms(300);
  directory.apply(older, kNowMs + 300);
  CHECK(directory.leader(kNowMs + 300).empty());
  directory.apply(noticeOf(true, {"m1", "m2"}, "m2"), kNowMs + 400);
  CHECK(directory.leader(kNowMs + 400) == "m2");
}

TEST_CASE("A list above the limit keeps its first addresses as hints when it is replaced") {
  MemberDirectory directory("own", {});
  Addresses many;
  for (int i = 0; i < 20; ++i) {
    many.push_back("m" + std::to_string(i));
  }
  directory.setMembers(many);
  directory.setMembers({"new"});
  CHECK(directory.candidates(kNowMs) ==
        Addresses{"new", "m0", "m1", "m2", "m3", "m4", "m5", "m6", "m7"});
}

} // namespace workshatch::test
