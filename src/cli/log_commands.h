/// @file
/// Commands that evaluate log files: `trace`, `outcomes`, `evacuations` and `quarantine`.
#pragma once

#include <string>
#include <vector>

namespace workshatch::cli {

/// Prints the log lines of all processes about one attempt, or about all attempts of a request,
/// oldest first.
/// @param request id of one attempt, or the identity that all attempts of a request share
/// @param files log files; standard input when empty
/// @return the exit code; kExitFailure when no line is about the request.
int runTrace(const std::string& request, const std::vector<std::string>& files);

/// Prints the outcomes of requests and attempts with their counts, most frequent first, each with
/// one request as an example.
int runOutcomes(const std::vector<std::string>& files);

/// Prints the zones that each process treated as evacuated at the end of its log, and since when.
int runEvacuations(const std::vector<std::string>& files);

/// Prints the requests that each process treated as quarantined at the end of its log, and since
/// when.
int runQuarantine(const std::vector<std::string>& files);

} // namespace workshatch::cli
