#include "core/scheduling/service_reports.h"

#include <algorithm>

namespace workshatch::relay {

namespace {

bool hasReport(const Runner& runner, int64_t now_ms) {
  return runner.service_reported_ms != 0 &&
         now_ms - runner.service_reported_ms < kServiceReportValidMs;
}

} // namespace

void recordServiceReport(Runner& runner, const PlainRunnerReport& report, int64_t now_ms) {
  runner.service_time_ms = report.service_time_ms;
  runner.failed_percent = report.failed_percent;
  runner.service_reported_ms = now_ms;
}

std::optional<double> reportedServiceMs(const Runner& runner, int64_t now_ms) {
  const bool known = hasReport(runner, now_ms) && runner.service_time_ms != 0;
  return known ? std::optional<double>(runner.service_time_ms) : std::nullopt;
}

std::optional<double> meanReportedServiceMs(const std::vector<std::shared_ptr<Runner>>& runners,
                                            int64_t now_ms) {
  double sum_ms = 0;
  int known = 0;
  for (const auto& runner : runners) {
    if (const auto time_ms = reportedServiceMs(*runner, now_ms)) {
      sum_ms += *time_ms;
      ++known;
    }
  }
  return known == 0 ? std::nullopt : std::optional(sum_ms / known);
}

std::vector<const Runner*> findFailingRunners(const std::vector<std::shared_ptr<Runner>>& runners,
                                              int64_t now_ms) {
  const bool none = std::none_of(runners.begin(), runners.end(), [](const auto& runner) {
    return runner->failed_percent > kFailingPercentOverMean;
  });
  if (none) {
    return {};
  }
  std::vector<const Runner*> reported;
  double sum = 0;
  for (const auto& runner : runners) {
    if (hasReport(*runner, now_ms)) {
      reported.push_back(runner.get());
      sum += runner->failed_percent;
    }
  }
  const double others = static_cast<double>(reported.size()) - 1;
  std::erase_if(reported, [&](const Runner* runner) {
    const double mean_of_others = others > 0 ? (sum - runner->failed_percent) / others : 0;
    return others <= 0 || runner->failed_percent <= mean_of_others + kFailingPercentOverMean;
  });
  std::sort(reported.begin(), reported.end(), [](const Runner* left, const Runner* right) {
    return left->failed_percent > right->failed_percent;
  });
  reported.resize(std::min(reported.size(), runners.size() / kFailingOneIn));
  return reported;
}

} // namespace workshatch::relay
