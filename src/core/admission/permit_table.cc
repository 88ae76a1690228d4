#include "core/admission/permit_table.h"

#include <algorithm>
#include <utility>

namespace workshatch::admission {

namespace {

constexpr int64_t kMillisecondsPerSecond = 1000;
/// Approximate number of tokens of one request.
constexpr uint64_t kTokenQuantum = 1024;
/// Retry delay for callers when both an engine and its queue are full.
constexpr uint32_t kRetryAfterMs = 1000;

v1::PermitReply replyTo(const v1::PermitRequest& request, v1::PermitVerdict verdict) {
  v1::PermitReply reply;
  *reply.mutable_permit() = request.permit();
  reply.set_verdict(verdict);
  reply.set_engine(request.engine());
  if (verdict == v1::PERMIT_FULL) {
    reply.set_retry_after_ms(kRetryAfterMs);
  }
  return reply;
}

PoolPolicy policyOf(const v1::Service& service) {
  PoolPolicy policy;
  policy.aim_factor = service.aim_factor();
  policy.engine_limit = service.engine_limit();
  policy.queue_length = service.queue_length();
  policy.fair_quantum = service.load_unit() == "tokens" ? kTokenQuantum : 1;
  return policy;
}

} // namespace

void PermitTable::configure(const v1::Configuration& configuration) {
  tenant_weights_.clear();
  for (const v1::Tenant& tenant : configuration.tenants()) {
    tenant_weights_[tenant.name()] = tenant.weight();
  }
  for (const v1::Service& service : configuration.services()) {
    pools_[service.name()].policy = policyOf(service);
  }
  if (configuration.has_sessions()) {
    moved_.setLimits(configuration.sessions().remember_entries(),
                     configuration.sessions().remember_seconds() * kMillisecondsPerSecond);
  }
}

void PermitTable::setEngines(const std::vector<EngineStatus>& engines) {
  std::set<std::string> was_owned;
  for (auto& [name, engine] : engines_) {
    if (engine.status.owned) {
      was_owned.insert(name);
    }
    engine.status.live = false;
    engine.status.owned = false;
  }
  for (auto& [name, pool] : pools_) {
    pool.engines = 0;
  }
  for (const EngineStatus& status : engines) {
    Engine& engine = engines_[status.engine];
    if (was_owned.contains(status.engine) && !status.owned) {
      // The routers that hold the permits report them to the new owner.
      engine.permits.clear();
      engine.load = 0;
      engine.counted_load = 0;
    }
    engine.status = status;
    Pool& pool = pools_[status.service];
    if (engine.queue.size() == 0) {
      engine.queue = FairQueue(pool.policy.fair_quantum);
    }
    if (status.live && !status.leaving) {
      ++pool.engines;
    }
  }
  recomputeOwnLoads();
  std::erase_if(engines_, [](const auto& entry) {
    const Engine& engine = entry.second;
    return !engine.status.live && engine.permits.empty() && engine.queue.size() == 0;
  });
}

void PermitTable::setPoolLoads(const std::vector<v1::PoolLoad>& totals) {
  for (const v1::PoolLoad& total : totals) {
    Pool& pool = pools_[total.service()];
    std::shift_right(pool.other_owner_loads.begin(), pool.other_owner_loads.end(), 1);
    // The total contains this owner's load as last reported. Load that has ended since then must
    // not be attributed to the other owners.
    const uint64_t own = std::max(pool.own_load, pool.reported_load);
    pool.other_owner_loads.front() = total.load() > own ? total.load() - own : 0;
  }
  for (auto& [name, engine] : engines_) {
    engine.load_at_last_totals = engine.load;
  }
}

void PermitTable::setSilentRouters(const std::vector<v1::RouterKey>& routers) {
  std::set<std::pair<std::string, uint64_t>> silent;
  for (const v1::RouterKey& router : routers) {
    silent.emplace(router.name(), router.incarnation());
  }
  if (silent == silent_routers_) {
    return;
  }
  silent_routers_ = std::move(silent);
  for (auto& [name, engine] : engines_) {
    engine.counted_load = 0;
    for (const auto& [permit, cost] : engine.permits) {
      engine.counted_load += isSilent(permit) ? 0 : cost;
    }
  }
  recomputeOwnLoads();
}

void PermitTable::recomputeOwnLoads() {
  for (auto& [service, pool] : pools_) {
    pool.own_load = 0;
  }
  for (const auto& [name, engine] : engines_) {
    if (engine.countsTowardPool()) {
      pools_[engine.status.service].own_load += engine.counted_load;
    }
  }
}

uint64_t PermitTable::estimateOtherOwnersLoad(const Pool& pool) {
  // A dead router stays in the totals until its report expires, while its callers retry through
  // other routers and are counted there too. The lowest of the last totals avoids this double
  // count.
  const uint64_t lowest =
      *std::min_element(pool.other_owner_loads.begin(), pool.other_owner_loads.end());
  // After a router dies, the load falls faster than totals arrive, so a decrease is extrapolated.
  const uint64_t decrease = pool.other_owner_loads[1] > pool.other_owner_loads[0]
                                ? pool.other_owner_loads[1] - pool.other_owner_loads[0]
                                : 0;
  return lowest > decrease ? lowest - decrease : 0;
}

bool PermitTable::hasCapacity(const Engine& engine, uint64_t cost) const {
  const Pool& pool = pools_.at(engine.status.service);
  const uint64_t total = pool.own_load + estimateOtherOwnersLoad(pool);
  const uint64_t cap = loadCap(pool.policy, total, pool.engines, cost);
  // The totals are older than the time in which a fleet's load can halve. An idle engine of a busy
  // pool is therefore filled in steps, with new totals between the steps.
  const uint64_t step = std::max(2 * cost, cap / 2);
  return engine.load + cost <= std::min(cap, engine.load_at_last_totals + step);
}

v1::PermitReply PermitTable::request(const v1::PermitRequest& request, int64_t now_ms) {
  const auto found = engines_.find(request.engine());
  if (found == engines_.end() || !found->second.status.live) {
    return replyTo(request, v1::PERMIT_UNKNOWN_ENGINE);
  }
  Engine& engine = found->second;
  if (engine.permits.contains(keyOf(request.permit()))) {
    return replyTo(request, v1::PERMIT_GRANTED);
  }
  if (!engine.status.owned) {
    return replyTo(request, v1::PERMIT_NOT_OWNER);
  }
  if (engine.status.leaving) {
    return replyTo(request, v1::PERMIT_LEAVING);
  }
  if (!request.no_redirect() && request.session() != 0) {
    const auto moved_to = moved_.find(request.session(), now_ms);
    if (moved_to && *moved_to != request.engine()) {
      v1::PermitReply reply = replyTo(request, v1::PERMIT_REDIRECT);
      reply.set_redirect_engine(*moved_to);
      return reply;
    }
  }
  if (engine.queue.size() == 0 && hasCapacity(engine, request.cost())) {
    grant(engine, request);
    return replyTo(request, v1::PERMIT_GRANTED);
  }
  return refuseOrQueue(engine, request, now_ms);
}

v1::PermitReply PermitTable::refuseOrQueue(Engine& engine, const v1::PermitRequest& request,
                                           int64_t now_ms) {
  if (engine.queue.contains(request.permit())) {
    return replyTo(request, v1::PERMIT_QUEUED);
  }
  const uint32_t length = pools_.at(engine.status.service).policy.queue_length;
  // One tenant uses at most half of the queue, so that other tenants always find room.
  const bool tenant_full = engine.queue.tenantSize(request.tenant()) * 2 >= length;
  if (request.wait_ms() == 0 || engine.queue.size() >= length || tenant_full) {
    return replyTo(request, v1::PERMIT_FULL);
  }
  engine.queue.push(Waiter{.request = request, .deadline_ms = now_ms + request.wait_ms()},
                    weightOf(request.tenant()));
  return replyTo(request, v1::PERMIT_QUEUED);
}

void PermitTable::grant(Engine& engine, const v1::PermitRequest& request) {
  const PermitKey permit = keyOf(request.permit());
  engine.permits[permit] = request.cost();
  addLoad(engine, permit, request.cost());
}

bool PermitTable::isSilent(const PermitKey& permit) const {
  return silent_routers_.contains({permit.router, permit.incarnation});
}

void PermitTable::addLoad(Engine& engine, const PermitKey& permit, uint64_t cost) {
  engine.load += cost;
  if (isSilent(permit)) {
    return;
  }
  engine.counted_load += cost;
  if (engine.countsTowardPool()) {
    pools_[engine.status.service].own_load += cost;
  }
}

void PermitTable::removePermit(Engine& engine, std::map<PermitKey, uint64_t>::iterator permit) {
  engine.load -= permit->second;
  if (!isSilent(permit->first)) {
    engine.counted_load -= permit->second;
    if (engine.countsTowardPool()) {
      pools_[engine.status.service].own_load -= permit->second;
    }
  }
  engine.permits.erase(permit);
}

void PermitTable::release(const v1::PermitId& permit, const std::string& engine_name) {
  const auto found = engines_.find(engine_name);
  if (found == engines_.end()) {
    return;
  }
  Engine& engine = found->second;
  const auto held = engine.permits.find(keyOf(permit));
  if (held != engine.permits.end()) {
    removePermit(engine, held);
  } else {
    engine.queue.remove(permit);
  }
}

void PermitTable::adoptPermit(const v1::HeldPermit& held) {
  Engine& engine = engines_[held.engine()];
  if (engine.status.engine.empty()) {
    // The engine is not listed here yet. A later list that contains it keeps the load.
    engine.status = EngineStatus{.engine = held.engine(), .service = held.service(), .live = false};
  }
  const PermitKey permit = keyOf(held.permit());
  const bool added = engine.permits.emplace(permit, held.cost()).second;
  if (added) {
    addLoad(engine, permit, held.cost());
  }
}

void PermitTable::reclaimPermitsNotInView(const v1::View& view) {
  const auto in_view = [&](const std::string& router, uint64_t incarnation) {
    return std::any_of(view.routers().begin(), view.routers().end(), [&](const auto& entry) {
      return entry.name() == router && entry.incarnation() == incarnation;
    });
  };
  for (auto& [name, engine] : engines_) {
    for (auto permit = engine.permits.begin(); permit != engine.permits.end();) {
      const auto current = permit++;
      if (!in_view(current->first.router, current->first.incarnation)) {
        removePermit(engine, current);
      }
    }
  }
}

void PermitTable::recordSessionMove(const v1::SessionMoved& moved, int64_t now_ms) {
  if (moved.engine().empty()) {
    moved_.remove(moved.session());
  } else {
    moved_.record(moved.session(), moved.engine(), now_ms);
  }
}

void PermitTable::grantQueued(Engine& engine, std::vector<v1::PermitReply>& replies) {
  while (const Waiter* waiter = engine.queue.front()) {
    if (!engine.status.live || engine.status.leaving || !engine.status.owned) {
      const Waiter refused = engine.queue.pop();
      replies.push_back(replyTo(refused.request,
                                engine.status.owned ? v1::PERMIT_LEAVING : v1::PERMIT_NOT_OWNER));
      continue;
    }
    if (!hasCapacity(engine, waiter->request.cost())) {
      return;
    }
    const Waiter next = engine.queue.pop();
    grant(engine, next.request);
    replies.push_back(replyTo(next.request, v1::PERMIT_GRANTED));
  }
}

std::vector<v1::PermitReply> PermitTable::takeDueReplies(int64_t now_ms) {
  std::vector<v1::PermitReply> replies;
  for (auto& [name, engine] : engines_) {
    if (engine.queue.size() == 0) {
      continue;
    }
    for (const Waiter& waiter : engine.queue.expire(now_ms)) {
      replies.push_back(replyTo(waiter.request, v1::PERMIT_FULL));
    }
    grantQueued(engine, replies);
  }
  return replies;
}

std::vector<v1::PoolLoad> PermitTable::reportLoads() {
  std::map<std::string, v1::PoolLoad> loads;
  for (const auto& [name, engine] : engines_) {
    if (!engine.countsTowardPool()) {
      continue;
    }
    v1::PoolLoad& load = loads[engine.status.service];
    load.set_service(engine.status.service);
    load.set_load(load.load() + engine.counted_load);
    load.set_engines(load.engines() + 1);
  }
  for (auto& [service, pool] : pools_) {
    const auto reported = loads.find(service);
    pool.reported_load = reported == loads.end() ? 0 : reported->second.load();
  }
  std::vector<v1::PoolLoad> result;
  for (auto& [service, load] : loads) {
    result.push_back(std::move(load));
  }
  return result;
}

uint64_t PermitTable::loadOf(const std::string& engine) const {
  const auto found = engines_.find(engine);
  return found == engines_.end() ? 0 : found->second.load;
}

size_t PermitTable::permitCount() const {
  size_t count = 0;
  for (const auto& [name, engine] : engines_) {
    count += engine.permits.size();
  }
  return count;
}

size_t PermitTable::waitingCount() const {
  size_t count = 0;
  for (const auto& [name, engine] : engines_) {
    count += engine.queue.size();
  }
  return count;
}

uint32_t PermitTable::weightOf(const std::string& tenant) const {
  const auto found = tenant_weights_.find(tenant);
  return found == tenant_weights_.end() ? 1 : found->second;
}

} // namespace workshatch::admission
