#include "daemon/group/group_stats.h"

#include "adapters/logging/line_log.h"

namespace workshatch::daemon {

using metrics::exposeCounter;

void GroupStats::expose(std::string& out) const {
  exposeCounter(out, "group_leaderships_won_total", "times this replica became leader",
                leaderships_won);
  exposeCounter(out, "group_leaderships_lost_total", "times this replica ceased to lead",
                leaderships_lost);
  exposeCounter(out, "group_membership_changes_total", "changes of members that it proposed",
                membership_changes);
  exposeCounter(out, "group_disk_failures_total", "writes that the disk refused", disk_failures);
  metrics::exposeGauge(out, "group_disk_failing", "1 while the disk refuses writes",
                       disk_failing ? 1 : 0);
  exposeCounter(out, "group_dropped_log_lines_total", "log lines dropped",
                line_log::droppedLines());
  disk_write.expose(out, "group_disk_write_ms", "time until a write was durable");
}

} // namespace workshatch::daemon
