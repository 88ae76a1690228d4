/// @file
/// Reads the JSON log lines of many processes: one request's way, and sums by outcome.
#pragma once

#include <cstdint>
#include <istream>
#include <string>
#include <vector>

#include <nlohmann/json.hpp>

namespace workshatch::logging {

/// One line of a log. Whatever stands before the JSON object, such as a collector's prefix, is left
/// out.
struct LogLine {
  uint64_t time_ms = 0;
  std::string process;
  std::string event;
  nlohmann::json fields;
};

/// Appends the lines of `input` that hold a JSON object with an event; others are left out.
void readLogLines(std::istream& input, std::vector<LogLine>& lines);

/// @param request id of one try, or the identity that all tries of a request share
/// @return the lines about it, oldest first, each as text.
std::vector<std::string> traceRequest(const std::vector<LogLine>& lines,
                                      const std::string& request);

/// How often something happened, and the first request that it happened to.
struct OutcomeCount {
  std::string event;
  /// Outcome or reason.
  std::string outcome;
  std::string error;
  uint64_t count = 0;
  std::string first_request;
};

/// @return counts by event, outcome and error of the lines about requests, most frequent first.
std::vector<OutcomeCount> countOutcomes(const std::vector<LogLine>& lines);

/// What the operators' or the leader's orders keep from running, as a process held it when its log
/// ended: evacuated zones, or requests in quarantine.
struct RestrictionReport {
  std::string process;
  uint64_t version = 0;
  struct Item {
    /// Name of a zone, or identity of a request.
    std::string name;
    /// Wall time of the order, milliseconds since the epoch.
    uint64_t since_ms = 0;
  };
  std::vector<Item> items;
};

/// @return the newest evacuations of each process that logged any, by its name.
std::vector<RestrictionReport> latestEvacuations(const std::vector<LogLine>& lines);

/// @return the newest quarantine of each process that logged any, by its name.
std::vector<RestrictionReport> latestQuarantine(const std::vector<LogLine>& lines);

} // namespace workshatch::logging
