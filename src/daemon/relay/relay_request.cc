#include "daemon/relay/relay_request.h"

#include <algorithm>
#include <array>
#include <utility>

#include <boost/beast/core/string.hpp>

#include "core/backoff.h"
#include "core/header_text.h"
#include "core/relay/first_lease.h"
#include "core/routing/rendezvous.h"

namespace workshatch::daemon {

namespace {

/// Bounds of the retry delay while there is no lease. A group whose processes all crashed grants
/// leases again about 150 ms after they start. A longer silence is a network partition, whose
/// duration is unknown.
constexpr int64_t kMinRetryWithoutLeaseMs = 200;
constexpr int64_t kMaxRetryWithoutLeaseMs = 1000;
constexpr uint32_t kRetryWhileStoppingMs = 50;
constexpr uint32_t kMaxPriority = relay::kPriorities - 1;
/// Distance between the priorities of tenants, which leaves room for the priorities of routes.
constexpr uint32_t kTenantPriorityStep = 3;

bool sameName(std::string_view left, std::string_view right) {
  return boost::beast::iequals(boost::beast::string_view(left.data(), left.size()),
                               boost::beast::string_view(right.data(), right.size()));
}

/// @return whether a caller's header must not be forwarded: it concerns one connection only, or the
/// relay or the system sets it.
bool isOwnHeader(std::string_view name, const HeaderNames& names) {
  constexpr std::array<std::string_view, 8> kConnectionHeaders = {
      "connection", "keep-alive", "transfer-encoding", "content-length",
      "te",         "trailer",    "upgrade",           "expect"};
  const auto same = [name](std::string_view other) { return sameName(name, other); };
  const bool of_connection =
      std::any_of(kConnectionHeaders.begin(), kConnectionHeaders.end(), same) ||
      same("proxy-connection") || same("proxy-authorization");
  return of_connection || same(names.key) || same(names.deadline) ||
         std::any_of(names.system_only.begin(), names.system_only.end(), same);
}

/// @return whether the Connection header lists `name`.
bool namedByConnection(const http::Request& request, std::string_view name) {
  const auto connection = request.find(http::Field::connection);
  if (connection == request.end()) {
    return false;
  }
  std::string_view rest = http::viewOf(connection->value());
  while (!rest.empty()) {
    const size_t comma = rest.find(',');
    std::string_view token = rest.substr(0, comma);
    const size_t begin = token.find_first_not_of(" \t");
    const size_t end = token.find_last_not_of(" \t");
    if (begin != std::string_view::npos && sameName(token.substr(begin, end - begin + 1), name)) {
      return true;
    }
    rest = comma == std::string_view::npos ? std::string_view() : rest.substr(comma + 1);
  }
  return false;
}

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

void appendHeader(std::string& out, std::string_view name, std::string_view value) {
  // All headers for runners pass this check, which prevents header injection.
  if (!isHeaderName(name) || !isHeaderValue(value)) {
    return;
  }
  out.append(name).append(": ").append(value).append("\r\n");
}

} // namespace

std::variant<RelayRequest, http::Problem> admit(const http::Request& request, RelayState& state,
                                                int64_t received_ms) {
  const HeaderNames& names = state.dialect.headers();
  const int64_t now_ms = state.clock.monotonicMs();
  RelayRequest relayed;
  relayed.received_ms = received_ms;
  relayed.id = http::fieldOf(request, names.request_id).value_or("");
  const std::string& id = relayed.id;
  if (state.refusing) {
    return refusal(http::Status::service_unavailable, "stopping", "this relay is about to end", id,
                   kRetryWhileStoppingMs);
  }
  if (!state.routes) {
    return refusal(http::Status::service_unavailable, "no_configuration",
                   "no configuration has arrived yet", id, retryWithoutLeaseMs(state, now_ms));
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
  if (relayed.route == nullptr || (needs_key && !lease_holds)) {
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
  relayed.rank.draw = routing::fingerprintOf(id);
  relayed.service = relay::RouteTable::pickService(*relayed.route, relayed.rank.draw);
  const int64_t allowed_ms = relayed.route->timeout_ms;
  const int64_t caller_timeout_ms = callerTimeoutMs(request, names).value_or(allowed_ms);
  relayed.deadline_ms = relayed.received_ms + std::min(caller_timeout_ms, allowed_ms);
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

std::string formatForRunner(const http::Request& request, const RelayRequest& relayed,
                            const RelayState& state, const AttemptHeaders& attempt) {
  const HeaderNames& names = state.dialect.headers();
  constexpr size_t kHeadBytes = 1024;
  std::string out;
  out.reserve(kHeadBytes + request.body().size());
  out.append(http::viewOf(request.method_string())).append(" ");
  out.append(http::viewOf(request.target())).append(" HTTP/1.1\r\n");
  for (const auto& field : request) {
    const std::string_view name = http::viewOf(field.name_string());
    const bool replaced = sameName(name, names.last_event) && !attempt.last_event_id.empty();
    if (!replaced && !isOwnHeader(name, names) && !namedByConnection(request, name)) {
      appendHeader(out, name, http::viewOf(field.value()));
    }
  }
  appendHeader(out, names.deadline, std::to_string(std::max<int64_t>(attempt.remaining_ms, 1)));
  appendHeader(out, names.target_runner, attempt.runner_id);
  appendHeader(out, names.priority, std::to_string(relayed.rank.priority));
  if (relayed.tenant != nullptr) {
    appendHeader(out, names.tenant, relayed.tenant->name);
  }
  if (!attempt.last_event_id.empty()) {
    appendHeader(out, names.last_event, attempt.last_event_id);
  }
  if (!attempt.fetch_from.empty()) {
    appendHeader(out, names.fetch_from, attempt.fetch_from);
  }
  const bool has_body = !request.body().empty() || request.has_content_length() ||
                        request.chunked() || request.method() == http::Verb::post;
  if (has_body) {
    appendHeader(out, "Content-Length", std::to_string(request.body().size()));
  }
  out.append("\r\n").append(request.body());
  return out;
}

} // namespace workshatch::daemon
