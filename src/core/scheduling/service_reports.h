/// @file
/// What slot owners reported about plain runners, as one relay uses it to choose between them.
#pragma once

#include <cstdint>
#include <memory>
#include <optional>
#include <vector>

#include "core/relay/runner.h"
#include "core/scheduling/service_times.h"

namespace workshatch::relay {

/// A report that was received longer ago than this is ignored. A relay that does not choose a
/// runner because of a report gets no newer one; it tries the runner again after this time.
inline constexpr int64_t kServiceReportValidMs = 5000;
/// Difference to the mean failure rate of the other runners from which a runner is avoided, in
/// percentage points. With the fewest requests that give a rate, it is more than one failure.
inline constexpr double kFailingPercentOverMean = 30;
/// At most one in this many runners of a service is avoided because of its failures. If more fail,
/// the others could not take their requests.
inline constexpr size_t kFailingOneIn = 3;

/// Records what the slot owner of a runner reported about it.
void recordServiceReport(Runner& runner, const PlainRunnerReport& report, int64_t now_ms);

/// @return the reported service time of a runner in milliseconds; empty: not known.
std::optional<double> reportedServiceMs(const Runner& runner, int64_t now_ms);

/// @return the mean of the reported service times; empty if none is known.
std::optional<double> meanReportedServiceMs(const std::vector<std::shared_ptr<Runner>>& runners,
                                            int64_t now_ms);

/// Finds the runners of a service where so many more requests fail than at the others that the
/// cause must be the runner and not the requests.
/// @return the worst of them, at most a third of `runners`.
std::vector<const Runner*> findFailingRunners(const std::vector<std::shared_ptr<Runner>>& runners,
                                              int64_t now_ms);

} // namespace workshatch::relay
