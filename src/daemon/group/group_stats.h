/// @file
/// Counters and histograms of one group replica, each declared once.
#pragma once

#include <cstdint>
#include <string>

#include "adapters/metrics/text_format.h"

namespace workshatch::daemon {

/// Lives on the replica's event loop; not safe for concurrent use.
struct GroupStats {
  uint64_t leaderships_won = 0;
  uint64_t leaderships_lost = 0;
  uint64_t membership_changes = 0;
  uint64_t disk_failures = 0;
  /// Writes that had to be durable before anything was answered.
  metrics::DurationHistogram disk_write;

  /// Appends everything in the Prometheus text format.
  void expose(std::string& out) const;
};

} // namespace workshatch::daemon
