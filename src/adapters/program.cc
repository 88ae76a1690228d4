#include "adapters/program.h"

#include <csignal>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <vector>

#include <gflags/gflags.h>

#include "adapters/process_signals.h"

namespace workshatch {

namespace {

void showHelp(const std::string& usage, const std::string& main_file) {
  std::printf("%s\n\nFlags:\n", usage.c_str());
  std::vector<gflags::CommandLineFlagInfo> flags;
  gflags::GetAllFlags(&flags);
  for (const auto& flag : flags) {
    if (flag.filename.find(main_file) != std::string::npos) {
      std::printf("  --%s (%s; default: %s)\n", flag.name.c_str(), flag.description.c_str(),
                  flag.default_value.empty() ? "none" : flag.default_value.c_str());
    }
  }
  std::printf("  --help, --version\n\n"
              "Exit codes: 0 done, 1 failed, 2 bad flags, settings or declarations, 3 conflict,\n"
              "4 committed but not yet in force everywhere, 5 no control leader reached.\n");
}

} // namespace

void parseProgramFlags(int* argc, char*** argv, const std::string& usage,
                       const std::string& main_file) {
  for (int i = 1; i < *argc; ++i) {
    if (std::strcmp((*argv)[i], "--help") == 0) {
      showHelp(usage, main_file);
      std::exit(kExitOk);
    }
    if (std::strcmp((*argv)[i], "--version") == 0) {
      std::printf("workshatch %s\n", WORKSHATCH_VERSION);
      std::exit(kExitOk);
    }
  }
  gflags::ParseCommandLineNonHelpFlags(argc, argv, true);
}

void awaitStopSignal() {
  const sigset_t signals = stopSignals();
  int received = 0;
  sigwait(&signals, &received);
}

} // namespace workshatch
