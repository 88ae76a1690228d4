/// @file
/// Commands that read log files: `trace`, `outcomes`, `evacuations` and `quarantine`.
#pragma once

#include <string>
#include <vector>

namespace workshatch::cli {

/// Prints the way of one try, or of all tries of a request, through the logs of all processes.
/// @param files log files; none: standard input
/// @return exit code; a failure when no line is about the request.
int runTrace(const std::string& request, const std::vector<std::string>& files);

/// Prints how requests and attempts ended, most frequent first, each with an example.
int runOutcomes(const std::vector<std::string>& files);

/// Prints which zones each process held for evacuated when its log ended, and since when.
int runEvacuations(const std::vector<std::string>& files);

/// Prints which requests each process held to be in quarantine when its log ended, and since when.
int runQuarantine(const std::vector<std::string>& files);

} // namespace workshatch::cli
