#include "core/scheduling/service_times.h"

#include <algorithm>
#include <cmath>

namespace workshatch::relay {

namespace {

/// Time for which a service time that another owner reported stands for runners that are not
/// measured yet. It covers the time until their first measurement, which takes at least 2 s.
constexpr int64_t kReceivedValidMs = 10'000;

/// Rounds up, because zero means that a time is not known.
uint32_t wholeMs(double milliseconds) {
  return std::max(static_cast<uint32_t>(std::ceil(milliseconds)), uint32_t{1});
}

} // namespace

double expectedServiceMs(double service_time_ms, uint32_t load, uint32_t slots) {
  return service_time_ms * (1 + static_cast<double>(load) / slots);
}

void ServiceTimes::measure(uint64_t runner, const PlainRunner& plain, uint32_t load,
                           int64_t now_ms) {
  const auto [found, added] = runners_.try_emplace(
      runner, Measurement{.plain = plain, .window = ServiceTimeWindow(now_ms)});
  if (added) {
    recordLoad(runner, load, now_ms);
  }
}

void ServiceTimes::recordLoad(uint64_t runner, uint32_t load, int64_t now_ms) {
  const auto found = runners_.find(runner);
  if (found != runners_.end()) {
    Measurement& measurement = found->second;
    measurement.window.setSlotsInUse(std::min(load, measurement.plain.slots), now_ms);
  }
}

void ServiceTimes::recordEnded(uint64_t runner, const v1::RunnerOutcomes& ended, int64_t now_ms) {
  const auto found = runners_.find(runner);
  if (found != runners_.end()) {
    found->second.window.addEnded(ended.completed(), ended.failed(), now_ms);
  }
}

void ServiceTimes::recordReceived(const std::string& service, uint32_t service_time_ms,
                                  int64_t now_ms) {
  received_[service] = Received{.service_time_ms = service_time_ms, .received_ms = now_ms};
}

std::optional<double> ServiceTimes::measuredMs(uint64_t runner, int64_t now_ms) const {
  const auto found = runners_.find(runner);
  return found == runners_.end() ? std::nullopt : found->second.window.serviceTimeMs(now_ms);
}

uint32_t ServiceTimes::failedPercent(uint64_t runner, int64_t now_ms) const {
  const auto found = runners_.find(runner);
  return found == runners_.end() ? 0 : found->second.window.failedPercent(now_ms);
}

/// @return the mean service time of the measured runners of a service other than `except`, else the
/// last one that was received; empty: not known.
std::optional<double> ServiceTimes::typicalMs(const std::string& service, uint64_t except,
                                              int64_t now_ms) const {
  double sum_ms = 0;
  int measured = 0;
  for (const auto& [runner, measurement] : runners_) {
    const bool other = runner != except && measurement.plain.service == service;
    if (const auto time_ms = other ? measurement.window.serviceTimeMs(now_ms) : std::nullopt) {
      sum_ms += *time_ms;
      ++measured;
    }
  }
  if (measured != 0) {
    return sum_ms / measured;
  }
  const auto received = received_.find(service);
  const bool valid =
      received != received_.end() && now_ms - received->second.received_ms < kReceivedValidMs;
  return valid ? std::optional<double>(received->second.service_time_ms) : std::nullopt;
}

PlainRunnerReport ServiceTimes::report(uint64_t runner, uint32_t load, uint32_t within_ms,
                                       int64_t now_ms) const {
  const auto found = runners_.find(runner);
  if (found == runners_.end()) {
    return {};
  }
  const PlainRunner& plain = found->second.plain;
  const auto measured_ms = found->second.window.serviceTimeMs(now_ms);
  const auto typical_ms = typicalMs(plain.service, runner, now_ms);
  const auto service_time_ms = measured_ms ? measured_ms : typical_ms;
  PlainRunnerReport report;
  report.service_time_ms = measured_ms ? wholeMs(*measured_ms) : 0;
  report.failed_percent = found->second.window.failedPercent(now_ms);
  if (!service_time_ms) {
    return report;
  }
  const double time_ms = expectedServiceMs(*service_time_ms, load, plain.slots);
  report.expected_ms = wholeMs(time_ms);
  const bool over_limit = within_ms != 0 && time_ms > within_ms;
  const bool would_queue = load >= plain.slots;
  const bool others_in_time =
      typical_ms && expectedServiceMs(*typical_ms, load, plain.slots) <= within_ms;
  report.late = over_limit && load != 0 && (would_queue || others_in_time);
  return report;
}

} // namespace workshatch::relay
