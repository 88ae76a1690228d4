#include "daemon/router/router_tables.h"

#include <utility>

namespace workshatch::daemon {

RouterTables::RouterTables(std::string name, const Clock& clock, routing::HoldDownOptions hold_down)
    : name_(std::move(name)), clock_(clock), fleet_(hold_down), current_ownership_(name_),
      settled_ownership_(name_) {}

serving::ServingSnapshot RouterTables::snapshot() const {
  const std::lock_guard lock(serving_mutex_);
  return serving_.snapshot();
}

bool RouterTables::mayServe() const {
  const std::lock_guard lock(serving_mutex_);
  return serving_.mayServe(clock_.monotonicMs());
}

bool RouterTables::applyRenewal(const v1::RenewReply& reply, int64_t sent_ms) {
  serving::ServingSnapshot before;
  serving::ServingSnapshot after;
  {
    const std::lock_guard lock(serving_mutex_);
    before = serving_.snapshot();
    if (!serving_.applyRenewal(reply, sent_ms)) {
      return false;
    }
    after = serving_.snapshot();
  }
  if (after.revision != before.revision) {
    {
      const std::lock_guard lock(fleet_mutex_);
      fleet_.configure(*after.configuration);
    }
    withPermitTable([&](admission::PermitTable& permit_table) {
      permit_table.configure(*after.configuration);
    });
  }
  const std::vector<v1::PoolLoad> totals(reply.totals().begin(), reply.totals().end());
  const std::vector<v1::RouterKey> silent(reply.silent().begin(), reply.silent().end());
  withPermitTable([&](admission::PermitTable& permit_table) {
    permit_table.setSilentRouters(silent);
    permit_table.setPoolLoads(totals);
    if (after.view->number() != before.view->number()) {
      permit_table.reclaimPermitsNotInView(*after.view);
    }
  });
  const bool ownership_changed = after.revision != before.revision ||
                                 after.view->number() != before.view->number() ||
                                 after.settled_view != before.settled_view;
  if (ownership_changed) {
    refreshOwnership();
  }
  return true;
}

uint32_t RouterTables::renewalAnswerAgeMs() const {
  const std::lock_guard lock(serving_mutex_);
  return serving_.answerAgeMs(clock_.monotonicMs());
}

uint64_t RouterTables::reportedView() const {
  const std::lock_guard lock(serving_mutex_);
  return serving_.reportedView();
}

void RouterTables::setReportedView(uint64_t view) {
  const std::lock_guard lock(serving_mutex_);
  serving_.setReportedView(view);
}

void RouterTables::setListed(std::vector<routing::ListedRunner> listed) {
  {
    const std::lock_guard lock(fleet_mutex_);
    fleet_.setListed(std::move(listed));
  }
  refreshOwnership();
}

void RouterTables::recordRunnerFailure(const std::string& runner) {
  const std::lock_guard lock(fleet_mutex_);
  fleet_.recordFailure(runner, clock_.monotonicMs());
}

void RouterTables::recordRunnerSuccess(const std::string& runner) {
  const std::lock_guard lock(fleet_mutex_);
  fleet_.recordSuccess(runner, clock_.monotonicMs());
}

void RouterTables::recordBackoffRequest(const std::string& runner,
                                        const http::ClientResponse& response) {
  const auto asked_ms = http::requestedBackoffMs(response);
  if (asked_ms) {
    const std::lock_guard lock(fleet_mutex_);
    fleet_.recordBackoffRequest(runner, *asked_ms, clock_.monotonicMs());
  }
}

void RouterTables::setRunnerLeaving(const std::string& runner, bool leaving) {
  {
    const std::lock_guard lock(fleet_mutex_);
    fleet_.setReportedLeaving(runner, leaving);
  }
  refreshOwnership();
}

std::vector<routing::EngineInfo> RouterTables::engines(const std::string& service) const {
  const std::lock_guard lock(fleet_mutex_);
  return fleet_.engines(service, clock_.monotonicMs());
}

std::optional<routing::EngineInfo> RouterTables::findEngine(const std::string& engine) const {
  const std::lock_guard lock(fleet_mutex_);
  return fleet_.find(engine, clock_.monotonicMs());
}

void RouterTables::addHeldPermit(const PermitRecord& permit) {
  const std::lock_guard lock(held_permits_mutex_);
  held_permits_[admission::keyOf(permit.held_permit.permit())] = permit;
}

void RouterTables::markGranted(const v1::PermitId& permit) {
  const std::lock_guard lock(held_permits_mutex_);
  const auto found = held_permits_.find(admission::keyOf(permit));
  if (found != held_permits_.end()) {
    found->second.granted = true;
  }
}

std::optional<PermitRecord> RouterTables::removeHeldPermit(const v1::PermitId& permit) {
  const std::lock_guard lock(held_permits_mutex_);
  auto node = held_permits_.extract(admission::keyOf(permit));
  if (node.empty()) {
    return std::nullopt;
  }
  return std::move(node.mapped());
}

bool RouterTables::holdsPermit(const v1::PermitId& permit) const {
  const std::lock_guard lock(held_permits_mutex_);
  return held_permits_.contains(admission::keyOf(permit));
}

std::vector<PermitRecord> RouterTables::heldPermits() const {
  const std::lock_guard lock(held_permits_mutex_);
  std::vector<PermitRecord> result;
  result.reserve(held_permits_.size());
  for (const auto& [key, permit] : held_permits_) {
    result.push_back(permit);
  }
  return result;
}

void RouterTables::refreshOwnership() {
  const std::lock_guard refresh_lock(refresh_mutex_);
  const serving::ServingSnapshot serving_snapshot = snapshot();
  std::vector<routing::EngineInfo> engines;
  {
    const std::lock_guard lock(fleet_mutex_);
    engines = fleet_.allEngines(clock_.monotonicMs());
  }
  const bool settled = serving_snapshot.settled_view >= serving_snapshot.view->number();
  std::vector<routing::EngineInfo> owned;
  std::vector<admission::EngineStatus> statuses;
  for (const routing::EngineInfo& engine : engines) {
    admission::EngineStatus status;
    status.engine = engine.engine;
    status.service = engine.service;
    status.leaving = engine.leaving;
    // Until the view is in force on every router, an engine that changes owners has no owner, so
    // that two routers never own it at once.
    const bool was_owned = last_settled_view_ != nullptr &&
                           settled_ownership_.owns(last_settled_view_, engine.engine, engine.zone);
    status.owned = current_ownership_.owns(serving_snapshot.view, engine.engine, engine.zone) &&
                   (settled || was_owned);
    if (status.owned) {
      owned.push_back(engine);
    }
    statuses.push_back(std::move(status));
  }
  if (settled) {
    last_settled_view_ = serving_snapshot.view;
  }
  {
    const std::lock_guard lock(fleet_mutex_);
    owned_engines_ = std::move(owned);
  }
  withPermitTable([&](admission::PermitTable& permit_table) { permit_table.setEngines(statuses); });
}

std::vector<routing::EngineInfo> RouterTables::ownedEngines() const {
  const std::lock_guard lock(fleet_mutex_);
  return owned_engines_;
}

} // namespace workshatch::daemon
