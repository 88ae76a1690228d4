/// @file
/// The pace of a leader's large frames: 300 relays that need a list of 3,000 runners.
#include <algorithm>

#include <doctest/doctest.h>

#include "core/relay/bulk_pacer.h"

namespace workshatch::test {

TEST_CASE("A list for 300 relays leaves the link free for heartbeats and is done in two seconds") {
  constexpr double kLinkMbps = 100;
  constexpr double kLinkBytesPerMs = kLinkMbps * 125;
  constexpr size_t kListBytes = 35'000;
  constexpr int kRelays = 300;
  /// A follower stands for election after this.
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
  // Sent at once, a heartbeat would have waited for 840 ms.
  CHECK(longest_wait_ms <= kElectionMs / 4);
}

} // namespace workshatch::test
