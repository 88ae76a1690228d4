#include "daemon/group/group_role.h"

#include <algorithm>
#include <chrono>
#include <utility>

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/use_awaitable.hpp>

#include "adapters/detached_task.h"
#include "adapters/http/problem.h"
#include "adapters/logging/line_log.h"
#include "adapters/metrics/text_format.h"
#include "core/relay/group_state.h"
#include "core/relay/list_period.h"
#include "core/relay/served_versions.h"
#include "core/relay/serving_lease.h"
#include "daemon/group/founder_identity.h"
#include "daemon/server_limits.h"

namespace workshatch::daemon {

namespace asio = boost::asio;

namespace {

constexpr auto kAwait = asio::as_tuple(asio::use_awaitable);
/// Interval at which the replica checks whether a read of the runner list is due; bounds the delay
/// after which a new leader starts to read.
constexpr std::chrono::milliseconds kListPollPeriod{80};
/// Time for the last messages of a leadership transfer.
constexpr std::chrono::milliseconds kHandOverDelay{600};
/// Maximum time to finish responses to operators when the replica stops. A response without a body
/// takes one round trip, and a configuration of 1 MB about 100 ms at 100 Mbit/s.
constexpr std::chrono::milliseconds kAnswerTimeout{200};
constexpr std::chrono::milliseconds kAnswerPoll{5};
/// Maximum time to hand the vote over after the leadership; two membership changes take about half
/// a second.
constexpr std::chrono::milliseconds kLeaveTimeout{2000};
constexpr std::chrono::milliseconds kLeavePoll{20};
/// Interval at which the replica checks whether a log line about its membership is due.
constexpr std::chrono::milliseconds kMembershipReportPeriod{250};
constexpr uint64_t kMsPerSecond = 1000;

GroupOptions groupOptions(const settings::RelaySettings& settings, const std::string& own) {
  GroupOptions options;
  options.own_address = own;
  options.seeds = settings.seedLinkAddresses();
  options.voters = std::max<size_t>(options.voters, 2 * size_t{settings.replica_losses} + 1);
  return options;
}

/// @return the kind of a frame in log lines.
const char* kindOf(const v1::Frame& frame) {
  switch (frame.body_case()) {
  case v1::Frame::kRaft:
    return "raft";
  case v1::Frame::kHello:
    return "hello";
  case v1::Frame::kJoin:
    return "join";
  case v1::Frame::kMembersNotice:
    return "members_notice";
  case v1::Frame::kRenewal:
    return "renewal";
  default:
    return "other";
  }
}

/// @return the identity of an empty data folder; zero: a random one.
uint64_t firstIdentity(const settings::RelaySettings& settings, const std::string& own) {
  const std::vector<std::string> seeds = settings.seedLinkAddresses();
  const bool founder =
      settings.first_start && std::find(seeds.begin(), seeds.end(), own) != seeds.end();
  return founder ? founderIdentity(own) : 0;
}

} // namespace

GroupRole::GroupRole(settings::RelaySettings settings, WorkerPool& workers, const Clock& clock,
                     RelayAdapters adapters)
    : settings_(std::move(settings)), clock_(clock), context_(workers.context(0)),
      adapters_(adapters), link_address_(settings_.linkAddress()),
      random_(SeededRandom::fromEntropy()),
      store_(settings_.data_folder, random_, firstIdentity(settings_, link_address_)),
      links_(context_, clock, link_address_),
      replica_(context_, groupOptions(settings_, link_address_), store_, clock, random_, links_),
      membership_report_(line_log::write,
                         [this](const std::string& address) { return links_.isOpen(address); }),
      lease_service_(
          context_, replica_, clock, settings_.link_mbps, adapters.configurations,
          ServedVersionOptions{.enabled = settings_.policy.stream_versions,
                               .lease_ms = relay::leaseLengthMs(settings_.bounds.revoked_key_ms)}),
      operator_api_(
          context_, replica_, clock, adapters.configurations, adapters.dialect,
          settings_.operator_address.substr(settings_.operator_address.rfind(':') + 1),
          [this](const std::string& zone) { return zoneExists(zone); },
          [this]() -> const v1::RunnerList& { return lease_service_.runners(); }),
      reader_(context_, clock_, settings_.runner_list_address, adapters.runner_lists),
      listener_(context_),
      operator_server_(
          workers, operatorLimits(),
          [this](http::Exchange& exchange) { return operator_api_.handle(exchange); },
          refuseBadRequest),
      metrics_server_(
          workers, smallLimits(),
          [this](http::Exchange& exchange) { return serveMetrics(exchange); }, refuseBadRequest),
      log_flusher_(context_), memory_watch_(context_), stop_timer_(context_) {
  operator_server_.limitBodies(operatorBodies(settings_.memory_bytes));
}

Result<std::monostate> GroupRole::start() {
  replica_.setHelloSender([this](const std::string& address, v1::ReplicaHello hello) {
    v1::Frame frame;
    *frame.mutable_hello() = std::move(hello);
    membership_report_.asked(address);
    links_.sendFrame(address, frame);
  });
  replica_.setJoinSender([this](const std::string& address, v1::JoinRequest request) {
    v1::Frame frame;
    *frame.mutable_join() = std::move(request);
    membership_report_.asked(address);
    links_.sendFrame(address, frame);
  });
  replica_.setNoticeSender([this](const std::string& address, v1::MembersNotice notice) {
    v1::Frame frame;
    *frame.mutable_members_notice() = std::move(notice);
    links_.sendFrame(address, frame);
  });
  replica_.setLeaveSender([this](const std::string& address, v1::LeaveRequest request) {
    v1::Frame frame;
    *frame.mutable_leave() = std::move(request);
    links_.sendFrame(address, frame);
  });
  replica_.setLeaveReplySender([this](const std::string& address, v1::LeaveReply reply) {
    v1::Frame frame;
    *frame.mutable_leave_reply() = std::move(reply);
    links_.sendFrame(address, frame);
  });
  replica_.onChange([this] { lease_service_.stateChanged(); });
  replica_.onLeaderKnown([this] { lease_service_.leaderKnown(); });
  if (auto started = replica_.start(); isError(started)) {
    return started;
  }
  auto listening = listener_.listen(link_address_, [this](const auto& link) { accept(link); });
  if (isError(listening)) {
    return listening;
  }
  auto serving = operator_server_.listen(settings_.operator_address);
  if (isError(serving)) {
    return errorOf(serving);
  }
  if (!settings_.metrics_address.empty()) {
    auto metrics_serving = metrics_server_.listen(settings_.metrics_address);
    if (isError(metrics_serving)) {
      return errorOf(metrics_serving);
    }
  }
  detached_task::spawnLoop(context_.get_executor(), "read_runner_lists",
                           [this] { return readRunnerLists(); });
  detached_task::spawnLoop(context_.get_executor(), "report_membership",
                           [this] { return reportMembership(); });
  log_flusher_.start();
  memory_watch_.start();
  return std::monostate{};
}

/// @return whether the zone exists. Checks the runner list too, since a zone that has only runners
/// appears in no machine's settings.
bool GroupRole::zoneExists(const std::string& zone) const {
  const auto& runners = lease_service_.runners().runners();
  return settings_.zones.empty() || settings_.zones.contains(zone) ||
         std::any_of(runners.begin(), runners.end(),
                     [&](const v1::RunnerEntry& runner) { return runner.zone() == zone; });
}

void GroupRole::accept(const std::shared_ptr<link::FramedLink>& link) {
  struct Sender {
    std::string relay;
    uint64_t incarnation = 0;
  };
  const std::weak_ptr<link::FramedLink> weak = link;
  const auto sender = std::make_shared<Sender>();
  link->start(
      [this, weak, sender](const v1::Frame& frame) {
        if (frame.has_renewal()) {
          sender->relay = frame.renewal().name();
          sender->incarnation = frame.renewal().incarnation();
        }
        if (const auto from = weak.lock()) {
          frameReceived(from, frame);
        }
      },
      [this, sender] { lease_service_.linkClosed(sender->relay, sender->incarnation); });
}

void GroupRole::frameReceived(const std::shared_ptr<link::FramedLink>& link,
                              const v1::Frame& frame) {
  membership_report_.frameReceived(kindOf(frame));
  switch (frame.body_case()) {
  case v1::Frame::kRaft:
    replica_.deliver(frame.raft());
    break;
  case v1::Frame::kHello:
    replica_.helloReceived(frame.hello());
    break;
  case v1::Frame::kJoin:
    replica_.joinReceived(frame.join());
    break;
  case v1::Frame::kMembersNotice:
    replica_.noticeReceived(frame.members_notice());
    break;
  case v1::Frame::kLeave:
    replica_.leaveReceived(frame.leave());
    break;
  case v1::Frame::kLeaveReply:
    replica_.leaveReplyReceived(frame.leave_reply());
    break;
  case v1::Frame::kRenewal:
    lease_service_.handleRenewal(link, frame.renewal());
    break;
  default:
    break;
  }
}

http::awaitable<void> GroupRole::readRunnerLists() {
  asio::steady_timer timer(context_);
  uint64_t read_in_term = 0;
  int64_t read_at_ms = 0;
  while (true) {
    const bool leads = replica_.leads();
    const bool wanted = relay::shouldReadList(leads, replica_.leaderlessForMs());
    const int64_t now = clock_.monotonicMs();
    const auto readers =
        leads ? 1 : std::max<int64_t>(1, static_cast<int64_t>(replica_.voterCount()));
    const int64_t desired_period_ms =
        relay::desiredListPeriodMs(settings_.bounds.leaving_runner_ms);
    // Without a leader, every replica reads the list. Multiplying the period by the number of
    // voters keeps their combined load on the platform at that of a single leader.
    const int64_t period_ms = relay::listPeriodMs(
        relay::ListPollOptions{.pages = reader_.pages(),
                               .calls_per_s = settings_.runner_list_calls,
                               .desired_period_ms = desired_period_ms * readers});
    const bool due = now - read_at_ms >= period_ms || (leads && read_in_term != replica_.term());
    if (wanted && due) {
      read_at_ms = now;
      read_in_term = replica_.term();
      Result<v1::RunnerList> list = co_await reader_.read();
      if (isError(list)) {
        line_log::write("runner_list_unread", {{"error", errorOf(list).message}});
      } else {
        list_read_at_ms_ = clock_.monotonicMs();
        lease_service_.updateRunnerList(std::move(std::get<v1::RunnerList>(list)));
      }
    }
    timer.expires_after(kListPollPeriod);
    co_await timer.async_wait(kAwait);
  }
}

http::awaitable<void> GroupRole::reportMembership() {
  asio::steady_timer timer(context_);
  while (true) {
    membership_report_.update(clock_.monotonicMs(), replica_.membershipView());
    timer.expires_after(kMembershipReportPeriod);
    co_await timer.async_wait(kAwait);
  }
}

http::awaitable<void> GroupRole::serveMetrics(http::Exchange& exchange) {
  std::string text;
  metrics::exposePeakMemory(text);
  replica_.stats().expose(text);
  membership_report_.expose(text);
  metrics::exposeGauge(text, "group_term", "term of the replicated log",
                       static_cast<int64_t>(replica_.term()));
  metrics::exposeGauge(text, "group_leads", "1 while this replica leads with a lease",
                       replica_.leads() ? 1 : 0);
  metrics::exposeGauge(text, "group_knows_leader", "1 while a leader is known",
                       replica_.knowsLeader() ? 1 : 0);
  metrics::exposeGauge(text, "group_voters", "voters of the group",
                       static_cast<int64_t>(replica_.voterCount()));
  metrics::exposeGauge(text, "group_configuration_version", "version stored here",
                       static_cast<int64_t>(replica_.stored().version()));
  metrics::LabelledCounts evacuated;
  for (const v1::EvacuatedZone& zone : replica_.evacuations().zones()) {
    evacuated[zone.zone()] = zone.since_ms() / kMsPerSecond;
  }
  metrics::exposeGauges(text, "group_evacuated_since_s",
                        "when the evacuation of a zone was ordered", "zone", evacuated);
  const RejectedEntries& rejected = reader_.rejected();
  const metrics::LabelledCounts rejected_by_cause = {{"unreadable", rejected.unreadable},
                                                     {"other_type", rejected.other_type},
                                                     {"field", rejected.field},
                                                     {"state", rejected.state},
                                                     {"duplicate", rejected.duplicate}};
  metrics::exposeGauges(text, "group_rejected_entries",
                        "entries of the last list that name no runner, by cause", "cause",
                        rejected_by_cause);
  metrics::exposeGauge(text, "group_runner_list_age_ms",
                       "time since the list of runners was last read whole; -1: never here",
                       list_read_at_ms_ < 0 ? -1 : clock_.monotonicMs() - list_read_at_ms_);
  metrics::exposeGauge(text, "group_quarantined_requests",
                       "requests that reach no runner since they ended some",
                       static_cast<int64_t>(replica_.quarantine().requests_size()));
  metrics::LabelledCounts rollouts;
  for (const v1::Rollout& rollout : replica_.rollouts().rollouts()) {
    ++rollouts[relay::nameOf(rollout.phase())];
  }
  metrics::exposeGauges(text, "group_rollouts", "the last rollouts of services, by phase", "phase",
                        rollouts);
  metrics::LabelledCounts served_versions;
  metrics::LabelledCounts announced_versions;
  for (const v1::ServiceVersions& service : replica_.servedVersions().services()) {
    served_versions[service.service()] = static_cast<uint64_t>(service.versions_size());
    announced_versions[service.service()] = relay::countVersions(service, v1::VERSION_ANNOUNCED);
  }
  metrics::exposeGauges(text, "group_served_versions",
                        "versions at which streams of a service may have begun", "service",
                        served_versions);
  metrics::exposeGauges(text, "group_announced_versions",
                        "of these: no stream begins there until all relays know of it", "service",
                        announced_versions);
  metrics::exposeGauge(text, "group_relays", "relays that renew with this replica",
                       static_cast<int64_t>(lease_service_.relayCount()));
  metrics::exposeGauge(text, "group_runners", "runners in the list that it tells",
                       static_cast<int64_t>(lease_service_.runners().runners_size()));
  http::Response response =
      http::makeResponse(http::Status::ok, metrics::kContentType, std::move(text));
  co_await exchange.respond(std::move(response));
}

void GroupRole::reload(const settings::RelaySettings& settings) {
  replica_.setSeeds(settings.seedLinkAddresses());
}

void GroupRole::stop(std::function<void()> stopped) {
  operator_server_.stopAccepting();
  replica_.leave();
  detached_task::spawnEssential(context_.get_executor(), "stop", finish(std::move(stopped)));
}

http::awaitable<void> GroupRole::finish(std::function<void()> stopped) {
  stop_timer_.expires_after(kHandOverDelay);
  co_await stop_timer_.async_wait(kAwait);
  // Operators whose calls are refused retry at another replica immediately.
  replica_.end();
  operator_server_.closeIdle();
  const int64_t until_ms = clock_.monotonicMs() + kAnswerTimeout.count();
  while (operator_server_.requestsInProgress() + operator_server_.connectionsClosing() > 0 &&
         clock_.monotonicMs() < until_ms) {
    stop_timer_.expires_after(kAnswerPoll);
    co_await stop_timer_.async_wait(kAwait);
  }
  co_await handVoteOver();
  stopped();
}

/// Waits until the replica may end, or until the limit.
http::awaitable<void> GroupRole::handVoteOver() {
  const int64_t begin_ms = clock_.monotonicMs();
  const int64_t until_ms = begin_ms + kLeaveTimeout.count();
  while (!replica_.mayEnd() && clock_.monotonicMs() < until_ms) {
    stop_timer_.expires_after(kLeavePoll);
    co_await stop_timer_.async_wait(kAwait);
  }
  line_log::write("replica_left", {{"id", replica_.id()},
                                   {"keeps_vote", replica_.hasVote()},
                                   {"in_time", replica_.mayEnd()},
                                   {"waited_ms", clock_.monotonicMs() - begin_ms}});
}

} // namespace workshatch::daemon
