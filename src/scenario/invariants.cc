#include "scenario/invariants.h"

#include <algorithm>
#include <ctime>
#include <fstream>
#include <map>
#include <set>

#include <nlohmann/json.hpp>

namespace workshatch::scenario {

using nlohmann::json;

namespace {

/// An accepted change is in force on every router that serves within this time.
constexpr int64_t kActivationDeadlineMs = 3000;
/// A refusal takes no longer than looking for an engine or the ledger does.
constexpr int64_t kMaxRefusalMs = 9000;
constexpr size_t kMaxReportedViolations = 10;

struct RecordedRuns {
  std::set<std::string> ids;
  std::map<std::string, uint64_t> by_key;
  uint64_t total = 0;
};

class InvariantChecker {
public:
  explicit InvariantChecker(const InvariantInputs& inputs) : inputs_(inputs) {}

  InvariantReport check() {
    readRunLogs();
    for (const LoadGenerator* load : inputs_.loads) {
      for (const AttemptResult& answer : load->attempts()) {
        checkAttempt(answer);
      }
      for (const ChatTurn& chat_turn : load->chatTurns()) {
        checkChatTurn(chat_turn);
      }
    }
    checkKeys();
    for (const std::string& path : inputs_.daemon_logs) {
      checkLog(path);
    }
    report_.counts.runs = runs_.total;
    return report_;
  }

private:
  void fail(const std::string& text) {
    if (report_.violations.size() < kMaxReportedViolations) {
      report_.violations.push_back(text);
    }
  }

  void readRunLogs() {
    for (const std::string& path : inputs_.run_logs) {
      std::ifstream in(path);
      for (std::string line; std::getline(in, line);) {
        const size_t tab = line.find('\t');
        const std::string key = line.substr(tab + 1);
        runs_.ids.insert(line.substr(0, tab));
        runs_.by_key[key] += key.empty() ? 0 : 1;
        ++runs_.total;
      }
    }
  }

  void checkAttempt(const AttemptResult& answer) {
    switch (answer.kind) {
    case AttemptOutcome::Completed:
      ++report_.counts.completed;
      if (!answer.key.empty()) {
        answers_by_key_[answer.key].insert(answer.body);
      }
      break;
    case AttemptOutcome::NotRun:
      ++report_.counts.not_run;
      checkRefusal(answer);
      break;
    case AttemptOutcome::Unknown:
      ++report_.counts.unknown;
      break;
    case AttemptOutcome::Lost:
      ++report_.counts.lost;
      break;
    case AttemptOutcome::Rejected:
      fail("request " + answer.id + " was rejected: " + answer.body);
    }
  }

  void checkRefusal(const AttemptResult& answer) {
    if (runs_.ids.contains(answer.id)) {
      fail("request " + answer.id + " was answered not-run and ran");
    }
    if (!answer.has_retry_after) {
      fail("refusal of " + answer.id + " has no Retry-After: " + answer.body);
    }
    report_.counts.slowest_refusal_ms =
        std::max<uint64_t>(report_.counts.slowest_refusal_ms,
                           static_cast<uint64_t>(std::max<int64_t>(answer.duration_ms, 0)));
    if (answer.duration_ms > kMaxRefusalMs) {
      fail("refusal of " + answer.id + " took " + std::to_string(answer.duration_ms) + " ms");
    }
  }

  void checkKeys() {
    for (const auto& [key, count] : runs_.by_key) {
      if (!key.empty() && count > 1) {
        fail("key " + key + " ran " + std::to_string(count) + " times");
      }
    }
    for (const auto& [key, bodies] : answers_by_key_) {
      if (bodies.size() > 1) {
        fail("key " + key + " was answered in " + std::to_string(bodies.size()) + " ways");
      }
      if (runs_.by_key[key] != 1) {
        fail("key " + key + " was answered and its run is not recorded");
      }
    }
  }

  void checkChatTurn(const ChatTurn& chat_turn) {
    ++report_.counts.chat_turns;
    if (chat_turn.misplaced_events != 0) {
      fail("chat " + chat_turn.id + " got events twice, out of order or of another request");
    }
    if (chat_turn.complete && chat_turn.text != chat_turn.expected_text) {
      fail("chat " + chat_turn.id + " got another text than its own");
    }
    if (!chat_turn.complete) {
      fail("chat " + chat_turn.id + " never got its whole answer");
    }
  }

  static int64_t parseTimestampMs(const std::string& timestamp) {
    std::tm parts{};
    const char* rest = ::strptime(timestamp.c_str(), "%Y-%m-%dT%H:%M:%S", &parts);
    if (rest == nullptr) {
      return 0;
    }
    constexpr int64_t kPerSecond = 1000;
    return static_cast<int64_t>(timegm(&parts)) * kPerSecond +
           std::strtol(rest + 1, nullptr, 10) / kPerSecond;
  }

  void checkLog(const std::string& path) {
    std::ifstream in(path);
    uint64_t active_revision = 0;
    for (std::string line; std::getline(in, line);) {
      const json event = json::parse(line, nullptr, false);
      if (!event.is_object()) {
        if (!line.empty()) {
          fail(path + ": not a JSON line: " + line.substr(0, 80));
        }
        continue;
      }
      const std::string name = event.value("event", "");
      if (name == "started") {
        // A process that starts has nothing in force.
        active_revision = 0;
      } else if (name == "configuration_in_force") {
        const uint64_t revision = event.value("revision", uint64_t{0});
        if (revision < active_revision) {
          fail(path + ": revision went back from " + std::to_string(active_revision));
        }
        active_revision = revision;
      } else if (name == "routing_decision") {
        checkDecision(path, event);
      }
    }
  }

  void checkDecision(const std::string& path, const json& event) {
    ++report_.counts.decisions;
    const uint64_t revision = event.value("revision", uint64_t{0});
    const int64_t started =
        parseTimestampMs(event.value("time", "")) - event.value("duration_us", int64_t{0}) / 1000;
    for (const AcceptedChange& change : inputs_.accepted) {
      if (started > change.at_ms + kActivationDeadlineMs && revision < change.revision) {
        fail(path + ": served under revision " + std::to_string(revision) + " after " +
             std::to_string(change.revision) + " was accepted");
        return;
      }
    }
  }

  const InvariantInputs& inputs_;
  InvariantReport report_;
  RecordedRuns runs_;
  std::map<std::string, std::set<std::string>> answers_by_key_;
};

} // namespace

InvariantReport checkInvariants(const InvariantInputs& inputs) {
  return InvariantChecker(inputs).check();
}

} // namespace workshatch::scenario
