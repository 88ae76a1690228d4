#include "core/control/router_leases.h"

#include <algorithm>

namespace workshatch::control {

void RouterLeases::recordRenewal(const v1::RenewRequest& request, int64_t now_ms) {
  RouterRecord& record = records_[request.router().name()];
  record.incarnation = request.router().incarnation();
  record.renewed_ms = now_ms;
  record.revision = request.revision_in_force();
  record.view = request.view_in_force();
  record.loads.assign(request.loads().begin(), request.loads().end());
}

const RouterLeases::RouterRecord* RouterLeases::find(const v1::RouterEntry& router) const {
  const auto found = records_.find(router.name());
  const bool known = found != records_.end() && found->second.incarnation == router.incarnation();
  return known ? &found->second : nullptr;
}

std::vector<v1::RouterKey> RouterLeases::expiredRouters(const v1::View& view, int64_t now_ms) {
  std::vector<v1::RouterKey> result;
  for (const v1::RouterEntry& router : view.routers()) {
    const RouterRecord* known = find(router);
    if (known == nullptr) {
      RouterRecord record;
      record.incarnation = router.incarnation();
      record.renewed_ms = now_ms;
      records_[router.name()] = std::move(record);
      continue;
    }
    if (now_ms - known->renewed_ms > options_.lease_ms + options_.margin_ms) {
      v1::RouterKey key;
      key.set_name(router.name());
      key.set_incarnation(router.incarnation());
      result.push_back(std::move(key));
    }
  }
  return result;
}

std::vector<std::string> RouterLeases::routersBehind(const v1::View& view,
                                                     uint64_t revision) const {
  std::vector<std::string> result;
  for (const v1::RouterEntry& router : view.routers()) {
    const RouterRecord* record = find(router);
    if (record == nullptr || record->revision < revision) {
      result.push_back(router.name());
    }
  }
  return result;
}

bool RouterLeases::dropAcknowledged(const v1::View& view) const {
  const auto acknowledged = std::count_if(
      view.previous_members().begin(), view.previous_members().end(), [&](const std::string& name) {
        const auto found = records_.find(name);
        return found != records_.end() && found->second.view >= view.number();
      });
  return view.previous_members().empty() || acknowledged * 2 > view.previous_members_size();
}

uint64_t RouterLeases::settledView(const v1::View& view) const {
  const bool settled =
      std::all_of(view.routers().begin(), view.routers().end(), [&](const auto& router) {
        const RouterRecord* record = find(router);
        return record != nullptr && record->view >= view.number();
      });
  if (settled) {
    settled_view_ = std::max(settled_view_, view.number());
  }
  return settled_view_;
}

const RouterLeases::RouterRecord* RouterLeases::findRecentlyRenewed(const v1::RouterEntry& router,
                                                                    int64_t now_ms) const {
  const RouterRecord* record = find(router);
  const bool recent =
      record != nullptr && now_ms - record->renewed_ms <= options_.max_load_report_age_ms;
  return recent ? record : nullptr;
}

std::vector<v1::RouterKey> RouterLeases::silentRouters(const v1::View& view, int64_t now_ms) const {
  std::vector<v1::RouterKey> routers;
  for (const v1::RouterEntry& router : view.routers()) {
    if (findRecentlyRenewed(router, now_ms) == nullptr) {
      v1::RouterKey& key = routers.emplace_back();
      key.set_name(router.name());
      key.set_incarnation(router.incarnation());
    }
  }
  return routers;
}

std::vector<v1::PoolLoad> RouterLeases::poolTotals(const v1::View& view, int64_t now_ms) const {
  std::map<std::string, v1::PoolLoad> totals_by_pool;
  for (const v1::RouterEntry& router : view.routers()) {
    const RouterRecord* record = findRecentlyRenewed(router, now_ms);
    if (record == nullptr) {
      continue;
    }
    for (const v1::PoolLoad& load : record->loads) {
      v1::PoolLoad& total = totals_by_pool[load.service()];
      total.set_service(load.service());
      total.set_load(total.load() + load.load());
      total.set_engines(total.engines() + load.engines());
    }
  }
  std::vector<v1::PoolLoad> result;
  for (auto& [service, total] : totals_by_pool) {
    result.push_back(std::move(total));
  }
  return result;
}

v1::RouterStatus RouterLeases::status(const v1::RouterEntry& router, int64_t now_ms) const {
  v1::RouterStatus status;
  *status.mutable_router() = router;
  if (const RouterRecord* record = find(router)) {
    status.set_revision_in_force(record->revision);
    status.set_view_in_force(record->view);
    const int64_t left = record->renewed_ms + options_.lease_ms - now_ms;
    status.set_lease_left_ms(static_cast<uint64_t>(std::max<int64_t>(left, 0)));
  }
  return status;
}

} // namespace workshatch::control
