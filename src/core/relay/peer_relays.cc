#include "core/relay/peer_relays.h"

#include <algorithm>

#include "core/routing/rendezvous.h"

namespace workshatch::relay {

namespace {

/// Time for which a relay that could not be reached gets no forwarded requests. The leader removes
/// a relay that is gone from the list within this time.
constexpr int64_t kAvoidMs = 1000;

} // namespace

uint64_t serviceFingerprint(const std::string& service) { return routing::fingerprintOf(service); }

bool hasLostPath(const v1::RelayEntry& relay, uint64_t service) {
  return std::find(relay.lost_services().begin(), relay.lost_services().end(), service) !=
         relay.lost_services().end();
}

uint32_t PeerRelays::inProgressAt(const std::string& address) const {
  const auto found = peers_.find(address);
  return found == peers_.end() ? 0 : found->second.in_progress;
}

bool PeerRelays::isAvoided(const std::string& address, int64_t now_ms) const {
  const auto found = peers_.find(address);
  return found != peers_.end() && found->second.avoid_until_ms > now_ms;
}

std::optional<std::string> PeerRelays::choose(const std::string& service,
                                              const std::vector<std::string>& excluded,
                                              uint64_t draw, int64_t now_ms) const {
  const uint64_t fingerprint = serviceFingerprint(service);
  const std::string region = zones_.regionOf(own_zone_);
  std::vector<const std::string*> near;
  std::vector<const std::string*> all;
  for (const v1::RelayEntry& relay : list_.relays()) {
    const bool tried =
        std::find(excluded.begin(), excluded.end(), relay.address()) != excluded.end();
    if (relay.address() == own_address_ || tried || hasLostPath(relay, fingerprint) ||
        isAvoided(relay.address(), now_ms)) {
      continue;
    }
    all.push_back(&relay.address());
    if (zones_.regionOf(relay.zone()) == region) {
      near.push_back(&relay.address());
    }
  }
  const auto& candidates = near.empty() ? all : near;
  if (candidates.empty()) {
    return std::nullopt;
  }
  const size_t count = candidates.size();
  const std::string& first = *candidates[draw % count];
  const std::string& second = *candidates[(draw / count) % count];
  return inProgressAt(second) < inProgressAt(first) ? second : first;
}

void PeerRelays::end(const std::string& address) {
  const auto found = peers_.find(address);
  if (found == peers_.end()) {
    return;
  }
  found->second.in_progress -= found->second.in_progress > 0 ? 1 : 0;
  if (found->second.in_progress == 0 && found->second.avoid_until_ms == 0) {
    peers_.erase(found);
  }
}

void PeerRelays::recordFailure(const std::string& address, int64_t now_ms) {
  peers_[address].avoid_until_ms = now_ms + kAvoidMs;
  std::erase_if(peers_, [now_ms](const auto& entry) {
    return entry.second.in_progress == 0 && entry.second.avoid_until_ms <= now_ms;
  });
}

} // namespace workshatch::relay
