#include "cli/log_commands.h"

#include <cstdio>
#include <fstream>
#include <iostream>
#include <optional>

#include "adapters/logging/log_report.h"
#include "adapters/program.h"

namespace workshatch::cli {

namespace {

std::optional<std::vector<logging::LogLine>> readLogFiles(const std::vector<std::string>& files) {
  std::vector<logging::LogLine> lines;
  if (files.empty()) {
    logging::readLogLines(std::cin, lines);
  }
  for (const std::string& path : files) {
    std::ifstream file(path);
    if (!file) {
      std::fprintf(stderr, "workshatch: %s: cannot be read\n", path.c_str());
      return std::nullopt;
    }
    logging::readLogLines(file, lines);
  }
  return lines;
}

/// Prints a table with the items that each process had in force.
/// @param name heading of the column with the items' names
int printInForce(const char* name, const std::vector<logging::RestrictionReport>& reports) {
  std::printf("%-28s %10s  %-34s %s\n", "process", "version", name, "since_ms");
  for (const logging::RestrictionReport& report : reports) {
    const auto version = static_cast<unsigned long long>(report.version);
    if (report.items.empty()) {
      std::printf("%-28s %10llu  %s\n", report.process.c_str(), version, "none");
    }
    for (const auto& item : report.items) {
      std::printf("%-28s %10llu  %-34s %llu\n", report.process.c_str(), version, item.name.c_str(),
                  static_cast<unsigned long long>(item.since_ms));
    }
  }
  return kExitOk;
}

} // namespace

int runTrace(const std::string& request, const std::vector<std::string>& files) {
  const auto lines = readLogFiles(files);
  if (!lines) {
    return kExitUsage;
  }
  const std::vector<std::string> texts = logging::traceRequest(*lines, request);
  for (const std::string& text : texts) {
    std::printf("%s\n", text.c_str());
  }
  if (texts.empty()) {
    std::fprintf(stderr, "workshatch: trace: no line is about request \"%s\"\n", request.c_str());
    return kExitFailure;
  }
  return kExitOk;
}

int runOutcomes(const std::vector<std::string>& files) {
  const auto lines = readLogFiles(files);
  if (!lines) {
    return kExitUsage;
  }
  std::printf("%8s  %-16s %-20s %-28s %s\n", "count", "event", "outcome", "error", "for example");
  for (const logging::OutcomeCount& count : logging::countOutcomes(*lines)) {
    std::printf("%8llu  %-16s %-20s %-28s %s\n", static_cast<unsigned long long>(count.count),
                count.event.c_str(), count.outcome.c_str(), count.error.c_str(),
                count.first_request.c_str());
  }
  return kExitOk;
}

int runEvacuations(const std::vector<std::string>& files) {
  const auto lines = readLogFiles(files);
  return lines ? printInForce("zone", logging::latestEvacuations(*lines)) : kExitUsage;
}

int runQuarantine(const std::vector<std::string>& files) {
  const auto lines = readLogFiles(files);
  return lines ? printInForce("identity", logging::latestQuarantine(*lines)) : kExitUsage;
}

} // namespace workshatch::cli
