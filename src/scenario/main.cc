/// @file
/// workshatch-scenario: runs scenario files, or random scenarios, against real processes.
#include <chrono>
#include <cstdio>
#include <filesystem>
#include <fstream>
#include <sstream>

#include <gflags/gflags.h>

#include "adapters/logging/json_log.h"
#include "adapters/program.h"
#include "scenario/scenario_run.h"
#include "scenario/soak_script.h"

DEFINE_uint64(seed, 1, "seed of the choices that a scenario leaves open");
DEFINE_string(programs, "build", "folder of the programs");
DEFINE_string(folder, "run/scenario", "folder for settings, logs and data");
DEFINE_string(without, "", "\"ledger\": declare all routes repeatable, to see that run-once fails");
DEFINE_uint32(steps, 40, "soak: faults and changes before everything is mended");
DEFINE_string(network, "127.0.60", "soak: first three numbers of all addresses");
DEFINE_uint32(times, 1, "how often to run each file");

namespace {

using namespace workshatch;

constexpr const char* kUsage =
    "workshatch-scenario run FILE... [flags]\n"
    "Runs scenario files; the language is described in docs/TESTING.md.\n"
    "workshatch-scenario soak [flags]\n"
    "Draws a scenario of overlapping faults with the seed, writes it to a file, and runs it.";

struct Totals {
  int passed = 0;
  int failed = 0;
};

Result<scenario::Script> readScript(const std::string& path) {
  std::ifstream in(path);
  if (!in) {
    return Error{path + ": cannot be read"};
  }
  std::ostringstream content;
  content << in.rdbuf();
  return scenario::parseScript(path, content.str());
}

/// Generates the random scenario of a seed and writes it to a file, which can be replayed.
Result<scenario::Script> drawScript(uint64_t seed) {
  const std::string text = scenario::soakScript(
      scenario::SoakPlan{.seed = seed, .steps = FLAGS_steps, .network = FLAGS_network});
  std::filesystem::create_directories(FLAGS_folder);
  const std::string path = FLAGS_folder + "/soak-" + std::to_string(seed) + ".scn";
  std::ofstream out(path);
  out << text;
  if (!out.flush()) {
    return Error{path + ": cannot be written"};
  }
  return scenario::parseScript(path, text);
}

void runScript(const scenario::Script& script, uint64_t seed, Totals& totals) {
  const scenario::RunOptions options{.programs = FLAGS_programs,
                                     .folder = FLAGS_folder,
                                     .seed = seed,
                                     .all_routes_repeatable = FLAGS_without == "ledger"};
  const auto started = std::chrono::steady_clock::now();
  scenario::ScenarioRun run(script, options);
  const scenario::ScenarioResult result = run.run();
  const std::chrono::duration<double> took = std::chrono::steady_clock::now() - started;
  ++(result.passed ? totals.passed : totals.failed);
  std::printf("%s %s (seed %llu, %.1f s): %s\n", result.passed ? "passed" : "FAILED",
              std::filesystem::path(script.path).stem().c_str(),
              static_cast<unsigned long long>(seed), took.count(), result.summary.c_str());
  std::fflush(stdout);
}

} // namespace

int main(int argc, char** argv) {
  parseProgramFlags(&argc, &argv, kUsage, "scenario/main.cc");
  const bool soak = argc == 2 && std::string(argv[1]) == "soak";
  if (!soak && (argc < 3 || std::string(argv[1]) != "run")) {
    std::fprintf(stderr, "%s\n", kUsage);
    return kExitUsage;
  }
  logging::initialize("driver");
  std::vector<scenario::Script> scripts;
  for (int i = 2; i < argc; ++i) {
    auto script = readScript(argv[i]);
    if (isError(script)) {
      std::fprintf(stderr, "%s\n", errorOf(script).message.c_str());
      return kExitUsage;
    }
    scripts.push_back(std::move(std::get<scenario::Script>(script)));
  }
  Totals totals;
  for (uint32_t time = 0; time < FLAGS_times; ++time) {
    if (soak) {
      const auto drawn = drawScript(FLAGS_seed + time);
      if (isError(drawn)) {
        std::fprintf(stderr, "%s\n", errorOf(drawn).message.c_str());
        return kExitFailure;
      }
      runScript(std::get<scenario::Script>(drawn), FLAGS_seed + time, totals);
    }
    for (const scenario::Script& script : scripts) {
      runScript(script, FLAGS_seed + time, totals);
    }
  }
  std::printf("%d passed, %d failed\n", totals.passed, totals.failed);
  return totals.failed == 0 ? kExitOk : kExitFailure;
}
