#include "core/relay/runner_crash_monitor.h"

#include <algorithm>

#include "core/relay/runner_crash_times.h"

namespace workshatch::relay {

namespace {

/// A disconnect and a refused connection within this time belong to the same crash: a connection
/// takes at most 300 ms to be refused, and a new process takes longer than this to listen again.
constexpr int64_t kSameCrashMs = 1000;
/// Minimum time between two probes of a runner that keeps breaking off responses, because each
/// probe costs it a new connection.
constexpr int64_t kProbeIntervalMs = 500;
/// Maximum number of reports of one relay: 20 crashes with twelve requests each.
constexpr size_t kMaxReports = 256;

} // namespace

RunnerCrashMonitor::AfterDisconnect
RunnerCrashMonitor::recordDisconnect(uint64_t runner, const PresentRequest& present,
                                     int64_t now_ms) {
  dropExpired(now_ms);
  const bool completed = completed_.contains(present.request, now_ms);
  if (completed && present.parts.empty()) {
    return AfterDisconnect::Nothing;
  }
  Suspect& suspect = suspects_[runner];
  const Disconnect disconnect{
      .present = present, .completed = completed, .disconnected_ms = now_ms};
  if (suspect.refused_ms) {
    report(runner, disconnect);
    return AfterDisconnect::Report;
  }
  suspect.disconnects.push_back(disconnect);
  if (suspect.probed_ms && now_ms - *suspect.probed_ms < kProbeIntervalMs) {
    return AfterDisconnect::Nothing;
  }
  suspect.probed_ms = now_ms;
  return AfterDisconnect::Probe;
}

bool RunnerCrashMonitor::recordConnectionRefused(uint64_t runner, int64_t now_ms) {
  dropExpired(now_ms);
  Suspect& suspect = suspects_[runner];
  suspect.refused_ms = now_ms;
  const bool any = !suspect.disconnects.empty();
  for (const Disconnect& disconnect : suspect.disconnects) {
    report(runner, disconnect);
  }
  suspect.disconnects.clear();
  return any;
}

std::vector<RunnerCrashMonitor::PresentRequest>
RunnerCrashMonitor::recordListening(uint64_t runner) {
  std::vector<PresentRequest> completed;
  const auto found = suspects_.find(runner);
  if (found == suspects_.end()) {
    return completed;
  }
  for (Disconnect& disconnect : found->second.disconnects) {
    if (disconnect.present.answer_began_ms) {
      completed.push_back(std::move(disconnect.present));
    }
  }
  found->second.disconnects.clear();
  found->second.refused_ms.reset();
  return completed;
}

void RunnerCrashMonitor::report(uint64_t runner, const Disconnect& disconnect) {
  const PresentRequest& present = disconnect.present;
  reports_.push_back(
      Report{.request = disconnect.completed ? std::nullopt : std::optional(present.request),
             .parts = present.parts,
             .runner = runner,
             .crashed_ms = disconnect.disconnected_ms});
  ++unreported_;
  if (reports_.size() > kMaxReports) {
    reports_.pop_front();
    unreported_ = std::min(unreported_, reports_.size());
  }
}

void RunnerCrashMonitor::dropExpired(int64_t now_ms) {
  for (auto& [runner, suspect] : suspects_) {
    std::erase_if(suspect.disconnects, [&](const Disconnect& disconnect) {
      return now_ms - disconnect.disconnected_ms >= kSameCrashMs;
    });
    if (suspect.refused_ms && now_ms - *suspect.refused_ms >= kSameCrashMs) {
      suspect.refused_ms.reset();
    }
  }
  std::erase_if(suspects_, [&](const auto& entry) {
    const Suspect& suspect = entry.second;
    const bool probed = suspect.probed_ms && now_ms - *suspect.probed_ms < kProbeIntervalMs;
    return suspect.disconnects.empty() && !suspect.refused_ms && !probed;
  });
  while (!reports_.empty() && now_ms - reports_.front().crashed_ms >= kCrashWindowMs) {
    reports_.pop_front();
  }
  unreported_ = std::min(unreported_, reports_.size());
}

void RunnerCrashMonitor::fill(v1::LeaseRenewal& renewal, bool first_on_link, int64_t now_ms) {
  dropExpired(now_ms);
  const size_t first_unsent = first_on_link ? 0 : reports_.size() - unreported_;
  for (size_t i = first_unsent; i < reports_.size(); ++i) {
    v1::RunnerEnd* end = renewal.add_runner_ends();
    if (reports_[i].request) {
      *end->mutable_request() = messageOf(*reports_[i].request);
    }
    end->mutable_parts()->Add(reports_[i].parts.begin(), reports_[i].parts.end());
    end->set_runner(reports_[i].runner);
    end->set_age_ms(static_cast<uint32_t>(now_ms - reports_[i].crashed_ms));
  }
  unreported_ = 0;
}

} // namespace workshatch::relay
