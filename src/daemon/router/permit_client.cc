#include "daemon/router/permit_client.h"

#include <utility>

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <nlohmann/json.hpp>

#include "adapters/logging/json_log.h"
#include "core/routing/engine_owner.h"

namespace workshatch::daemon {

namespace asio = boost::asio;

namespace {

constexpr int kMaxAttempts = 3;
/// A queued request is sent again after this long, in case the owner's reply was lost.
constexpr std::chrono::milliseconds kQueuedRetryInterval{300};
/// Limit on the permits in one report datagram, so that it fits into one MTU.
constexpr size_t kMaxPermitsPerReport = 8;

} // namespace

PermitClient::PermitClient(std::string name, uint64_t incarnation, RouterTables& tables,
                           datagram::PeerSocket& socket, const Clock& clock,
                           metrics::RouterStats& stats, uint32_t timeout_ms)
    : name_(std::move(name)), incarnation_(incarnation), tables_(tables), socket_(socket),
      clock_(clock), stats_(stats), timeout_ms_(timeout_ms) {}

v1::PermitRequest PermitClient::requestFor(const PermitParameters& parameters) {
  v1::PermitRequest request;
  request.mutable_permit()->set_router(name_);
  request.mutable_permit()->set_incarnation(incarnation_);
  request.mutable_permit()->set_sequence(++sequence_);
  request.set_request_id(parameters.request_id);
  request.set_engine(parameters.engine.engine);
  request.set_service(parameters.engine.service);
  request.set_tenant(parameters.tenant);
  request.set_cost(parameters.cost);
  request.set_session(parameters.session);
  request.set_priority(parameters.priority);
  request.set_wait_ms(parameters.wait_ms);
  request.set_no_redirect(parameters.no_redirect);
  return request;
}

asio::awaitable<PermitResult> PermitClient::acquire(PermitParameters parameters) {
  PermitResult result;
  const serving::ServingSnapshot serving_snapshot = tables_.snapshot();
  const v1::RouterEntry* owner =
      routing::ownerOf(*serving_snapshot.view, parameters.engine.engine, parameters.engine.zone);
  if (owner == nullptr) {
    result.verdict = v1::PERMIT_NOT_OWNER;
    co_return result;
  }
  const v1::PermitRequest request = requestFor(parameters);
  const bool local = owner->name() == name_;
  if (local && !tables_.mayServe()) {
    // Without a serving lease, another router may already own the engine.
    result.verdict = v1::PERMIT_NOT_OWNER;
    co_return result;
  }
  PermitRecord record;
  *record.held_permit.mutable_permit() = request.permit();
  record.held_permit.set_engine(parameters.engine.engine);
  record.held_permit.set_service(parameters.engine.service);
  record.held_permit.set_tenant(parameters.tenant);
  record.held_permit.set_cost(parameters.cost);
  record.zone = parameters.engine.zone;
  // The permit is recorded before it is requested, because receive() releases a granted permit that
  // has no record.
  tables_.addHeldPermit(record);
  const v1::PermitReply reply = co_await requestPermit(request, owner->peer_address(), local);
  result.permit = request.permit();
  result.verdict = reply.verdict();
  result.redirect_engine = reply.redirect_engine();
  result.retry_after_ms = reply.retry_after_ms();
  result.owner = owner->name();
  if (reply.verdict() == v1::PERMIT_GRANTED) {
    tables_.markGranted(request.permit());
    ++(local ? stats_.permits_local_total : stats_.permits_remote_total);
    co_return result;
  }
  const bool owner_may_hold_permit =
      reply.verdict() == v1::PERMIT_VERDICT_UNSPECIFIED || reply.verdict() == v1::PERMIT_QUEUED;
  if (owner_may_hold_permit) {
    ++stats_.permit_timeouts_total;
    release(request.permit());
  } else {
    tables_.removeHeldPermit(request.permit());
  }
  if (reply.verdict() == v1::PERMIT_FULL) {
    ++stats_.permit_full_total;
  }
  co_return result;
}

asio::awaitable<void> PermitClient::awaitReply(std::shared_ptr<PendingRequest> pending,
                                               std::chrono::milliseconds timeout) {
  if (!pending->answered) {
    pending->timer.expires_after(timeout);
    co_await pending->timer.async_wait(asio::as_tuple(asio::use_awaitable));
  }
}

asio::awaitable<v1::PermitReply> PermitClient::requestPermit(const v1::PermitRequest& request,
                                                             const std::string& owner_address,
                                                             bool local) {
  const auto pending = std::make_shared<PendingRequest>(co_await asio::this_coro::executor);
  const uint64_t sequence = request.permit().sequence();
  {
    const std::lock_guard lock(mutex_);
    pending_requests_[sequence] = pending;
  }
  const int64_t queue_deadline = clock_.monotonicMs() + request.wait_ms();
  v1::PermitReply reply;
  bool queued = false;
  for (int unanswered = 0; unanswered < kMaxAttempts;) {
    pending->answered = false;
    if (local) {
      reply = tables_.withPermitTable([&](admission::PermitTable& permit_table) {
        return permit_table.request(request, clock_.monotonicMs());
      });
    } else {
      v1::PeerDatagram datagram;
      *datagram.mutable_permit_request() = request;
      socket_.send(owner_address, std::move(datagram));
      const std::chrono::milliseconds timeout(timeout_ms_);
      co_await awaitReply(pending, queued ? std::max(kQueuedRetryInterval, timeout) : timeout);
      if (!pending->answered) {
        ++unanswered;
        continue;
      }
      unanswered = 0;
      reply = pending->reply;
    }
    if (reply.verdict() != v1::PERMIT_QUEUED) {
      break;
    }
    queued = true;
    pending->answered = false;
    co_await awaitReply(pending, kQueuedRetryInterval);
    if (pending->answered) {
      reply = pending->reply;
      if (reply.verdict() != v1::PERMIT_QUEUED) {
        break;
      }
    }
    if (clock_.monotonicMs() > queue_deadline + kQueuedRetryInterval.count()) {
      break;
    }
  }
  const std::lock_guard lock(mutex_);
  pending_requests_.erase(sequence);
  co_return reply;
}

void PermitClient::deliverReply(const v1::PermitReply& reply) {
  std::shared_ptr<PendingRequest> pending;
  {
    const std::lock_guard lock(mutex_);
    const auto found = pending_requests_.find(reply.permit().sequence());
    if (found != pending_requests_.end()) {
      pending = found->second;
    }
  }
  if (pending) {
    asio::post(pending->executor, [pending, reply] {
      pending->reply = reply;
      pending->answered = true;
      pending->timer.cancel();
    });
  }
}

void PermitClient::release(const v1::PermitId& permit) {
  const std::optional<PermitRecord> record = tables_.removeHeldPermit(permit);
  if (!record) {
    return;
  }
  const PendingRelease release{
      .permit = permit, .engine = record->held_permit.engine(), .zone = record->zone};
  {
    const std::lock_guard lock(mutex_);
    pending_releases_[permit.sequence()] = release;
  }
  sendRelease(release);
}

void PermitClient::sendRelease(const PendingRelease& release) {
  const serving::ServingSnapshot serving_snapshot = tables_.snapshot();
  const v1::RouterEntry* owner =
      routing::ownerOf(*serving_snapshot.view, release.engine, release.zone);
  if (owner == nullptr || owner->name() == name_) {
    tables_.withPermitTable([&](admission::PermitTable& permit_table) {
      permit_table.release(release.permit, release.engine);
    });
    sendDueReplies();
    const std::lock_guard lock(mutex_);
    pending_releases_.erase(release.permit.sequence());
    return;
  }
  v1::PeerDatagram datagram;
  *datagram.mutable_permit_release()->mutable_permit() = release.permit;
  datagram.mutable_permit_release()->set_engine(release.engine);
  socket_.send(owner->peer_address(), std::move(datagram));
}

void PermitClient::recordSessionMove(const routing::EngineInfo& first_choice, uint64_t session,
                                     const std::string& engine) {
  v1::SessionMoved moved;
  moved.set_service(first_choice.service);
  moved.set_session(session);
  moved.set_engine(engine == first_choice.engine ? "" : engine);
  const serving::ServingSnapshot serving_snapshot = tables_.snapshot();
  const v1::RouterEntry* owner =
      routing::ownerOf(*serving_snapshot.view, first_choice.engine, first_choice.zone);
  if (owner == nullptr) {
    return;
  }
  if (owner->name() == name_) {
    tables_.withPermitTable([&](admission::PermitTable& permit_table) {
      permit_table.recordSessionMove(moved, clock_.monotonicMs());
    });
    return;
  }
  v1::PeerDatagram datagram;
  *datagram.mutable_session_moved() = std::move(moved);
  socket_.send(owner->peer_address(), std::move(datagram));
}

std::string PermitClient::addressOf(const std::string& router) const {
  const serving::ServingSnapshot serving_snapshot = tables_.snapshot();
  for (const v1::RouterEntry& entry : serving_snapshot.view->routers()) {
    if (entry.name() == router) {
      return entry.peer_address();
    }
  }
  return "";
}

void PermitClient::sendReply(const std::string& router, const v1::PermitReply& reply) {
  if (router == name_) {
    deliverReply(reply);
    return;
  }
  const std::string address = addressOf(router);
  if (!address.empty()) {
    v1::PeerDatagram datagram;
    *datagram.mutable_permit_reply() = reply;
    socket_.send(address, std::move(datagram));
  }
}

void PermitClient::receive(const v1::PeerDatagram& datagram) {
  switch (datagram.body_case()) {
  case v1::PeerDatagram::kPermitRequest:
    receiveRequest(datagram);
    break;
  case v1::PeerDatagram::kPermitReply: {
    const v1::PermitReply& reply = datagram.permit_reply();
    deliverReply(reply);
    const bool not_held = reply.verdict() == v1::PERMIT_GRANTED &&
                          reply.permit().incarnation() == incarnation_ &&
                          !tables_.holdsPermit(reply.permit());
    if (not_held) {
      v1::PeerDatagram release;
      *release.mutable_permit_release()->mutable_permit() = reply.permit();
      release.mutable_permit_release()->set_engine(reply.engine());
      socket_.send(addressOf(datagram.sender()), std::move(release));
    }
    break;
  }
  case v1::PeerDatagram::kPermitRelease: {
    const v1::PermitRelease& release = datagram.permit_release();
    tables_.withPermitTable([&](admission::PermitTable& permit_table) {
      permit_table.release(release.permit(), release.engine());
    });
    v1::PeerDatagram ack;
    *ack.mutable_release_ack()->mutable_permit() = release.permit();
    socket_.send(addressOf(datagram.sender()), std::move(ack));
    sendDueReplies();
    break;
  }
  case v1::PeerDatagram::kReleaseAck: {
    const std::lock_guard lock(mutex_);
    pending_releases_.erase(datagram.release_ack().permit().sequence());
    break;
  }
  case v1::PeerDatagram::kSessionMoved:
    tables_.withPermitTable([&](admission::PermitTable& permit_table) {
      permit_table.recordSessionMove(datagram.session_moved(), clock_.monotonicMs());
    });
    break;
  case v1::PeerDatagram::kHeldPermits:
    receiveHeldPermits(datagram);
    break;
  case v1::PeerDatagram::kHeldPermitsAck: {
    const std::lock_guard lock(mutex_);
    pending_reports_.erase(datagram.held_permits_ack().sequence());
    break;
  }
  default:
    break;
  }
}

void PermitClient::receiveRequest(const v1::PeerDatagram& datagram) {
  v1::PermitReply reply;
  if (tables_.mayServe()) {
    reply = tables_.withPermitTable([&](admission::PermitTable& permit_table) {
      return permit_table.request(datagram.permit_request(), clock_.monotonicMs());
    });
  } else {
    *reply.mutable_permit() = datagram.permit_request().permit();
    reply.set_verdict(v1::PERMIT_NOT_OWNER);
  }
  reply.set_engine(datagram.permit_request().engine());
  sendReply(datagram.sender(), reply);
  logging::write(logging::Severity::Info, "permit_decision",
                 {{"request_id", datagram.permit_request().request_id()},
                  {"asked_by", datagram.sender()},
                  {"engine", reply.engine()},
                  {"verdict", v1::PermitVerdict_Name(reply.verdict())}});
}

void PermitClient::receiveHeldPermits(const v1::PeerDatagram& datagram) {
  tables_.withPermitTable([&](admission::PermitTable& permit_table) {
    for (const v1::HeldPermit& held_permit : datagram.held_permits().permits()) {
      permit_table.adoptPermit(held_permit);
    }
  });
  v1::PeerDatagram ack;
  ack.mutable_held_permits_ack()->set_view(datagram.held_permits().view());
  ack.mutable_held_permits_ack()->set_sequence(datagram.held_permits().sequence());
  socket_.send(addressOf(datagram.sender()), std::move(ack));
}

void PermitClient::sendDueReplies() {
  if (!tables_.mayServe()) {
    return;
  }
  const std::vector<v1::PermitReply> replies =
      tables_.withPermitTable([&](admission::PermitTable& permit_table) {
        return permit_table.takeDueReplies(clock_.monotonicMs());
      });
  for (const v1::PermitReply& reply : replies) {
    sendReply(reply.permit().router(), reply);
  }
}

void PermitClient::tick() {
  sendDueReplies();
  std::vector<PendingRelease> unacknowledged;
  {
    const std::lock_guard lock(mutex_);
    for (const auto& [sequence, release] : pending_releases_) {
      unacknowledged.push_back(release);
    }
  }
  for (const PendingRelease& release : unacknowledged) {
    sendRelease(release);
  }
  reportHeldPermits();
}

void PermitClient::prepareReports(const v1::View& view) {
  std::map<std::string, std::vector<HeldReport>> by_owner;
  for (const PermitRecord& record : tables_.heldPermits()) {
    const v1::RouterEntry* owner = routing::ownerOf(view, record.held_permit.engine(), record.zone);
    if (owner == nullptr || !record.granted) {
      // A permit that is not granted yet will be requested again. If it were reported, the owner
      // would count it as load permanently.
      continue;
    }
    if (owner->name() == name_) {
      tables_.withPermitTable([&](admission::PermitTable& permit_table) {
        permit_table.adoptPermit(record.held_permit);
      });
      continue;
    }
    std::vector<HeldReport>& reports = by_owner[owner->name()];
    if (reports.empty() || reports.back().permits.size() == kMaxPermitsPerReport) {
      reports.push_back(HeldReport{.address = owner->peer_address(), .permits = {}});
    }
    reports.back().permits.push_back(record.held_permit);
  }
  const std::lock_guard lock(mutex_);
  report_view_ = view.number();
  pending_reports_.clear();
  for (auto& [owner, reports] : by_owner) {
    for (HeldReport& report : reports) {
      pending_reports_[++sequence_] = std::move(report);
    }
  }
}

void PermitClient::reportHeldPermits() {
  const serving::ServingSnapshot serving_snapshot = tables_.snapshot();
  const uint64_t view = serving_snapshot.view->number();
  if (tables_.reportedView() >= view) {
    return;
  }
  bool prepared = false;
  {
    const std::lock_guard lock(mutex_);
    prepared = report_view_ == view;
  }
  if (!prepared) {
    prepareReports(*serving_snapshot.view);
  }
  std::map<uint64_t, HeldReport> unacknowledged;
  {
    const std::lock_guard lock(mutex_);
    unacknowledged = pending_reports_;
  }
  if (unacknowledged.empty()) {
    tables_.setReportedView(view);
    return;
  }
  for (const auto& [number, report] : unacknowledged) {
    v1::PeerDatagram datagram;
    datagram.mutable_held_permits()->set_view(view);
    datagram.mutable_held_permits()->set_sequence(number);
    for (const v1::HeldPermit& held_permit : report.permits) {
      if (tables_.holdsPermit(held_permit.permit())) {
        *datagram.mutable_held_permits()->add_permits() = held_permit;
      }
    }
    socket_.send(report.address, std::move(datagram));
  }
}

} // namespace workshatch::daemon
