/// @file
/// Tests that the control leader drops routers whose leases have expired, and only these.
#include <cstdint>
#include <limits>
#include <string>

#include <doctest/doctest.h>

#include "core/control/replicated_state.h"
#include "core/control/router_manager.h"

namespace workshatch::test {

namespace {

constexpr int64_t kLeaseMs = 1500;
constexpr int64_t kMarginMs = 100;
constexpr int64_t kRenewPeriodMs = 250;
/// Age of the last answer while every renewal is answered, in milliseconds.
constexpr uint32_t kAnsweredMs = 250;
constexpr uint32_t kNeverAnswered = std::numeric_limits<uint32_t>::max();
/// How long an operator's change waits to be in force everywhere, in milliseconds.
constexpr int64_t kAcceptWaitMs = 5000;

/// The leader's replicated state and its tasks for routers. Proposed commands are applied at once.
class Leader {
public:
  control::RouterManager::Renewal renew(const std::string& router, uint32_t answer_age_ms,
                                        uint64_t revision, uint64_t view) {
    v1::RenewRequest request;
    request.mutable_router()->set_name(router);
    request.mutable_router()->set_incarnation(1);
    request.mutable_router()->set_state(v1::ROUTER_ACTIVE);
    request.set_answer_age_ms(answer_age_ms);
    request.set_revision_in_force(revision);
    request.set_view_in_force(view);
    control::RouterManager::Renewal renewal = manager.renew(request, state, now_ms);
    if (renewal.command) {
      state.apply(*renewal.command);
    }
    return renewal;
  }

  /// A renewal of a router that has everything in force and receives the answers.
  control::RouterManager::Renewal renewUpToDate(const std::string& router) {
    return renew(router, kAnsweredMs, state.revision(), state.view().number());
  }

  void dropExpired() {
    if (const auto drop = manager.dropExpired(state, now_ms)) {
      state.apply(*drop);
    }
  }

  void changeConfiguration() {
    v1::Command command;
    command.mutable_apply()->set_request_id("change");
    command.mutable_apply()->set_expected_revision(state.revision());
    state.apply(command);
  }

  bool changeIsInForce() const { return manager.isActiveOnAllRouters(state, state.revision()); }
  bool hasRouter(const std::string& name) const { return state.findRouter(name) != nullptr; }

  control::ReplicatedState state;
  control::RouterManager manager{
      control::LeaseOptions{.lease_ms = kLeaseMs, .margin_ms = kMarginMs}};
  int64_t now_ms = 0;
};

/// A leader with three routers, which have everything in force. Three are the fewest of which a
/// majority remains to acknowledge that one was dropped.
class LeaderOfThree : public Leader {
public:
  LeaderOfThree() {
    for (int round = 0; round < 3; ++round) {
      now_ms += kRenewPeriodMs;
      renewOthers();
      renewUpToDate("entry-3");
    }
    REQUIRE(state.view().routers_size() == 3);
  }

  /// Renewals of the two routers that receive answers.
  void renewOthers() {
    renewUpToDate("entry-1");
    renewUpToDate("entry-2");
  }
};

} // namespace

// Guards against a change that waits until the operator gives up, although the only router without
// it has no lease: its renewals arrive, but it receives no answers and so serves nothing.
TEST_CASE("a router that receives no answers does not hold up a change beyond its lease") {
  LeaderOfThree leader;
  const uint64_t old_revision = leader.state.revision();
  const uint64_t old_view = leader.state.view().number();
  leader.changeConfiguration();
  REQUIRE(leader.state.revision() > old_revision);
  const int64_t changed_ms = leader.now_ms;
  int64_t in_force_ms = 0;
  while (in_force_ms == 0 && leader.now_ms - changed_ms < kAcceptWaitMs) {
    leader.now_ms += kRenewPeriodMs;
    leader.renewOthers();
    const auto age_ms = static_cast<uint32_t>(leader.now_ms - changed_ms);
    leader.renew("entry-3", age_ms, old_revision, old_view);
    leader.dropExpired();
    in_force_ms = leader.changeIsInForce() ? leader.now_ms - changed_ms : 0;
  }
  CHECK(in_force_ms > 0);
  CHECK(in_force_ms <= 2 * kLeaseMs + kMarginMs + 2 * kRenewPeriodMs);
  CHECK(leader.hasRouter("entry-1"));
  CHECK(leader.hasRouter("entry-2"));
  CHECK_FALSE(leader.hasRouter("entry-3"));
}

// Guards against a change that is acknowledged while a router may still serve without it.
TEST_CASE("a router is not dropped before the last lease that it was granted has expired") {
  LeaderOfThree leader;
  const uint64_t old_revision = leader.state.revision();
  const uint64_t old_view = leader.state.view().number();
  leader.changeConfiguration();
  const int64_t changed_ms = leader.now_ms;
  int64_t granted_ms = leader.now_ms;
  while (leader.now_ms - changed_ms < kAcceptWaitMs) {
    leader.now_ms += kRenewPeriodMs;
    leader.renewOthers();
    const auto age_ms = static_cast<uint32_t>(leader.now_ms - changed_ms);
    const auto renewal = leader.renew("entry-3", age_ms, old_revision, old_view);
    granted_ms = renewal.reply.lease_ms() > 0 ? leader.now_ms : granted_ms;
    leader.dropExpired();
    if (leader.now_ms <= granted_ms + kLeaseMs + kMarginMs) {
      CHECK(leader.hasRouter("entry-3"));
      CHECK_FALSE(leader.changeIsInForce());
    }
  }
}

// Guards against a router that is registered again by each renewal that arrives, and so holds up
// changes again after it was dropped.
TEST_CASE("a router is registered and gets leases once it receives answers") {
  LeaderOfThree leader;
  const auto unanswered = leader.renew("entry-4", kNeverAnswered, 0, 0);
  CHECK_FALSE(leader.hasRouter("entry-4"));
  CHECK(unanswered.reply.lease_ms() == 0);
  CHECK(unanswered.reply.has_view());
  leader.now_ms += kRenewPeriodMs;
  leader.renew("entry-4", kAnsweredMs, leader.state.revision(), 0);
  CHECK(leader.hasRouter("entry-4"));
  CHECK(leader.renewUpToDate("entry-4").reply.lease_ms() == kLeaseMs);
}

} // namespace workshatch::test
