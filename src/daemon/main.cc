/// @file
/// Entry point of workshatchd, the daemon, which runs the router role, the control role or both,
/// depending on its settings.
#include <cstdio>
#include <cstdlib>
#include <optional>

#include <gflags/gflags.h>
#include <nlohmann/json.hpp>

#include "adapters/logging/json_log.h"
#include "adapters/process_signals.h"
#include "adapters/program.h"
#include "adapters/settings/settings_file.h"
#include "adapters/system_clock.h"
#include "daemon/control/control_role.h"
#include "daemon/router/router_role.h"
#include "ports/seeded_random.h"

DEFINE_string(config, "", "settings file to run with");
DEFINE_string(check_config, "", "settings file to check; the daemon does not start");

namespace {

using namespace workshatch;

constexpr const char* kUsage =
    "workshatchd --config FILE | --check-config FILE\n"
    "Runs the roles that the settings turn on, until SIGTERM, which is a planned stop.";

int printFaults(const settings::ValidationErrors& faults) {
  for (const settings::ValidationError& fault : faults) {
    std::fprintf(stderr, "%s\n", settings::describe(fault).c_str());
  }
  return kExitUsage;
}

int fail(const std::string& message) {
  logging::write(logging::Severity::Error, "start_failed", {{"error", message}});
  return kExitFailure;
}

/// Exits without destroying the roles, since interrupted operations and a thread that is blocked on
/// a hanging disk may still use them.
[[noreturn]] void endProcess(int exit_code) {
  logging::finish();
  std::_Exit(exit_code);
}

/// Runs the configured roles until a stop signal arrives.
[[noreturn]] void runDaemon(const v1::Settings& settings) {
  logging::initialize(settings.name());
  const SystemClock clock;
  const uint64_t incarnation = SeededRandom::fromEntropy().next();
  WorkerPool workers(settings.has_router() ? settings.router().workers() : 1);
  std::optional<daemon::ControlRole> control;
  std::optional<daemon::RouterRole> router;
  if (settings.has_control()) {
    control.emplace(settings, workers, clock);
    if (const auto started = control->start(); isError(started)) {
      endProcess(fail(errorOf(started).message));
    }
  }
  if (settings.has_router()) {
    router.emplace(settings, incarnation, workers, clock);
    if (const auto started = router->start(); isError(started)) {
      endProcess(fail(errorOf(started).message));
    }
  }
  workers.start();
  logging::write(logging::Severity::Info, "started",
                 {{"version", WORKSHATCH_VERSION},
                  {"zone", settings.zone()},
                  {"router", settings.has_router()},
                  {"control", settings.has_control()}});
  awaitStopSignal();
  if (router) {
    router->drain();
  }
  if (control) {
    control->stop();
  }
  workers.stop();
  logging::write(logging::Severity::Info, "stopped", nlohmann::json::object());
  endProcess(kExitOk);
}

} // namespace

int main(int argc, char** argv) {
  // Blocked before anything else, so that a signal during startup also leads to a planned stop.
  blockHandledSignals();
  parseProgramFlags(&argc, &argv, kUsage, "daemon/main.cc");
  const std::string path = FLAGS_check_config.empty() ? FLAGS_config : FLAGS_check_config;
  if (path.empty() || argc != 1) {
    std::fprintf(stderr, "%s\n", kUsage);
    return kExitUsage;
  }
  const auto loaded = settings::loadSettings(path);
  if (const auto* faults = std::get_if<settings::ValidationErrors>(&loaded)) {
    return printFaults(*faults);
  }
  if (!FLAGS_check_config.empty()) {
    std::printf("%s: no faults\n", path.c_str());
    return kExitOk;
  }
  runDaemon(std::get<v1::Settings>(loaded));
}
