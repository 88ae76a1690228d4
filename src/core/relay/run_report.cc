#include "core/relay/run_report.h"

#include <algorithm>

namespace workshatch::relay {

bool RunEndEvidence::showsEnd(const RunnerReport& report, int64_t asked_ms) {
  const bool listed =
      std::find(report.runs.begin(), report.runs.end(), request_id_) != report.runs.end();
  if (listed) {
    was_listed_ = true;
    return false;
  }
  if (was_listed_) {
    return true;
  }
  const int64_t moment_ms = asked_ms - kMaxReportLagMs;
  if (began_ms_) {
    return *began_ms_ <= moment_ms;
  }
  // A request whose run has not begun is in no list.
  const bool all_named = report.queued == 0 && report.running == report.runs.size();
  return all_named && sent_ms_ <= moment_ms;
}

} // namespace workshatch::relay
