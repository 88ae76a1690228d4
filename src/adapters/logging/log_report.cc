#include "adapters/logging/log_report.h"

#include <algorithm>
#include <map>
#include <tuple>
#include <utility>

namespace workshatch::logging {

namespace {

using nlohmann::json;

std::string textOf(const json& fields, const char* name) {
  const auto found = fields.find(name);
  return found != fields.end() && found->is_string() ? found->get<std::string>() : std::string();
}

std::string describe(const LogLine& line) {
  std::string text = std::to_string(line.time_ms) + " " + line.process + " " + line.event;
  for (const auto& [name, value] : line.fields.items()) {
    const bool shown = name != "time_ms" && name != "process" && name != "event";
    if (shown) {
      text += " " + name + "=" + value.dump();
    }
  }
  return text;
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
    line.event = textOf(line.fields, "event");
    line.process = textOf(line.fields, "process");
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
    const bool about =
        textOf(line.fields, "request") == request || textOf(line.fields, "request_id") == request;
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
    texts.push_back(describe(*line));
  }
  return texts;
}

std::vector<OutcomeCount> countOutcomes(const std::vector<LogLine>& lines) {
  std::map<std::tuple<std::string, std::string, std::string>, OutcomeCount> counts;
  for (const LogLine& line : lines) {
    const std::string request = textOf(line.fields, "request");
    if (request.empty()) {
      continue;
    }
    std::string outcome = textOf(line.fields, "outcome");
    if (outcome.empty()) {
      outcome = textOf(line.fields, "reason");
    }
    const std::string error = textOf(line.fields, "error");
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

std::vector<EvacuationReport> evacuationsOf(const std::vector<LogLine>& lines) {
  std::map<std::string, EvacuationReport> newest;
  for (const LogLine& line : lines) {
    const auto zones = line.fields.find("zones");
    const uint64_t version = line.fields.value("version", uint64_t{0});
    const bool told = line.event == "evacuations_in_force" && zones != line.fields.end();
    if (!told || version < newest[line.process].version) {
      continue;
    }
    EvacuationReport report{.process = line.process, .version = version};
    for (const json& zone : *zones) {
      report.zones.push_back(EvacuationReport::Zone{
          .name = textOf(zone, "zone"), .since_ms = zone.value("since_ms", uint64_t{0})});
    }
    newest[line.process] = std::move(report);
  }
  std::erase_if(newest, [](const auto& entry) { return entry.second.version == 0; });
  std::vector<EvacuationReport> reports;
  for (auto& [process, report] : newest) {
    reports.push_back(std::move(report));
  }
  return reports;
}

} // namespace workshatch::logging
