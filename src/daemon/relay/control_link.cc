#include "daemon/relay/control_link.h"

#include <algorithm>
#include <chrono>
#include <utility>

#include "adapters/logging/line_log.h"
#include "core/relay/renewal_period.h"

namespace workshatch::daemon {

namespace {

/// Period of the steps while no leader has confirmed a renewal; shorter than the renewal period.
constexpr std::chrono::milliseconds kLeaderSearchPeriod{80};
/// A link is closed when nothing is received on it for the longer of this time and this number of
/// renewal periods.
constexpr int64_t kSilenceTimeoutMs = 800;
constexpr int64_t kSilenceTimeoutPeriods = 3;
/// Maximum number of connection attempts between two steps.
constexpr uint32_t kDialsPerStep = 3;
/// The link is closed after this many replies of a replica that knows no leader.
constexpr uint32_t kMaxUnconfirmed = 2;

} // namespace

ControlLink::ControlLink(boost::asio::io_context& context, const Clock& clock,
                         std::string own_machine, std::vector<std::string> seeds,
                         RenewalSource make_renewal, ReplyHandler on_reply)
    : context_(context), clock_(clock), own_machine_(std::move(own_machine)),
      directory_("", std::move(seeds)), search_(line_log::write),
      make_renewal_(std::move(make_renewal)), on_reply_(std::move(on_reply)), timer_(context),
      dialer_(context) {}

void ControlLink::start() {
  step();
  schedule();
}

void ControlLink::stop() {
  timer_.cancel();
  dialer_.cancel();
  if (link_) {
    link_->close();
    link_.reset();
  }
}

void ControlLink::schedule() {
  timer_.expires_after(confirmed_ ? renew_period_ : kLeaderSearchPeriod);
  timer_.async_wait([this](boost::system::error_code failure) {
    if (failure) {
      return;
    }
    step();
    schedule();
  });
}

void ControlLink::step() {
  dials_left_ = kDialsPerStep;
  if (!confirmed_) {
    search_.searching(clock_.monotonicMs());
  }
  if (!link_) {
    if (!dialing_) {
      dialNext();
    }
    return;
  }
  recordActivity();
  const int64_t silent_ms =
      std::max(kSilenceTimeoutMs, kSilenceTimeoutPeriods * renew_period_.count());
  if (clock_.monotonicMs() - last_activity_ms_ > silent_ms) {
    drop("silent");
    dialNext();
    return;
  }
  renew();
}

/// Counts received bytes instead of frames, since receiving one large frame may take longer than
/// the silence timeout.
void ControlLink::recordActivity() {
  const uint64_t bytes = link_->bytesReceived();
  if (std::exchange(last_received_bytes_, bytes) != bytes) {
    last_activity_ms_ = clock_.monotonicMs();
  }
}

void ControlLink::reconnect() {
  if (link_) {
    drop("reconnect");
  }
}

ControlLink::Traffic ControlLink::traffic() const {
  Traffic traffic = earlier_traffic_;
  if (link_) {
    traffic.sent += link_->bytesQueued();
    traffic.received += link_->bytesReceived();
  }
  return traffic;
}

void ControlLink::renewNow() {
  if (link_) {
    renew();
  }
}

void ControlLink::renew() {
  v1::Frame frame;
  const bool first = std::exchange(first_on_link_, false);
  *frame.mutable_renewal() = make_renewal_(first);
  if (first) {
    for (const std::string& member : directory_.members()) {
      frame.mutable_renewal()->add_known_members(member);
    }
  }
  link_->send(frame);
}

std::string ControlLink::nextCandidate() {
  if (!hinted_leader_.empty()) {
    return std::exchange(hinted_leader_, {});
  }
  std::vector<std::string> candidates = directory_.candidates(clock_.monotonicMs());
  const bool listed =
      std::find(candidates.begin(), candidates.end(), own_machine_) != candidates.end();
  if (!listed && !own_machine_.empty()) {
    candidates.push_back(own_machine_);
  }
  return candidates.empty() ? "" : candidates[candidate_++ % candidates.size()];
}

void ControlLink::dialNext() {
  // Prevents a busy loop when addresses refuse connections immediately or when two replicas each
  // name the other one as the leader.
  if (dials_left_ == 0) {
    return;
  }
  --dials_left_;
  const std::string address = nextCandidate();
  if (!address.empty()) {
    dial(address);
  }
}

void ControlLink::dial(const std::string& address) {
  dialing_ = true;
  dialer_.dial(address, link::kDialTimeout,
               [this, address](std::shared_ptr<link::FramedLink> link) {
                 dialing_ = false;
                 if (!link) {
                   search_.tried(address, "unreachable");
                   dialNext();
                   return;
                 }
                 link_ = std::move(link);
                 link_address_ = address;
                 last_activity_ms_ = clock_.monotonicMs();
                 last_received_bytes_ = 0;
                 unconfirmed_ = 0;
                 first_on_link_ = true;
                 link_->start([this](const v1::Frame& frame) { onFrame(frame); },
                              [this] { drop("closed"); });
                 renew();
               });
}

void ControlLink::drop(const char* reason) {
  if (std::exchange(confirmed_, false)) {
    // The most likely candidates come first again.
    candidate_ = 0;
  }
  line_log::write("control_link_lost", {{"address", link_address_}, {"reason", reason}});
  search_.tried(link_address_, reason);
  earlier_traffic_ = traffic();
  if (link_) {
    const auto link = std::exchange(link_, nullptr);
    link->close();
  }
}

/// Handles the announcement of a leader by a replica that knew none before.
void ControlLink::onLeaderAnnounced(const std::string& address) {
  if (address == link_address_) {
    renew();
    return;
  }
  hinted_leader_ = address;
  drop("not_leader");
  dialNext();
}

void ControlLink::onFrame(const v1::Frame& frame) {
  if (!frame.has_lease()) {
    return;
  }
  const v1::LeaseReply& reply = frame.lease();
  const std::vector<std::string> members(reply.members().begin(), reply.members().end());
  // Only a majority proves that the sender belongs to the group.
  if (reply.confirmed()) {
    directory_.setMembers(members);
  } else {
    directory_.addContacts(members, clock_.monotonicMs());
  }
  if (reply.sequence() == 0 && !reply.leader_address().empty()) {
    onLeaderAnnounced(reply.leader_address());
    return;
  }
  if (reply.renew_now()) {
    renew();
    return;
  }
  if (reply.sequence() == 0 || reply.confirmed()) {
    unconfirmed_ = 0;
    confirmed_ = true;
    search_.found(link_address_, clock_.monotonicMs());
    if (reply.renew_period_ms() != 0) {
      const int64_t requested_ms = reply.renew_period_ms();
      renew_period_ = std::chrono::milliseconds(std::min(requested_ms, relay::kMaxRenewalPeriodMs));
    }
    on_reply_(reply);
    return;
  }
  const bool redirect = !reply.leader_address().empty() && reply.leader_address() != link_address_;
  if (redirect) {
    hinted_leader_ = reply.leader_address();
  }
  if (redirect || ++unconfirmed_ >= kMaxUnconfirmed) {
    drop(redirect ? "not_leader" : "no_leader");
    dialNext();
  }
}

} // namespace workshatch::daemon
