/// @file
/// A relay's connection to the group's leader, on which it renews its lease.
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
#include "core/relay/member_directory.h"
#include "daemon/relay/leader_search_report.h"
#include "ports/clock.h"

namespace workshatch::daemon {

/// Finds the leader among the addresses where replicas may be, keeps one link to it and sends lease
/// renewals on it periodically. Lives on one event loop; not safe for concurrent use.
class ControlLink {
public:
  /// Builds the next renewal, including its sequence number. @param first_on_link whether this is
  /// the first renewal on the current link, so that the replica may know nothing of this relay.
  using RenewalSource = std::function<v1::LeaseRenewal(bool first_on_link)>;
  using ReplyHandler = std::function<void(const v1::LeaseReply&)>;

  /// @param own_machine address at which a replica on this machine would take frames; tried last
  /// @param seeds link addresses of some replicas, tried after the members that are known
  /// @param make_renewal called for each renewal
  /// @param on_reply called with each reply of the leader
  ControlLink(boost::asio::io_context& context, const Clock& clock, std::string own_machine,
              std::vector<std::string> seeds, RenewalSource make_renewal, ReplyHandler on_reply);

  void start();
  void stop();
  /// Sends a renewal immediately, for reports that can't wait until the end of the period.
  void renewNow();
  /// Closes the current link; the search for the leader starts again with the next step.
  void reconnect();
  void setSeeds(std::vector<std::string> seeds) { directory_.setSeeds(std::move(seeds)); }

  /// Bytes of frames exchanged with leaders, on all links since the start.
  struct Traffic {
    uint64_t sent = 0;
    uint64_t received = 0;
  };
  Traffic traffic() const;
  /// @return time since the search for the leader began, in ms; zero while the leader is known.
  int64_t searchingForMs() const { return search_.searchingForMs(clock_.monotonicMs()); }

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
  const std::string own_machine_;
  relay::MemberDirectory directory_;
  LeaderSearchReport search_;
  const RenewalSource make_renewal_;
  const ReplyHandler on_reply_;
  boost::asio::steady_timer timer_;
  link::LinkDialer dialer_;
  bool dialing_ = false;
  std::shared_ptr<link::FramedLink> link_;
  /// Renewal period from the last reply of the leader.
  std::chrono::milliseconds renew_period_{250};
  std::string link_address_;
  std::string hinted_leader_;
  size_t candidate_ = 0;
  /// When bytes were last received on the link, or when it was opened.
  int64_t last_activity_ms_ = 0;
  uint64_t last_received_bytes_ = 0;
  /// Traffic of all previous links.
  Traffic earlier_traffic_;
  /// Unconfirmed replies in a row on the current link.
  uint32_t unconfirmed_ = 0;
  /// Connection attempts that are still allowed before the next step.
  uint32_t dials_left_ = 0;
  /// Whether no renewal was sent on the current link yet.
  bool first_on_link_ = true;
  /// Whether the replica at the other end of the current link has confirmed that it is the leader.
  bool confirmed_ = false;
};

} // namespace workshatch::daemon
