#include "daemon/group/redirect_role.h"

#include <chrono>
#include <utility>

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/use_awaitable.hpp>

#include "adapters/detached_task.h"
#include "adapters/http/problem.h"
#include "adapters/logging/line_log.h"
#include "daemon/server_limits.h"

namespace workshatch::daemon {

namespace asio = boost::asio;

namespace {

constexpr auto kAwait = asio::as_tuple(asio::use_awaitable);
constexpr uint32_t kRetryAfterMs = 200;
/// Maximum time to finish responses when the process stops.
constexpr std::chrono::milliseconds kAnswerTimeout{200};
constexpr std::chrono::milliseconds kAnswerPoll{5};

} // namespace

RedirectRole::RedirectRole(settings::RelaySettings settings, WorkerPool& workers,
                           const Clock& clock)
    : settings_(std::move(settings)), context_(workers.context(0)), stop_timer_(context_),
      poll_timer_(context_), links_(context_, clock, settings_.linkAddress()), listener_(context_),
      search_(clock, settings_.linkAddress(), settings_.seedLinkAddresses(),
              [this](const std::string& address, v1::MembersNotice notice) {
                v1::Frame frame;
                *frame.mutable_members_notice() = std::move(notice);
                links_.sendFrame(address, frame);
              }),
      operator_server_(
          workers, operatorLimits(), [this](http::Exchange& exchange) { return handle(exchange); },
          refuseBadRequest),
      log_flusher_(workers.context(0)) {
  operator_server_.limitBodies(operatorBodies());
}

Result<std::monostate> RedirectRole::start() {
  auto listening =
      listener_.listen(settings_.linkAddress(), [this](const auto& link) { accept(link); });
  if (isError(listening)) {
    return listening;
  }
  auto serving = operator_server_.listen(settings_.operator_address);
  if (isError(serving)) {
    return errorOf(serving);
  }
  line_log::write("operators_redirected", {{"seeds", settings_.seeds}});
  pollMembers();
  log_flusher_.start();
  return std::monostate{};
}

void RedirectRole::accept(const std::shared_ptr<link::FramedLink>& link) {
  link->start(
      [this, weak = std::weak_ptr(link)](const v1::Frame& frame) {
        if (const auto from = weak.lock()) {
          frameReceived(*from, frame);
        }
      },
      [] {});
}

void RedirectRole::frameReceived(link::FramedLink& link, const v1::Frame& frame) {
  if (frame.has_members_notice()) {
    search_.noticeReceived(frame.members_notice());
  } else if (frame.has_join()) {
    search_.joinReceived(frame.join());
  } else if (frame.has_renewal()) {
    v1::Frame answer;
    *answer.mutable_lease() = search_.renewalReceived(frame.renewal());
    link.send(answer);
  }
}

void RedirectRole::pollMembers() {
  search_.poll();
  poll_timer_.expires_after(std::chrono::milliseconds(MemberSearch::kPollPeriodMs));
  poll_timer_.async_wait([this](boost::system::error_code failure) {
    if (!failure) {
      pollMembers();
    }
  });
}

/// All machines serve operators at the same port.
std::string RedirectRole::operatorAddressOf(const std::string& link_address) const {
  const std::string port = settings_.operator_address.substr(settings_.operator_address.rfind(':'));
  return link_address.substr(0, link_address.rfind(':')) + port;
}

/// @return the next address in rotation that is not this machine; empty if there is none.
std::string RedirectRole::nextInRotation(const std::vector<std::string>& operator_addresses) {
  for (size_t tried = 0; tried < operator_addresses.size(); ++tried) {
    const std::string& address = operator_addresses[rotation_++ % operator_addresses.size()];
    if (address != settings_.operator_address) {
      return address;
    }
  }
  return "";
}

std::string RedirectRole::redirectTarget() {
  const std::string leader = search_.leader();
  if (!leader.empty()) {
    return operatorAddressOf(leader);
  }
  std::vector<std::string> members;
  for (const std::string& member : search_.members()) {
    members.push_back(operatorAddressOf(member));
  }
  const std::string member = nextInRotation(members);
  return member.empty() ? nextInRotation(settings_.seeds) : member;
}

http::awaitable<void> RedirectRole::handle(http::Exchange& exchange) {
  const std::string target = redirectTarget();
  http::Response response;
  if (target.empty()) {
    response = http::makeProblem(http::Problem{.status = http::Status::service_unavailable,
                                               .code = "no_replica",
                                               .detail = "no replica is known",
                                               .retry_after_ms = kRetryAfterMs});
  } else {
    response = http::makeProblem(http::Problem{.status = http::Status::temporary_redirect,
                                               .code = "not_a_replica",
                                               .detail = "this machine holds no replica"});
    response.set(http::Field::location, "http://" + target + std::string(exchange.target()));
  }
  co_await exchange.respond(std::move(response));
}

void RedirectRole::reload(const settings::RelaySettings& settings) {
  settings_.seeds = settings.seeds;
  search_.setSeeds(settings.seedLinkAddresses());
}

void RedirectRole::stop(std::function<void()> stopped) {
  operator_server_.stopAccepting();
  operator_server_.closeIdle();
  detached_task::spawnEssential(context_.get_executor(), "stop", finish(std::move(stopped)));
}

/// Waits until the calls that have arrived are answered, or until the limit.
http::awaitable<void> RedirectRole::finish(std::function<void()> stopped) {
  const auto until = std::chrono::steady_clock::now() + kAnswerTimeout;
  do {
    stop_timer_.expires_after(kAnswerPoll);
    co_await stop_timer_.async_wait(kAwait);
  } while (operator_server_.requestsInProgress() + operator_server_.connectionsClosing() > 0 &&
           std::chrono::steady_clock::now() < until);
  stopped();
}

} // namespace workshatch::daemon
