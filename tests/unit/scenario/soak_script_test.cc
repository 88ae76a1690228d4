/// @file
/// Tests of random soak scenarios: reproducibility by seed, and limits on simultaneous faults.
#include <algorithm>
#include <set>
#include <sstream>
#include <string>

#include <doctest/doctest.h>

#include "scenario/soak_script.h"

namespace workshatch::test {

namespace {

/// Processes that are disturbed after the commands executed so far.
struct DisturbedProcesses {
  std::set<std::string> names;
  std::set<std::string> partitioned;

  size_t disturbedControls() const {
    size_t count = 0;
    for (const char* name : {"entry-1", "entry-2", "entry-3"}) {
      count += names.contains(name) || partitioned.contains(name) ? 1 : 0;
    }
    return count;
  }

  void applyCommand(const std::string& command, const std::string& name) {
    if (command == "kill" || command == "stop" || command == "freeze") {
      names.insert(name);
    } else if (command == "start" || command == "thaw") {
      names.erase(name);
    } else if (command == "cut") {
      partitioned.insert(name);
    } else if (command == "heal") {
      partitioned.clear();
    }
  }
};

} // namespace

TEST_CASE("Equal seeds give equal soak scenarios, different seeds give different ones") {
  const auto draw = [](uint64_t seed) {
    return scenario::soakScript(scenario::SoakPlan{.seed = seed});
  };
  CHECK(draw(1) == draw(1));
  CHECK(draw(1) != draw(2));
}

TEST_CASE("A soak scenario disturbs two control replicas at once, or leaves a process disturbed") {
  constexpr uint64_t kSeeds = 200;
  size_t max_disturbed = 0;
  for (uint64_t seed = 0; seed < kSeeds; ++seed) {
    CAPTURE(seed);
    std::istringstream lines(scenario::soakScript(scenario::SoakPlan{.seed = seed}));
    DisturbedProcesses disturbed;
    for (std::string line; std::getline(lines, line);) {
      std::istringstream words(line);
      std::string command;
      std::string name;
      words >> command >> name;
      disturbed.applyCommand(command, name);
      CHECK(disturbed.disturbedControls() <= 1);
      max_disturbed =
          std::max(max_disturbed, disturbed.names.size() + disturbed.partitioned.size());
    }
    CHECK(disturbed.names.empty());
    CHECK(disturbed.partitioned.empty());
  }
  // Faults must overlap, or the scenario does not test their combinations.
  CHECK(max_disturbed >= 3);
}

} // namespace workshatch::test
