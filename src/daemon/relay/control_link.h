/// @file
/// A relay's link to the leader of the group.
#pragma once

#include <chrono>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include "adapters/link/framed_link.h"
#include "ports/clock.h"

namespace workshatch::daemon {

/// Finds the leader among the group's members, keeps one link to it and renews the lease on it.
/// Lives on one event loop; not safe for concurrent use.
class ControlLink {
public:
  /// Makes the next renewal, with its sequence number. @param first_on_link nothing was told on the
  /// present link before, so that the replica there may know nothing of this relay.
  using RenewalSource = std::function<v1::LeaseRenewal(bool first_on_link)>;
  using ReplyHandler = std::function<void(const v1::LeaseReply&)>;

  /// @param seeds addresses for frames of some replicas
  ControlLink(boost::asio::io_context& context, const Clock& clock, std::vector<std::string> seeds,
              RenewalSource make_renewal, ReplyHandler on_reply);

  void start();
  void stop();
  /// Renews at once, for what can't wait for the next period.
  void renewNow();
  /// Gives the present link up and seeks the leader anew.
  void reconnect();
  void setSeeds(std::vector<std::string> seeds) { seeds_ = std::move(seeds); }

  /// Bytes of frames to and from the leaders, over all links so far.
  struct Traffic {
    uint64_t sent = 0;
    uint64_t received = 0;
  };
  Traffic traffic() const;

private:
  void schedule();
  void step();
  void renew();
  void dialNext();
  void dial(const std::string& address);
  void onFrame(const v1::Frame& frame);
  void onLeaderAnnounced(const std::string& address);
  void drop(const char* reason);
  void recordActivity();
  std::string nextCandidate();

  boost::asio::io_context& context_;
  const Clock& clock_;
  std::vector<std::string> seeds_;
  std::vector<std::string> members_;
  const RenewalSource make_renewal_;
  const ReplyHandler on_reply_;
  boost::asio::steady_timer timer_;
  link::LinkDialer dialer_;
  bool dialing_ = false;
  std::shared_ptr<link::FramedLink> link_;
  /// As the leader told it last.
  std::chrono::milliseconds renew_period_{250};
  std::string link_address_;
  std::string hinted_leader_;
  size_t candidate_ = 0;
  /// When bytes last came on the link, or the link began.
  int64_t last_activity_ms_ = 0;
  uint64_t last_received_bytes_ = 0;
  /// Traffic of the links before the present one.
  Traffic earlier_traffic_;
  uint32_t unconfirmed_ = 0;
  /// Attempts that may still be made before the next step.
  uint32_t dials_left_ = 0;
  /// Nothing was sent on the present link yet.
  bool first_on_link_ = true;
  /// The present link leads to a leader.
  bool confirmed_ = false;
};

} // namespace workshatch::daemon
