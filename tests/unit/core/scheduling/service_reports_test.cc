/// @file
/// Which plain runners a relay avoids by the reports of their slot owners.
#include <memory>
#include <vector>

#include <doctest/doctest.h>

#include "core/scheduling/service_reports.h"

namespace workshatch::test {

// Guards against relays that keep sending requests to a broken runner, and a service whose runners
// are all avoided because the requests themselves fail.
TEST_CASE("A runner is avoided for failures that the others of its service do not have") {
  std::vector<std::shared_ptr<relay::Runner>> runners;
  for (int i = 0; i < 6; ++i) {
    runners.push_back(std::make_shared<relay::Runner>());
  }
  const auto failing = [&](std::vector<uint32_t> percents, int64_t now_ms = 100) {
    for (size_t i = 0; i < percents.size(); ++i) {
      relay::recordServiceReport(*runners[i], {.failed_percent = percents[i]}, 100);
    }
    return relay::findFailingRunners(runners, now_ms);
  };
  CHECK(failing({50, 14, 14, 14, 14, 14}) == std::vector<const relay::Runner*>{runners[0].get()});
  CHECK(failing({50, 14, 14, 14, 14, 14}, 100 + relay::kServiceReportValidMs).empty());
  CHECK(failing({44, 14, 14, 14, 14, 14}).empty());
  CHECK(failing({90, 90, 90, 90, 90, 90}).empty());
  // Four runners fail more than the mean of the others; two are a third of the service.
  CHECK(failing({80, 90, 85, 80, 0, 0}) ==
        std::vector<const relay::Runner*>{runners[1].get(), runners[2].get()});
}

} // namespace workshatch::test
