/// @file
/// Tests of the evaluation of log lines: traces of a request, counts by outcome, evacuations and
/// quarantine.
#include <sstream>

#include <doctest/doctest.h>

#include "adapters/logging/log_report.h"

namespace workshatch::test {

namespace {

std::vector<logging::LogLine> sample() {
  std::istringstream input(
      R"(prefix {"event":"request_ended","outcome":"answered","process":"b","request":"q1","time_ms":20}
no JSON
{"event":"attempt_ended","outcome":"failed","error":"reset","process":"b","request":"q1","time_ms":10}
{"event":"attempt_ended","outcome":"failed","error":"reset","process":"a","request":"q2","time_ms":5}
{"event":"started","process":"a","time_ms":1}
{"broken
)");
  std::vector<logging::LogLine> lines;
  logging::readLogLines(input, lines);
  return lines;
}

} // namespace

TEST_CASE("A trace contains the lines of one request in order of time") {
  const auto lines = sample();
  CHECK(lines.size() == 4);
  const auto texts = logging::traceRequest(lines, "q1");
  REQUIRE(texts.size() == 2);
  CHECK(texts[0].starts_with("10 b attempt_ended"));
  CHECK(texts[1].starts_with("20 b request_ended"));
  CHECK(logging::traceRequest(lines, "q9").empty());
}

TEST_CASE("Outcomes are counted, most frequent first, each with its first request") {
  const auto counts = logging::countOutcomes(sample());
  REQUIRE(counts.size() == 2);
  CHECK(counts[0].count == 2);
  CHECK(counts[0].error == "reset");
  CHECK(counts[0].first_request == "q1");
  CHECK(counts[1].outcome == "answered");
}

TEST_CASE("The latest evacuations of each process are reported, also if none is left") {
  std::istringstream input(
      R"({"event":"evacuations_in_force","process":"a","version":7,"zones":[{"zone":"north","since_ms":70}]}
{"event":"evacuations_in_force","process":"b","version":7,"zones":[{"zone":"north","since_ms":70}]}
{"event":"evacuations_in_force","process":"b","version":9,"zones":[]}
{"event":"started","process":"c"}
)");
  std::vector<logging::LogLine> lines;
  logging::readLogLines(input, lines);
  const auto reports = logging::latestEvacuations(lines);
  REQUIRE(reports.size() == 2);
  REQUIRE(reports[0].items.size() == 1);
  CHECK(reports[0].items[0].name == "north");
  CHECK(reports[0].items[0].since_ms == 70);
  CHECK(reports[1].process == "b");
  CHECK(reports[1].version == 9);
  CHECK(reports[1].items.empty());
}

TEST_CASE("The latest quarantine is reported, and a trace by identity has all attempts") {
  std::istringstream input(
      R"({"event":"attempt_ended","process":"a","request":"q1","identity":"01-02","time_ms":1}
{"event":"request_ended","process":"b","request":"q2","identity":"01-02","time_ms":2}
{"event":"request_ended","process":"b","request":"q3","identity":"01-03","time_ms":3}
{"event":"quarantine_in_force","process":"a","version":5,"requests":[{"identity":"01-02","since_ms":60}]}
)");
  std::vector<logging::LogLine> lines;
  logging::readLogLines(input, lines);
  const auto reports = logging::latestQuarantine(lines);
  REQUIRE(reports.size() == 1);
  REQUIRE(reports[0].items.size() == 1);
  CHECK(reports[0].items[0].name == "01-02");
  CHECK(logging::traceRequest(lines, "01-02").size() == 2);
  CHECK(logging::latestEvacuations(lines).empty());
}

} // namespace workshatch::test
