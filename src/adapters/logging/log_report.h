/// @file
/// Evaluates the JSON log lines of several processes: the lines about one request, counts by
/// outcome, and the evacuations and quarantines that each process logged last.
#pragma once

#include <cstdint>
#include <istream>
#include <string>
#include <vector>

#include <nlohmann/json.hpp>

namespace workshatch::logging {

/// One line of a log. Text before the JSON object, such as the prefix of a log collector, is
/// ignored.
struct LogLine {
  uint64_t time_ms = 0;
  std::string process;
  std::string event;
  nlohmann::json fields;
};

/// Appends the lines of `input` that contain a JSON object with an event. Other lines are skipped.
void readLogLines(std::istream& input, std::vector<LogLine>& lines);

/// @param request id of one attempt, or the identity that all attempts of a request share
/// @return the lines about it, formatted as text, oldest first.
std::vector<std::string> traceRequest(const std::vector<LogLine>& lines,
                                      const std::string& request);

/// Number of lines with the same event, outcome and error, and the request of the first one.
struct OutcomeCount {
  std::string event;
  /// Member "outcome" of the line, or "reason" if there is none.
  std::string outcome;
  std::string error;
  uint64_t count = 0;
  std::string first_request;
};

/// @return the number of lines about requests by event, outcome and error, highest first.
std::vector<OutcomeCount> countOutcomes(const std::vector<LogLine>& lines);

/// The evacuated zones, or the quarantined requests, that a process logged last. Evacuations are
/// ordered by operators, quarantines by the leader.
struct RestrictionReport {
  std::string process;
  uint64_t version = 0;
  struct Item {
    /// Name of a zone, or identity of a request.
    std::string name;
    /// Time of the order, in milliseconds since the Unix epoch.
    uint64_t since_ms = 0;
  };
  std::vector<Item> items;
};

/// @return the latest evacuations of each process that logged any, sorted by process name.
std::vector<RestrictionReport> latestEvacuations(const std::vector<LogLine>& lines);

/// @return the latest quarantine of each process that logged any, sorted by process name.
std::vector<RestrictionReport> latestQuarantine(const std::vector<LogLine>& lines);

} // namespace workshatch::logging
