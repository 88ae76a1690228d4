#include "daemon/relay/relay_role.h"

#include <algorithm>
#include <chrono>
#include <utility>

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/use_awaitable.hpp>

#include "adapters/detached_task.h"
#include "adapters/http/problem.h"
#include "adapters/logging/line_log.h"
#include "core/address_text.h"
#include "core/relay/list_period.h"
#include "core/relay/relay_addresses.h"
#include "daemon/relay/active_request.h"
#include "daemon/server_limits.h"

namespace workshatch::daemon {

namespace asio = boost::asio;

namespace {

constexpr auto kAwait = asio::as_tuple(asio::use_awaitable);
constexpr std::chrono::milliseconds kHousekeepingPeriod{50};
/// After this time without housekeeping the process is considered to have been suspended. It is ten
/// periods, more than the delay that a busy processor causes.
constexpr int64_t kSuspensionThresholdMs = 500;
/// After this time without a reply the group is considered silent, and the relay reads the list of
/// runners itself. The limit is longer until the relay has had its first lease.
constexpr int64_t kGroupSilentMs = 1500;
constexpr int64_t kGroupSilentAtStartMs = 4000;
constexpr int64_t kOwnListPollMs = 1000;
/// Minimum number of relays that is assumed when the platform's call rate is divided.
constexpr size_t kMinAssumedReaders = 10;
/// Maximum of the random delay by which relays that read the list at the same time spread their
/// calls.
constexpr uint64_t kOwnListJitterMs = 400;
/// Time after the start of a planned stop during which new requests are still accepted.
constexpr std::chrono::milliseconds kAcceptWhileStopping{2800};
/// Fraction of the time limit of a planned stop after which requests in progress are abandoned.
constexpr double kStopFraction = 0.93;

/// Delay after which a caller may repeat a request that was refused for lack of memory: about the
/// time in which large bodies that are being served are sent on.
constexpr uint32_t kRetryWithoutMemoryMs = 1000;
constexpr int64_t kBodyRefusalLogPeriodMs = 1000;

/// @return a random number in [0, 1).
double randomFraction(Random& random) {
  constexpr uint64_t kSteps = uint64_t{1} << 20U;
  return static_cast<double>(random.below(kSteps)) / static_cast<double>(kSteps);
}

} // namespace

RelayRole::RelayRole(settings::RelaySettings settings, WorkerPool& workers, const Clock& clock,
                     RelayAdapters adapters)
    : settings_(std::move(settings)), clock_(clock), context_(workers.context(0)),
      adapters_(adapters), random_(SeededRandom::fromEntropy()), incarnation_(random_.next()),
      state_(settings_, clock, adapters.dialect, randomFraction(random_)),
      control_(
          context_, clock, settings_.linkAddress(), settings_.seedLinkAddresses(),
          [this](bool first_on_link) { return makeRenewal(first_on_link); },
          [this](const v1::LeaseReply& reply) { onLeaseReply(reply); }),
      reader_(context_, clock_, settings_.runner_list_address, adapters.runner_lists),
      peers_(std::make_shared<RelayPeers>(context_, clock)),
      slot_client_(std::make_shared<SlotClient>(peers_, clock, static_cast<uint32_t>(incarnation_),
                                                [this](uint64_t runner) {
                                                  return state_.runners.ownedRunner(
                                                      runner, clock_.monotonicMs());
                                                })),
      prefix_client_(std::make_shared<PrefixClient>(peers_, clock,
                                                    [this](uint64_t source, uint64_t target) {
                                                      return state_.runners.isCopySource(
                                                          source, target, clock_.monotonicMs());
                                                    })),
      stream_origins_(std::make_shared<StreamOriginClient>(context_, peers_, clock)),
      path_prober_(std::make_shared<PathProber>(
          context_, clock, random_, RunnerDialer(state_.runner_addresses), state_.runners,
          PathProber::Observer{.changed = [this](const std::string& service,
                                                 bool lost) { onPathChange(service, lost); },
                               .ended = [this](uint64_t runner) { onRunnerEnded(runner); }})),
      crash_reporter_(std::make_shared<RunnerCrashReporter>(
          context_, clock, RunnerDialer(state_.runner_addresses),
          settings_.policy.peer_forwarding ? path_prober_ : nullptr,
          [this] { control_.renewNow(); })),
      caller_server_(
          workers, [this] { return callerLimits(); },
          [this](http::Exchange& exchange) { return handle(exchange); }, refuseBadRequest),
      forward_server_(
          workers, [this] { return callerLimits(); },
          [this](http::Exchange& exchange) { return handleForwarded(exchange); }, refuseBadRequest),
      ready_server_(
          workers, smallLimits(),
          [this](http::Exchange& exchange) { return handleReady(exchange); }, refuseBadRequest),
      resolve_server_(
          workers, smallLimits(),
          [this](http::Exchange& exchange) { return handleResolve(exchange); }, refuseBadRequest),
      metrics_server_(
          workers, smallLimits(),
          [this](http::Exchange& exchange) { return handleMetrics(exchange); }, refuseBadRequest),
      lease_wait_(context_), housekeeping_(context_), log_flusher_(context_),
      memory_watch_(context_) {
  const auto admissionOf = [this](bool forwarded) {
    return http::BodyAdmission{.budget = state_.bodies,
                               .refuse = [this, forwarded](const http::Request& head) {
                                 return refuseBody(head, forwarded);
                               }};
  };
  caller_server_.limitBodies(admissionOf(false));
  forward_server_.limitBodies(admissionOf(true));
}

Result<std::monostate> RelayRole::start() {
  struct Listener {
    http::Server& server;
    const std::string& address;
  };
  const std::string forward_address = forwardAddress();
  const std::array<Listener, 5> listeners = {Listener{caller_server_, settings_.caller_address},
                                             Listener{forward_server_, forward_address},
                                             Listener{ready_server_, settings_.ready_address},
                                             Listener{resolve_server_, settings_.resolve_address},
                                             Listener{metrics_server_, settings_.metrics_address}};
  for (const Listener& listener : listeners) {
    if (listener.address.empty()) {
      continue;
    }
    auto listening = listener.server.listen(listener.address);
    if (isError(listening)) {
      return errorOf(listening);
    }
  }
  auto peers_open = peers_->open(withPort(settings_.caller_address, settings_.link_port));
  if (isError(peers_open)) {
    return errorOf(peers_open);
  }
  peers_->onSilent([this](const std::string& relay) {
    // The leader checks whether the relay has crashed. Only the first of several silent relays
    // triggers a renewal, which reports all of them.
    if (silent_peers_.insert(relay).second && silent_peers_.size() == 1) {
      control_.renewNow();
    }
  });
  state_.slot_client = slot_client_;
  state_.prefix_client = prefix_client_;
  if (settings_.policy.stream_versions) {
    state_.stream_origins = stream_origins_;
  }
  if (settings_.policy.peer_forwarding) {
    state_.path_prober = path_prober_;
  }
  if (settings_.policy.quarantine) {
    state_.crash_reporter = crash_reporter_;
  }
  last_group_reply_ms_ = clock_.monotonicMs();
  last_housekeeping_ms_ = clock_.monotonicMs();
  control_.start();
  log_flusher_.start();
  memory_watch_.start();
  housekeep();
  detached_task::spawnLoop(context_.get_executor(), "read_runners_without_group",
                           [this] { return readRunnersWithoutGroup(); });
  return std::monostate{};
}

http::ServerLimits RelayRole::callerLimits() const {
  http::ServerLimits limits;
  if (state_.routes) {
    const relay::CallerLimits& configured = state_.routes->configuration().limits;
    limits.header_bytes = configured.header_bytes;
    limits.body_bytes = configured.body_bytes;
    limits.read_timeout = std::chrono::milliseconds(configured.header_timeout_ms);
    limits.idle_timeout = std::chrono::milliseconds(configured.idle_timeout_ms);
  }
  return limits;
}

/// @return the refusal of a request for whose body there is no memory left. It has not run.
http::Response RelayRole::refuseBody(const http::Request& head, bool forwarded) {
  const std::string& id_header = adapters_.dialect.headers().request_id;
  const std::string id = http::fieldOf(head, id_header).value_or("");
  ++state_.stats.outcomes[std::string(kNoMemoryCode)];
  http::Response response = http::makeProblem(
      http::Problem{.status = http::Status::service_unavailable,
                    .code = std::string(kNoMemoryCode),
                    .detail = "this relay has no memory left for the body of the request",
                    .request_id = id});
  response.set(http::Field::retry_after, adapters_.dialect.retryAfter(kRetryWithoutMemoryMs));
  if (forwarded) {
    http::setHeader(response, id_header, id);
    setPeerRefusal(response, std::string(kNoMemoryCode), {});
  }
  return response;
}

/// Logs the bodies that were refused since the last line, at most once in each period.
void RelayRole::logBodyRefusals() {
  const uint64_t refusals = state_.bodies->refusals();
  const int64_t now_ms = clock_.monotonicMs();
  if (refusals == logged_body_refusals_ ||
      now_ms - body_refusals_logged_ms_ < kBodyRefusalLogPeriodMs) {
    return;
  }
  line_log::write("bodies_refused", {{"refused", refusals - logged_body_refusals_},
                                     {"held_bytes", state_.bodies->heldBytes()},
                                     {"peak_bytes", state_.bodies->peakBytes()}});
  logged_body_refusals_ = refusals;
  body_refusals_logged_ms_ = now_ms;
}

std::string RelayRole::forwardAddress() const {
  return settings_.policy.peer_forwarding
             ? withPort(settings_.caller_address, settings_.forward_port)
             : "";
}

/// Reacts to the loss or the return of the network path to the runners of a service.
void RelayRole::onPathChange(const std::string& service, bool lost) {
  state_.runners.setPathLost(service, lost);
  if (lost) {
    for (const auto& runner : state_.runners.runnersOf(service)) {
      state_.connections.closeIdle(runner->entry.address());
    }
    for (ActiveRequest* active_request : state_.active_requests) {
      active_request->onPathLost(service);
    }
  }
  control_.renewNow();
}

void RelayRole::onRunnerEnded(uint64_t runner) {
  state_.runners.recordProcessEnded(runner, clock_.monotonicMs());
  if (settings_.policy.quarantine) {
    crash_reporter_->recordConnectionRefused(runner);
  }
}

http::awaitable<void> RelayRole::handle(http::Exchange& exchange) {
  return serve(exchange, std::nullopt);
}

/// Serves a request that another relay forwards.
http::awaitable<void> RelayRole::handleForwarded(http::Exchange& exchange) {
  const auto origin = parseForwardOrigin(exchange.request());
  if (!origin) {
    http::Response response =
        refuseBadRequest(http::Status::bad_request, "not a forwarded request");
    co_await exchange.respond(std::move(response));
    co_return;
  }
  ++state_.stats.forwards_received;
  co_await serve(exchange, origin);
}

http::awaitable<void> RelayRole::serve(http::Exchange& exchange,
                                       std::optional<ForwardOrigin> origin) {
  const int64_t received_ms = clock_.monotonicMs();
  const int64_t wait_ms = leaseWaitMs(exchange.request(), state_, received_ms);
  if (wait_ms > 0) {
    co_await lease_wait_.wait(std::chrono::milliseconds(wait_ms));
  }
  auto admitted = admit(exchange.request(), state_, received_ms, origin);
  if (auto* problem = std::get_if<http::Problem>(&admitted)) {
    ++state_.stats.outcomes[problem->code];
    line_log::write("request_refused",
                    {{"request", problem->request_id},
                     {"reason", problem->code},
                     {"status", static_cast<unsigned>(problem->status)},
                     {"waited_ms", clock_.monotonicMs() - received_ms},
                     {"configuration", state_.routes ? state_.routes->version() : 0},
                     {"lease_age_ms", state_.lease.ageMs(clock_.monotonicMs())}});
    const uint32_t retry_after_ms = std::exchange(problem->retry_after_ms, 0);
    http::Response response = http::makeProblem(*problem);
    if (retry_after_ms != 0) {
      response.set(http::Field::retry_after, adapters_.dialect.retryAfter(retry_after_ms));
    }
    if (origin) {
      http::setHeader(response, adapters_.dialect.headers().request_id, problem->request_id);
      if (problem->status == http::Status::service_unavailable) {
        setPeerRefusal(response, problem->code, {});
      }
    }
    co_await exchange.respond(std::move(response));
    co_return;
  }
  const auto active_request = std::make_shared<ActiveRequest>(
      context_, state_, exchange, std::move(std::get<RelayRequest>(admitted)));
  co_await active_request->run();
}

bool RelayRole::ready() const {
  return !state_.stopping && state_.routes && state_.lease.holds(clock_.monotonicMs());
}

http::awaitable<void> RelayRole::handleReady(http::Exchange& exchange) {
  const bool known = exchange.path() == adapters_.dialect.paths().ready;
  const http::Status refusal = known ? http::Status::service_unavailable : http::Status::not_found;
  http::Response response =
      http::makeResponse(known && ready() ? http::Status::ok : refusal, "text/plain", "");
  co_await exchange.respond(std::move(response));
}

http::awaitable<void> RelayRole::handleResolve(http::Exchange& exchange) {
  if (exchange.path() != adapters_.dialect.paths().resolve) {
    http::Response response = http::makeResponse(http::Status::not_found, "text/plain", "");
    co_await exchange.respond(std::move(response));
    co_return;
  }
  const std::vector<std::string> chosen = relay::selectAddresses(
      relays_, settings_.zones,
      relay::AddressQuery{
          .zone = http::queryParameter(exchange.target(), adapters_.dialect.zoneParameter())
                      .value_or(""),
          .region = http::queryParameter(exchange.target(), adapters_.dialect.regionParameter())
                        .value_or(""),
          .own_address = settings_.caller_address,
          .confirmed_recently = state_.lease.isFresh(clock_.monotonicMs()),
          .services = servicesOfHost(exchange.target()),
          .draw = random_.next()});
  http::Response response =
      http::makeResponse(http::Status::ok, "application/json",
                         adapters_.dialect.addresses(chosen, addressesLifetimeS()));
  co_await exchange.respond(std::move(response));
}

/// @return fingerprints of the services that the host in a query for addresses uses.
std::vector<uint64_t> RelayRole::servicesOfHost(std::string_view target) const {
  const auto host = http::queryParameter(target, adapters_.dialect.hostParameter());
  std::vector<uint64_t> services;
  if (host && state_.routes) {
    for (const std::string& service : state_.routes->servicesOf(*host)) {
      services.push_back(relay::serviceFingerprint(service));
    }
  }
  return services;
}

uint32_t RelayRole::addressesLifetimeS() const {
  const relay::AddressLifetimes lifetimes{
      .ordinary_s = settings_.bounds.endpoints_ttl_s,
      .degraded_s = state_.policy.address_lifetimes ? settings_.bounds.degraded_endpoints_ttl_s
                                                    : settings_.bounds.endpoints_ttl_s};
  return relay::addressesLifetimeS(relays_, lifetimes);
}

http::awaitable<void> RelayRole::readRunnersWithoutGroup() {
  asio::steady_timer timer(context_);
  while (true) {
    const auto jitter_ms = static_cast<int64_t>(random_.below(kOwnListJitterMs));
    timer.expires_after(std::chrono::milliseconds(kOwnListPollMs + jitter_ms));
    co_await timer.async_wait(kAwait);
    const int64_t now = clock_.monotonicMs();
    // Before its first lease a relay does not know the number of relays, so it leaves the call rate
    // to the group for longer.
    const int64_t silent_ms = state_.lease.everConfirmed() ? kGroupSilentMs : kGroupSilentAtStartMs;
    // While the group is silent all relays read the list, and share the platform's call rate.
    const int64_t period_ms = relay::listPeriodMs(relay::ListPollOptions{
        .pages = reader_.pages(),
        .readers = std::max<size_t>(static_cast<size_t>(relays_.relays_size()), kMinAssumedReaders),
        .calls_per_s = settings_.runner_list_calls,
        .desired_period_ms = kOwnListPollMs});
    if (now - last_group_reply_ms_ < silent_ms || now - own_list_read_ms_ < period_ms) {
      continue;
    }
    own_list_read_ms_ = now;
    Result<v1::RunnerList> list = co_await reader_.read();
    const bool still_silent = clock_.monotonicMs() - last_group_reply_ms_ >= kGroupSilentMs;
    if (isError(list)) {
      line_log::write("runner_list_unread", {{"error", errorOf(list).message}});
    } else if (still_silent) {
      state_.runners.setList(std::get<v1::RunnerList>(list), clock_.monotonicMs());
    }
  }
}

/// Detects that the process was suspended. If so, interrupts requests whose deadline has passed and
/// renews the lease immediately, so that no request is served with outdated state.
void RelayRole::checkForSuspension() {
  const int64_t now_ms = clock_.monotonicMs();
  const bool suspended =
      now_ms - std::exchange(last_housekeeping_ms_, now_ms) >= kSuspensionThresholdMs;
  if (!suspended) {
    return;
  }
  line_log::write("awake", {{"lease_age_ms", state_.lease.ageMs(now_ms)}});
  for (ActiveRequest* active_request : state_.active_requests) {
    active_request->checkDeadline();
  }
  control_.renewNow();
}

void RelayRole::housekeep() {
  checkForSuspension();
  logBodyRefusals();
  state_.connections.dropExpired();
  if (state_.path_prober) {
    const int64_t now_ms = clock_.monotonicMs();
    for (ActiveRequest* active_request : state_.active_requests) {
      active_request->checkForSilence(now_ms);
    }
    state_.path_prober->tick();
  }
  slot_client_->tick();
  prefix_client_->tick();
  stream_origins_->tick();
  // A runner that declined counts as full for a limited time. Nothing else signals the end of this
  // time to queued requests.
  state_.queue.wakeNextOfEachService();
  housekeeping_.expires_after(kHousekeepingPeriod);
  housekeeping_.async_wait([this](boost::system::error_code failure) {
    if (!failure) {
      housekeep();
    }
  });
}

void RelayRole::reload(const settings::RelaySettings& settings) {
  control_.setSeeds(settings.seedLinkAddresses());
}

void RelayRole::stop(std::function<void()> stopped) {
  state_.stopping = true;
  control_.renewNow();
  detached_task::spawnEssential(context_.get_executor(), "stop", drain(std::move(stopped)));
}

http::awaitable<void> RelayRole::drain(std::function<void()> stopped) {
  const int64_t begin = clock_.monotonicMs();
  asio::steady_timer timer(context_);
  caller_server_.closeConnections();
  forward_server_.closeConnections();
  timer.expires_after(kAcceptWhileStopping);
  co_await timer.async_wait(kAwait);
  state_.refusing = true;
  caller_server_.stopAccepting();
  caller_server_.closeIdle();
  forward_server_.stopAccepting();
  forward_server_.closeIdle();
  const auto requestsInProgress = [this] {
    return caller_server_.requestsInProgress() + forward_server_.requestsInProgress();
  };
  const auto connectionsClosing = [this] {
    return caller_server_.connectionsClosing() + forward_server_.connectionsClosing();
  };
  // The servers first accept what waits in their backlogs.
  timer.expires_after(kHousekeepingPeriod);
  co_await timer.async_wait(kAwait);
  const auto last =
      begin + static_cast<int64_t>(kStopFraction * static_cast<double>(settings_.bounds.stop_ms));
  while (requestsInProgress() + connectionsClosing() > 0 && clock_.monotonicMs() < last) {
    timer.expires_after(kHousekeepingPeriod);
    co_await timer.async_wait(kAwait);
  }
  control_.stop();
  line_log::write("drained",
                  {{"left", requestsInProgress()}, {"ms", clock_.monotonicMs() - begin}});
  stopped();
}

} // namespace workshatch::daemon
