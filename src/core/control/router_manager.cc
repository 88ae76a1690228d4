#include "core/control/router_manager.h"

#include <utility>

namespace workshatch::control {

namespace {

/// Time after which a command without effect is proposed again.
constexpr int64_t kReproposeAfterMs = 1000;

} // namespace

bool RouterManager::receivesAnswers(const v1::RenewRequest& request) const {
  return request.answer_age_ms() < options_.lease_ms;
}

bool RouterManager::registrationDue(const v1::RouterEntry& router, int64_t now_ms) {
  Registration& last = registrations_[router.name()];
  const bool same = last.incarnation == router.incarnation() && last.state == router.state();
  if (same && now_ms - last.proposed_ms < kReproposeAfterMs) {
    return false;
  }
  last = Registration{
      .incarnation = router.incarnation(), .state = router.state(), .proposed_ms = now_ms};
  return true;
}

RouterManager::Renewal RouterManager::renew(const v1::RenewRequest& request,
                                            const ReplicatedState& state, int64_t now_ms) {
  Renewal renewal;
  const v1::RouterEntry* known = state.findRouter(request.router().name());
  const bool same_incarnation =
      known != nullptr && known->incarnation() == request.router().incarnation();
  const bool registered = same_incarnation && known->state() == request.router().state();
  const bool receives_answers = receivesAnswers(request);
  if (receives_answers && !registered && registrationDue(request.router(), now_ms)) {
    renewal.command.emplace();
    *renewal.command->mutable_register_router() = request.router();
  }
  v1::RenewReply& reply = renewal.reply;
  if (receives_answers && same_incarnation) {
    leases_.recordRenewal(request, now_ms);
    reply.set_lease_ms(static_cast<uint32_t>(options_.lease_ms));
  }
  const v1::View& view = state.view();
  reply.set_revision(state.revision());
  reply.set_view_number(view.number());
  reply.set_settled_view(leases_.settledView(view));
  if (request.revision_in_force() != state.revision()) {
    *reply.mutable_configuration() = state.configuration();
  }
  if (request.view_in_force() != view.number()) {
    *reply.mutable_view() = view;
  }
  for (v1::RouterKey& router : leases_.silentRouters(view, now_ms)) {
    *reply.add_silent() = std::move(router);
  }
  for (v1::PoolLoad& total : leases_.poolTotals(view, now_ms)) {
    *reply.add_totals() = std::move(total);
  }
  return renewal;
}

std::optional<v1::Command> RouterManager::dropExpired(const ReplicatedState& state,
                                                      int64_t now_ms) {
  const v1::View& view = state.view();
  const bool proposed =
      drop_view_ == view.number() && now_ms - drop_proposed_ms_ < kReproposeAfterMs;
  if (proposed || !leases_.dropAcknowledged(view)) {
    return std::nullopt;
  }
  const std::vector<v1::RouterKey> expired = leases_.expiredRouters(view, now_ms);
  if (expired.empty()) {
    return std::nullopt;
  }
  drop_view_ = view.number();
  drop_proposed_ms_ = now_ms;
  v1::Command command;
  for (const v1::RouterKey& key : expired) {
    *command.mutable_drop_routers()->add_routers() = key;
  }
  return command;
}

bool RouterManager::isActiveOnAllRouters(const ReplicatedState& state, uint64_t revision) const {
  return leases_.routersBehind(state.view(), revision).empty() &&
         leases_.dropAcknowledged(state.view());
}

} // namespace workshatch::control
