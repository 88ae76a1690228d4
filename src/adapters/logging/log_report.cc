#include "adapters/logging/log_report.h"

#include <algorithm>
#include <map>
#include <tuple>
#include <utility>

namespace workshatch::logging {

namespace {

using nlohmann::json;

std::string stringMember(const json& fields, const char* name) {
  const auto found = fields.find(name);
  return found != fields.end() && found->is_string() ? found->get<std::string>() : std::string();
}

std::string formatLine(const LogLine& line) {
  std::string text = std::to_string(line.time_ms) + " " + line.process + " " + line.event;
  for (const auto& [name, value] : line.fields.items()) {
    const bool shown = name != "time_ms" && name != "process" && name != "event";
    if (shown) {
      text += " " + name + "=" + value.dump();
    }
  }
  return text;
}

/// Names of the members of an event that contains a complete list.
struct ListEventFormat {
  const char* event;
  const char* items;
  /// Member of an item that identifies it.
  const char* name;
};

std::vector<RestrictionReport> latestReports(const std::vector<LogLine>& lines,
                                             const ListEventFormat& format) {
  std::map<std::string, RestrictionReport> newest;
  for (const LogLine& line : lines) {
    const auto items = line.fields.find(format.items);
    const uint64_t version = line.fields.value("version", uint64_t{0});
    const bool matches = line.event == format.event && items != line.fields.end();
    if (!matches || version < newest[line.process].version) {
      continue;
    }
    RestrictionReport report{.process = line.process, .version = version};
    for (const json& item : *items) {
      report.items.push_back(
          RestrictionReport::Item{.name = stringMember(item, format.name),
                                  .since_ms = item.value("since_ms", uint64_t{0})});
    }
    newest[line.process] = std::move(report);
  }
  std::erase_if(newest, [](const auto& entry) { return entry.second.version == 0; });
  std::vector<RestrictionReport> reports;
  for (auto& [process, report] : newest) {
    reports.push_back(std::move(report));
  }
  return reports;
}

} // namespace

void readLogLines(std::istream& input, std::vector<LogLine>& lines) {
  std::string text;
  while (std::getline(input, text)) {
    const size_t begin = text.find('{');
    if (begin == std::string::npos) {
      continue;
    }
    LogLine line;
    line.fields =
        json::parse(text.begin() + static_cast<std::ptrdiff_t>(begin), text.end(), nullptr, false);
    if (!line.fields.is_object()) {
      continue;
    }
    line.event = stringMember(line.fields, "event");
    line.process = stringMember(line.fields, "process");
    const auto time = line.fields.find("time_ms");
    if (time != line.fields.end() && time->is_number_unsigned()) {
      line.time_ms = time->get<uint64_t>();
    }
    if (!line.event.empty()) {
      lines.push_back(std::move(line));
    }
  }
}

std::vector<std::string> traceRequest(const std::vector<LogLine>& lines,
                                      const std::string& request) {
  std::vector<const LogLine*> found;
  for (const LogLine& line : lines) {
    const bool about = stringMember(line.fields, "request") == request ||
                       stringMember(line.fields, "request_id") == request ||
                       stringMember(line.fields, "identity") == request;
    if (about) {
      found.push_back(&line);
    }
  }
  std::stable_sort(found.begin(), found.end(), [](const LogLine* left, const LogLine* right) {
    return left->time_ms < right->time_ms;
  });
  std::vector<std::string> texts;
  texts.reserve(found.size());
  for (const LogLine* line : found) {
    texts.push_back(formatLine(*line));
  }
  return texts;
}

std::vector<OutcomeCount> countOutcomes(const std::vector<LogLine>& lines) {
  std::map<std::tuple<std::string, std::string, std::string>, OutcomeCount> counts;
  for (const LogLine& line : lines) {
    const std::string request = stringMember(line.fields, "request");
    if (request.empty()) {
      continue;
    }
    std::string outcome = stringMember(line.fields, "outcome");
    if (outcome.empty()) {
      outcome = stringMember(line.fields, "reason");
    }
    const std::string error = stringMember(line.fields, "error");
    OutcomeCount& count = counts[{line.event, outcome, error}];
    if (count.count++ == 0) {
      count.event = line.event;
      count.outcome = outcome;
      count.error = error;
      count.first_request = request;
    }
  }
  std::vector<OutcomeCount> sorted;
  for (auto& [key, count] : counts) {
    sorted.push_back(std::move(count));
  }
  std::stable_sort(sorted.begin(), sorted.end(),
                   [](const auto& left, const auto& right) { return left.count > right.count; });
  return sorted;
}

std::vector<RestrictionReport> latestEvacuations(const std::vector<LogLine>& lines) {
  return latestReports(
      lines, ListEventFormat{.event = "evacuations_in_force", .items = "zones", .name = "zone"});
}

std::vector<RestrictionReport> latestQuarantine(const std::vector<LogLine>& lines) {
  return latestReports(
      lines,
      ListEventFormat{.event = "quarantine_in_force", .items = "requests", .name = "identity"});
}

} // namespace workshatch::logging
