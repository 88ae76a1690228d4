#include "scenario/load_cap_sampler.h"

#include <algorithm>
#include <chrono>
#include <cmath>
#include <utility>

#include <nlohmann/json.hpp>

#include "adapters/http/blocking_client.h"

namespace workshatch::scenario {

using nlohmann::json;

namespace {

constexpr std::chrono::milliseconds kSamplePeriod{100};
/// With a lower mean number of streams per engine, rounding dominates the ratio, so it is not
/// recorded.
constexpr double kMinMeanForRatio = 2;

/// Number of samples in about one second.
constexpr size_t kRecentSamples = 10;

uint64_t capOf(double factor, double mean) {
  return std::max<uint64_t>(1, static_cast<uint64_t>(std::ceil(factor * mean)));
}

} // namespace

LoadCapSampler::LoadCapSampler(std::vector<std::string> runners, double factor)
    : runners_(std::move(runners)), factor_(factor), thread_([this] { run(); }) {}

LoadCapSampler::~LoadCapSampler() {
  stopping_ = true;
  thread_.join();
}

CapReport LoadCapSampler::report() const {
  const std::lock_guard lock(mutex_);
  return report_;
}

void LoadCapSampler::run() {
  while (!stopping_) {
    sample();
    std::this_thread::sleep_for(kSamplePeriod);
  }
}

void LoadCapSampler::sample() {
  std::vector<uint64_t> loads;
  for (const std::string& runner : runners_) {
    const auto body = http::blockingGet(runner, "/v1/load");
    const std::lock_guard lock(mutex_);
    if (isError(body) || leaving_.contains(runner)) {
      continue;
    }
    const json report = json::parse(std::get<std::string>(body), nullptr, false);
    for (const json& streams : report.value("streams_now", json::array())) {
      loads.push_back(streams.get<uint64_t>());
    }
  }
  uint64_t total = 0;
  uint64_t max_load = 0;
  for (const uint64_t load : loads) {
    total += load;
    max_load = std::max(max_load, load);
  }
  if (total == 0) {
    return;
  }
  const double mean = static_cast<double>(total) / static_cast<double>(loads.size());
  means_.push_back(mean);
  if (means_.size() > kRecentSamples) {
    means_.pop_front();
  }
  const double recent_max_mean = *std::max_element(means_.begin(), means_.end());
  const std::lock_guard lock(mutex_);
  ++report_.samples;
  report_.over_current_cap += max_load > capOf(factor_, mean) ? 1 : 0;
  if (max_load > capOf(factor_, recent_max_mean)) {
    ++report_.over_recent_cap;
    report_.last_over_cap = "sample " + std::to_string(report_.samples) + ": " +
                            json(loads).dump() + ", mean " + std::to_string(mean) + ", recent " +
                            std::to_string(recent_max_mean);
  }
  if (mean >= kMinMeanForRatio) {
    report_.max_ratio =
        std::max(report_.max_ratio, static_cast<double>(max_load) / recent_max_mean);
  }
}

void LoadCapSampler::setLeaving(const std::string& runner, bool leaving) {
  const std::lock_guard lock(mutex_);
  if (leaving) {
    leaving_.insert(runner);
  } else {
    leaving_.erase(runner);
  }
}

} // namespace workshatch::scenario
