/// @file
/// Counters and histograms of one group replica and their exposition as metrics.
#pragma once

#include <cstdint>
#include <string>

#include "adapters/metrics/text_format.h"

namespace workshatch::daemon {

/// Used on the replica's event loop; not safe for concurrent use.
struct GroupStats {
  uint64_t leaderships_won = 0;
  uint64_t leaderships_lost = 0;
  uint64_t membership_changes = 0;
  uint64_t disk_failures = 0;
  /// Whether the last write was refused.
  bool disk_failing = false;
  /// Duration of writes that had to be durable before messages were sent or entries applied.
  metrics::DurationHistogram disk_write;

  /// Appends all metrics in the Prometheus text format.
  void expose(std::string& out) const;
};

} // namespace workshatch::daemon
