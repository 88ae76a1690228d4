/// @file
/// Tests of telling a lost path from failed runners. The tests are named after the failures that
/// they guard against.
#include <memory>
#include <string>
#include <vector>

#include <doctest/doctest.h>

#include "core/relay/runner_paths.h"

namespace workshatch::test {

namespace {

using Change = relay::RunnerPaths::Change;

relay::RunnerPaths::Runners runnersOf(const std::string& service, size_t count) {
  relay::RunnerPaths::Runners runners;
  for (size_t i = 0; i < count; ++i) {
    runners.push_back(std::make_shared<relay::Runner>());
    runners.back()->entry.set_service(service);
    runners.back()->fingerprint = i + 1;
    runners.back()->last_heard_ms = static_cast<int64_t>(i);
  }
  return runners;
}

/// Runs a round of probes at time `now_ms`. @param accepts fingerprints of the runners that accept
/// connections
Change runRound(relay::RunnerPaths& paths, const relay::RunnerPaths::Runners& runners,
                const std::vector<uint64_t>& accepts, int64_t now_ms) {
  bool reached = false;
  for (const auto& runner : paths.beginRound("s", runners, 3, now_ms)) {
    if (std::find(accepts.begin(), accepts.end(), runner->fingerprint) != accepts.end()) {
      paths.recordConnected(*runner, now_ms);
      reached = true;
    } else {
      paths.recordConnectFailed(*runner, true, now_ms);
    }
  }
  return paths.endRound("s", reached, now_ms);
}

} // namespace

TEST_CASE("A relay that can reach no runner takes each failure for the runner's own") {
  const auto runners = runnersOf("s", 12);
  relay::RunnerPaths paths;
  CHECK(paths.dueRounds(1000).empty());
  paths.recordConnectFailed(*runners[0], true, 1000);
  CHECK(paths.dueRounds(1000) == std::vector<std::string>{"s"});
  CHECK(runRound(paths, runners, {}, 1000) == Change::Lost);
  CHECK(paths.isLost("s"));
  CHECK(paths.lostServices() == std::vector<std::string>{"s"});
  CHECK(paths.lostForMs("s", 1500) == 500);
  CHECK_FALSE(paths.isLost("other"));
  // No runner has ended as far as this relay can tell.
  CHECK(paths.takeEnded().empty());
  CHECK(paths.dueRounds(1100).empty());
  CHECK(paths.dueRounds(2000) == std::vector<std::string>{"s"});
  CHECK(runRound(paths, runners, {}, 2000) == Change::None);
  std::vector<uint64_t> all;
  for (const auto& runner : runners) {
    all.push_back(runner->fingerprint);
  }
  CHECK(runRound(paths, runners, all, 3000) == Change::Restored);
  CHECK_FALSE(paths.isLost("s"));
  CHECK(paths.takeEnded().empty());
  CHECK(paths.dueRounds(9000).empty());
}

TEST_CASE("A relay takes the end of some runners for the loss of its path") {
  const auto runners = runnersOf("s", 12);
  relay::RunnerPaths paths;
  // Runners 1 to 8 have ended; 12 and 11 were heard last.
  for (size_t i = 0; i < 8; ++i) {
    paths.recordConnectFailed(*runners[i], true, 1000);
  }
  CHECK(runRound(paths, runners, {9, 10, 11, 12}, 1000) == Change::None);
  CHECK_FALSE(paths.isLost("s"));
  CHECK(paths.takeEnded().size() == 8);
  // The next one refuses at once after another runner accepted a connection.
  paths.recordConnectFailed(*runners[8], true, 900);
  CHECK(paths.takeEnded() == std::vector<uint64_t>{9});
}

TEST_CASE("Requests that hang on open connections do not show that the path is lost") {
  const auto runners = runnersOf("s", 3);
  relay::RunnerPaths paths;
  paths.recordSilence("s");
  CHECK(paths.dueRounds(1000) == std::vector<std::string>{"s"});
  // Two probes fail, and one more runner must.
  CHECK(runRound(paths, runners, {}, 1000) == Change::None);
  CHECK(paths.dueRounds(1400) == std::vector<std::string>{"s"});
  CHECK(runRound(paths, runners, {}, 1400) == Change::Lost);
}

TEST_CASE("A slow service is probed again and again") {
  const auto runners = runnersOf("s", 3);
  relay::RunnerPaths paths;
  size_t rounds = 0;
  for (int64_t now_ms = 0; now_ms < 6000; now_ms += 50) {
    paths.recordSilence("s");
    if (!paths.dueRounds(now_ms).empty()) {
      ++rounds;
      CHECK(runRound(paths, runners, {1, 2, 3}, now_ms) == Change::None);
    }
  }
  CHECK(rounds == 4);
}

TEST_CASE("The end of the last runners of a service is never known to be one") {
  const auto runners = runnersOf("s", 3);
  relay::RunnerPaths paths;
  paths.recordConnectFailed(*runners[0], true, 1000);
  CHECK(runRound(paths, runners, {}, 1000) == Change::Lost);
  CHECK(paths.takeEnded().empty());
  CHECK(paths.hasUnexplainedRefusals("s"));
  paths.explainRefusals("s");
  CHECK(paths.takeEnded().size() == 3);
  CHECK_FALSE(paths.hasUnexplainedRefusals("s"));
  CHECK(paths.isLost("s"));
}

TEST_CASE("A service with one runner that ended is taken for reachable") {
  const auto runners = runnersOf("s", 1);
  relay::RunnerPaths paths;
  paths.recordConnectFailed(*runners[0], true, 1000);
  CHECK(runRound(paths, runners, {}, 1000) == Change::Lost);
  CHECK(runRound(paths, runners, {1}, 2000) == Change::Restored);
}

} // namespace workshatch::test
