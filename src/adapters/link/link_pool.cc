#include "adapters/link/link_pool.h"

#include <chrono>
#include <utility>

namespace workshatch::link {

namespace {

/// Delay before the next attempt after a failed one. It is short, since a replica that refuses a
/// connection may be starting: after a restart of all replicas the first election waits for this
/// delay.
constexpr int64_t kRetryMs = 50;

} // namespace

void LinkPool::send(const std::string& address, v1::RaftMessage message) {
  v1::Frame frame;
  frame.mutable_raft()->set_sender_address(own_address_);
  *frame.mutable_raft()->add_messages() = std::move(message);
  sendFrame(address, frame);
}

void LinkPool::sendFrame(const std::string& address, const v1::Frame& frame) {
  auto& peer = peers_[address];
  if (!peer) {
    peer = std::make_unique<Peer>(context_);
  }
  if (peer->link && peer->link->isOpen()) {
    peer->link->send(frame);
    return;
  }
  peer->pending_frame = frame;
  peer->has_pending_frame = true;
  if (!peer->dialing && clock_.monotonicMs() >= peer->retry_at_ms) {
    dial(address, *peer);
  }
}

void LinkPool::dial(const std::string& address, Peer& peer) {
  peer.dialing = true;
  peer.dialer.dial(address, kDialTimeout, [this, &peer](std::shared_ptr<FramedLink> link) {
    peer.dialing = false;
    if (!link) {
      peer.retry_at_ms = clock_.monotonicMs() + kRetryMs;
      return;
    }
    peer.link = std::move(link);
    peer.link->start([](v1::Frame) {}, [&peer] { peer.link.reset(); });
    if (std::exchange(peer.has_pending_frame, false)) {
      peer.link->send(peer.pending_frame);
      peer.pending_frame.Clear();
    }
  });
}

bool LinkPool::isOpen(const std::string& address) const {
  const auto peer = peers_.find(address);
  return peer != peers_.end() && peer->second->link && peer->second->link->isOpen();
}

void LinkPool::close() {
  for (auto& [address, peer] : peers_) {
    peer->dialer.cancel();
    if (peer->link) {
      peer->link->close();
    }
  }
}

} // namespace workshatch::link
