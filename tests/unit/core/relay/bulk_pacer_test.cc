/// @file
/// Pacing of a leader's large frames: 300 relays need a list of 3,000 runners, and heartbeats share
/// the link.
#include <algorithm>

#include <doctest/doctest.h>

#include "core/relay/bulk_pacer.h"

namespace workshatch::test {

TEST_CASE(
    "Sending a list to 300 relays takes at most two seconds and delays heartbeats only briefly") {
  constexpr double kLinkMbps = 100;
  constexpr double kLinkBytesPerMs = kLinkMbps * 125;
  constexpr size_t kListBytes = 35'000;
  constexpr int kRelays = 300;
  /// Time after which a follower starts an election.
  constexpr double kElectionMs = 300;
  relay::BulkPacer pacer(kLinkMbps);
  int sent = 0;
  double queued_bytes = 0;
  double longest_wait_ms = 0;
  int64_t now_ms = 0;
  while (sent < kRelays && now_ms < 10'000) {
    now_ms += 10;
    queued_bytes -= std::min(queued_bytes, 10 * kLinkBytesPerMs);
    while (sent < kRelays && pacer.ready(now_ms)) {
      pacer.spend(kListBytes);
      queued_bytes += kListBytes;
      ++sent;
    }
    longest_wait_ms = std::max(longest_wait_ms, queued_bytes / kLinkBytesPerMs);
  }
  CHECK(sent == kRelays);
  CHECK(now_ms <= 2000);
  // If the lists were sent at once, a heartbeat would wait for 840 ms.
  CHECK(longest_wait_ms <= kElectionMs / 4);
}

} // namespace workshatch::test
