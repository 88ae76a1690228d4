/// @file
/// Scenarios drawn by lot: what a seed gives, and what they never do.
#include <algorithm>
#include <set>
#include <sstream>
#include <string>

#include <doctest/doctest.h>

#include "scenario/soak_script.h"

namespace workshatch::test {

namespace {

/// What a drawn scenario leaves disturbed at one moment.
struct Disturbed {
  std::set<std::string> names;
  std::set<std::string> cut_off;

  size_t controls() const {
    size_t count = 0;
    for (const char* name : {"entry-1", "entry-2", "entry-3"}) {
      count += names.contains(name) || cut_off.contains(name) ? 1 : 0;
    }
    return count;
  }

  void take(const std::string& command, const std::string& name) {
    if (command == "kill" || command == "stop" || command == "freeze") {
      names.insert(name);
    } else if (command == "start" || command == "thaw") {
      names.erase(name);
    } else if (command == "cut") {
      cut_off.insert(name);
    } else if (command == "heal") {
      cut_off.clear();
    }
  }
};

} // namespace

TEST_CASE("A seed draws the same scenario again, and another seed another one") {
  const auto draw = [](uint64_t seed) {
    return scenario::soakScript(scenario::SoakPlan{.seed = seed});
  };
  CHECK(draw(1) == draw(1));
  CHECK(draw(1) != draw(2));
}

TEST_CASE("A drawn scenario disturbs two control replicas at once, or leaves something disturbed") {
  constexpr uint64_t kSeeds = 200;
  size_t most_at_once = 0;
  for (uint64_t seed = 0; seed < kSeeds; ++seed) {
    CAPTURE(seed);
    std::istringstream lines(scenario::soakScript(scenario::SoakPlan{.seed = seed}));
    Disturbed disturbed;
    for (std::string line; std::getline(lines, line);) {
      std::istringstream words(line);
      std::string command;
      std::string name;
      words >> command >> name;
      disturbed.take(command, name);
      CHECK(disturbed.controls() <= 1);
      most_at_once = std::max(most_at_once, disturbed.names.size() + disturbed.cut_off.size());
    }
    CHECK(disturbed.names.empty());
    CHECK(disturbed.cut_off.empty());
  }
  // Faults do overlap.
  CHECK(most_at_once >= 3);
}

} // namespace workshatch::test
