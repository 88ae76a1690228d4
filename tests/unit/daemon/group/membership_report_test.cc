/// @file
/// Tests of the log lines and metrics about a replica's place in its group.
#include <set>
#include <string>
#include <vector>

#include <doctest/doctest.h>

#include "daemon/group/membership_report.h"
#include "unit/daemon/group/group_fixture.h"

namespace workshatch::test {

using daemon::LeaderView;
using daemon::MembershipReport;
using daemon::MembershipView;
using daemon::Standing;

namespace {

/// A report whose lines are kept.
struct KeptReport {
  std::vector<nlohmann::json> lines;
  std::set<std::string> linked;
  MembershipReport report{[this](std::string_view event, const nlohmann::json& fields) {
                            lines.push_back(fields);
                            lines.back()["event"] = event;
                          },
                          [this](const std::string& address) { return linked.contains(address); }};
};

MembershipView leaderOf(size_t answering, const std::vector<daemon::SilentVoter>& silent) {
  MembershipView view;
  view.standing = Standing::Voter;
  view.leads = true;
  view.leader =
      LeaderView{.voters = 5, .answering = answering, .learners_caught_up = 0, .silent = silent};
  return view;
}

} // namespace

TEST_CASE("A replica outside a group tells whom it asked and what it got, at most every 5 s") {
  KeptReport kept;
  kept.linked = {"b"};
  kept.report.update(0, MembershipView());
  for (int64_t now_ms = 250; now_ms <= 8000; now_ms += 250) {
    kept.report.asked("a");
    kept.report.asked("b");
    kept.report.frameReceived("raft");
    kept.report.update(now_ms, MembershipView());
  }
  REQUIRE(kept.lines.size() == 2);
  CHECK(kept.lines[0]["event"] == "outside_group");
  CHECK(kept.lines[0]["outside_ms"] == 1000);
  CHECK(kept.lines[0]["asked"] == nlohmann::json({"a", "b"}));
  CHECK(kept.lines[0]["reached"] == nlohmann::json({"b"}));
  CHECK(kept.lines[0]["received"]["raft"] == 4);
  CHECK(kept.lines[1]["outside_ms"] == 6000);
  std::string metrics;
  kept.report.expose(metrics);
  CHECK(metrics.find("workshatch_group_outside_ms 8000\n") != std::string::npos);
}

TEST_CASE("A leader tells the losses that are left on change, and again while a voter is silent") {
  KeptReport kept;
  kept.report.update(0, leaderOf(5, {}));
  kept.report.update(500, leaderOf(4, {}));
  kept.report.update(1000, leaderOf(4, {}));
  for (int64_t now_ms = 1250; now_ms <= 7000; now_ms += 250) {
    kept.report.update(now_ms, leaderOf(3, {{.address = "e", .silent_ms = now_ms}}));
  }
  REQUIRE(kept.lines.size() == 4);
  CHECK(kept.lines[0]["losses_left"] == 2);
  CHECK(kept.lines[1]["losses_left"] == 1);
  CHECK(kept.lines[2]["silent"] == nlohmann::json({"e"}));
  CHECK(kept.lines[2]["silent_ms"] == 2000);
  CHECK(kept.lines[2]["learners_caught_up"] == 0);
  CHECK(kept.lines[3]["losses_left"] == 0);
  std::string metrics;
  kept.report.expose(metrics);
  CHECK(metrics.find("workshatch_group_losses_left 0\n") != std::string::npos);
  CHECK(metrics.find("workshatch_group_longest_silence_ms 7000\n") != std::string::npos);
}

TEST_CASE("A member without a leader tells which members it reaches") {
  KeptReport kept;
  kept.linked = {"c"};
  MembershipView view;
  view.standing = Standing::Voter;
  view.members = {"a", "b", "c"};
  for (int64_t now_ms = 0; now_ms <= 3000; now_ms += 250) {
    view.leaderless_ms = now_ms;
    kept.report.update(now_ms, view);
  }
  REQUIRE(kept.lines.size() == 1);
  CHECK(kept.lines[0]["event"] == "leaderless");
  CHECK(kept.lines[0]["leaderless_ms"] == 1000);
  CHECK(kept.lines[0]["reached"] == nlohmann::json({"c"}));
}

TEST_CASE(
    "The leader's view shows a voter that is gone, and a replica that none knows is outside") {
  Group group;
  startFirst(group);
  REQUIRE(group.runUntil([&] {
    auto* leader = group.leader();
    return leader != nullptr && leader->membershipView().leader.lossesLeft() == 1;
  }));
  const std::string gone = group.leaderAddress() == "a" ? "b" : "a";
  group.kill(gone);
  REQUIRE(group.runUntil([&] {
    auto* leader = group.leader();
    return leader != nullptr && leader->membershipView().leader.silent.size() == 1;
  }));
  const LeaderView view = group.leader()->membershipView().leader;
  CHECK(view.silent.front().address == gone);
  CHECK(view.lossesLeft() == 0);
  CHECK(view.learners_caught_up == 0);
  group.setSeeds({"gone"});
  group.start("d", 14, false);
  CHECK(group.at("d").membershipView().standing == Standing::Outside);
}

} // namespace workshatch::test
