#include "daemon/relay/relay_request.h"

#include <algorithm>
#include <array>
#include <utility>

#include "core/backoff.h"
#include "core/relay/first_lease.h"
#include "core/routing/rendezvous.h"

namespace workshatch::daemon {

namespace {

/// Bounds of the retry delay while there is no lease. A group whose processes all crashed grants
/// leases again about 150 ms after they start. A longer silence is a network partition, whose
/// duration is unknown.
constexpr int64_t kMinRetryWithoutLeaseMs = 200;
constexpr int64_t kMaxRetryWithoutLeaseMs = 1000;
constexpr uint32_t kMaxPriority = relay::kPriorities - 1;
/// Distance between the priorities of tenants, which leaves room for the priorities of routes.
constexpr uint32_t kTenantPriorityStep = 3;

http::Problem refusal(http::Status status, std::string code, std::string detail,
                      const std::string& id, uint32_t retry_after_ms = 0) {
  return http::Problem{.status = status,
                       .code = std::move(code),
                       .detail = std::move(detail),
                       .retry_after_ms = retry_after_ms,
                       .request_id = id};
}

/// @return the retry delay: the time without a lease so far, within bounds. An outage is expected
/// to last for about as long again as it has lasted.
uint32_t retryWithoutLeaseMs(const RelayState& state, int64_t now_ms) {
  const int64_t silent_ms = state.lease.unconfirmedForMs(now_ms, state.started_ms);
  return static_cast<uint32_t>(
      std::clamp(silent_ms, kMinRetryWithoutLeaseMs, kMaxRetryWithoutLeaseMs));
}

http::Problem noLeaseRefusal(const RelayState& state, const RelayRequest& relayed) {
  return refusal(http::Status::service_unavailable, "no_lease",
                 "this relay has lost touch with the group", relayed.id,
                 retryWithoutLeaseMs(state, relayed.received_ms));
}

http::Problem stoppingRefusal(const std::string& id) {
  return refusal(http::Status::service_unavailable, "stopping", "this relay is about to end", id,
                 relay::kRetryWhileStoppingMs);
}

/// @return whether the request is certain, or as far as the route's requests show expected, to end
/// before a stopping relay ends those in progress. One that runs then can't be served elsewhere,
/// while a refused one can.
bool endsBeforeCut(const RelayRequest& relayed, RelayState& state, int64_t now_ms) {
  const int64_t left_ms = state.stop->cut_ms - now_ms;
  const int64_t limit_ms = relayed.deadline_ms - now_ms;
  if (limit_ms <= left_ms) {
    return true;
  }
  const auto expected_ms =
      state.request_durations.expectedLongestMs(relayed.route->name, limit_ms, now_ms);
  return expected_ms && *expected_ms <= left_ms;
}

/// @return the caller's timeout in milliseconds; nullopt if its header is missing or can't be
/// parsed.
std::optional<int64_t> callerTimeoutMs(const http::Request& request, const HeaderNames& names) {
  const auto header = http::fieldOf(request, names.deadline);
  const auto caller_timeout_ms = header ? parseMilliseconds(*header, 1) : std::nullopt;
  return caller_timeout_ms ? std::optional<int64_t>(*caller_timeout_ms) : std::nullopt;
}

/// Sets the two longest shared prefixes of the prompt: all blocks except the last one, and all
/// except the last two.
/// @return the tokens in all blocks that the caller lists; 0 if it lists none.
uint64_t readPrompt(const http::Request& request, const RelayDialect& dialect,
                    RelayRequest& relayed) {
  const auto value = http::fieldOf(request, dialect.headers().prefix_blocks);
  if (!value) {
    return 0;
  }
  const std::vector<PrefixBlock> blocks = dialect.parsePrefixBlocks(*value);
  constexpr size_t kSharedFromEnd = 2;
  uint64_t tokens = 0;
  for (size_t i = 0; i + 1 < blocks.size(); ++i) {
    relayed.parent_tokens = tokens;
    tokens += blocks[i].tokens;
    relayed.cached_tokens = tokens;
    relayed.parts.push_back(routing::fingerprintOf(blocks[i].id));
  }
  if (blocks.size() >= kSharedFromEnd) {
    relayed.cache_key = routing::fingerprintOf(blocks[blocks.size() - kSharedFromEnd].id);
  }
  if (blocks.size() > kSharedFromEnd) {
    relayed.parent_key = routing::fingerprintOf(blocks[blocks.size() - kSharedFromEnd - 1].id);
  }
  return blocks.empty() ? 0 : tokens + blocks.back().tokens;
}

/// Determines what the request needs at a runner, adds the stated sizes to the averages of the
/// route, and counts the source of the demand.
/// @param service null if the configuration does not have it
relay::RequestDemand demandOf(const http::Request& request, const RelayRequest& relayed,
                              const relay::Service* service, uint64_t listed_prompt_tokens,
                              RelayState& state) {
  if (!relayed.engine || !state.policy.request_demand) {
    return relay::objectivesOf(*relayed.route);
  }
  const auto field = [&request](std::string_view name) { return http::fieldOf(request, name); };
  relay::StatedDemand stated = relay::withoutImplausible(state.dialect.parseStatedDemand(field));
  stated.listed_prompt_tokens = listed_prompt_tokens;
  const relay::RequestDemand demand =
      state.demand_estimates.admit(*relayed.route, *service, stated);
  state.stats.recordDemand(demand, stated);
  return demand;
}

/// @return microseconds that an engine needs to copy one token's cache to another; zero if unknown.
double tokenCopyUs(const relay::Service& service) {
  constexpr double kBitsPerByte = 8;
  // 1 Mbit/s is 1 bit per microsecond.
  return service.engine_link_mbps > 0
             ? service.kv_token_bytes * kBitsPerByte / service.engine_link_mbps
             : 0;
}

/// @return a copy of the entry; null if there is none.
template <typename Entry> std::shared_ptr<const Entry> copyOf(const Entry* entry) {
  return entry == nullptr ? nullptr : std::make_shared<const Entry>(*entry);
}

uint32_t priorityOf(const RelayRequest& relayed) {
  const uint32_t of_tenant = relayed.tenant == nullptr ? 0 : relayed.tenant->priority;
  return std::min(of_tenant * kTenantPriorityStep +
                      std::min(relayed.route->priority, kTenantPriorityStep - 1),
                  kMaxPriority);
}

} // namespace

std::variant<RelayRequest, http::Problem> admit(const http::Request& request, RelayState& state,
                                                int64_t received_ms,
                                                std::optional<ForwardOrigin> origin) {
  const HeaderNames& names = state.dialect.headers();
  const int64_t now_ms = state.clock.monotonicMs();
  RelayRequest relayed;
  relayed.received_ms = received_ms;
  relayed.origin = origin;
  relayed.id = http::fieldOf(request, names.request_id).value_or("");
  const std::string& id = relayed.id;
  if (state.stop && now_ms >= state.stop->refuse_ms) {
    return stoppingRefusal(id);
  }
  if (!state.routes) {
    return refusal(http::Status::service_unavailable, "no_configuration",
                   "no configuration has arrived yet", id, retryWithoutLeaseMs(state, now_ms));
  }
  if (origin && origin->configuration_version > state.routes->version()) {
    return refusal(http::Status::service_unavailable, "older_configuration",
                   "the relay that forwarded the request has a newer configuration", id,
                   relay::kRetryWhileStoppingMs);
  }
  if (id.empty()) {
    return refusal(http::Status::bad_request, "no_request_id", names.request_id + " is missing",
                   id);
  }
  const std::string target(http::viewOf(request.target()));
  relayed.configuration_version = state.routes->version();
  relayed.route = copyOf(
      state.routes->findRoute(http::viewOf(request[http::Field::host]), http::pathOf(target)));
  const bool lease_holds = state.lease.holds(now_ms);
  const bool lease_is_fresh = state.lease.isFresh(now_ms);
  // If the lease is not fresh, a route that is missing here may have been added in the meantime.
  if (relayed.route == nullptr && lease_is_fresh) {
    return refusal(http::Status::not_found, "no_route", "no route for this host and path", id);
  }
  const bool needs_key = !state.routes->configuration().tenants.empty() &&
                         (relayed.route == nullptr || !relayed.route->anonymous);
  // Without a lease this relay may not know that the version of its runners is out of date, and a
  // stream that began there could not be told from one of the present version.
  const bool resumable_stream = relayed.route != nullptr && relayed.route->resumable &&
                                relayed.route->kind == relay::RouteKind::Streaming;
  const bool needs_lease = needs_key || (resumable_stream && state.stream_origins);
  if (relayed.route == nullptr || (needs_lease && !lease_holds)) {
    return noLeaseRefusal(state, relayed);
  }
  if (needs_key) {
    relayed.tenant =
        copyOf(state.routes->findTenant(http::fieldOf(request, names.key).value_or("")));
    if (relayed.tenant == nullptr && !lease_is_fresh) {
      return noLeaseRefusal(state, relayed);
    }
    if (relayed.tenant == nullptr) {
      return refusal(http::Status::unauthorized, "unknown_key", "the key is not known", id);
    }
  }
  relayed.identity =
      relay::identityOf(relayed.tenant == nullptr ? "" : relayed.tenant->name,
                        http::viewOf(request.method_string()), target, request.body());
  relayed.resumes = http::fieldOf(request, names.resumes).value_or("");
  relayed.rank.draw = routing::fingerprintOf(id);
  // A stream that is resumed goes to the service that began it.
  const uint64_t service_draw =
      relayed.resumes.empty() ? relayed.rank.draw : routing::fingerprintOf(relayed.resumes);
  relayed.service = relay::RouteTable::pickService(*relayed.route, service_draw);
  const int64_t allowed_ms = relayed.route->timeout_ms;
  const int64_t caller_timeout_ms = callerTimeoutMs(request, names).value_or(allowed_ms);
  relayed.deadline_ms = relayed.received_ms + std::min(caller_timeout_ms, allowed_ms);
  if (state.stop && !endsBeforeCut(relayed, state, now_ms)) {
    return stoppingRefusal(id);
  }
  const uint64_t listed_prompt_tokens = readPrompt(request, state.dialect, relayed);
  const relay::Service* service = state.routes->findService(relayed.service);
  relayed.engine = service != nullptr && service->model_engine;
  relayed.demand = demandOf(request, relayed, service, listed_prompt_tokens, state);
  relayed.kv_capacity_tokens = service == nullptr ? 0 : service->kv_capacity_tokens;
  relayed.token_copy_us = service == nullptr ? 0 : tokenCopyUs(*service);
  relayed.rank.priority = priorityOf(relayed);
  if (state.policy.priority_shares) {
    state.priority_shares.record(relayed.service, relayed.rank.priority, now_ms);
    relayed.rank.reserved_steps =
        state.priority_shares.reservedSteps(relayed.service, relayed.rank.priority, now_ms);
  }
  relayed.rank.over_share = state.policy.tenant_shares && relayed.tenant != nullptr &&
                            state.tenants.overShare(relayed.tenant->name);
  return relayed;
}

int64_t leaseWaitMs(const http::Request& request, const RelayState& state, int64_t received_ms) {
  if (state.lease.everConfirmed() || !state.policy.first_lease_wait) {
    return 0;
  }
  const auto caller_timeout_ms = callerTimeoutMs(request, state.dialect.headers());
  return relay::firstLeaseWaitMs(received_ms - state.started_ms, caller_timeout_ms.value_or(0));
}

} // namespace workshatch::daemon
