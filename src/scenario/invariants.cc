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

/// Every serving router must have activated an accepted change within this time.
constexpr int64_t kActivationDeadlineMs = 3000;
/// Maximum time until a refusal: it must not take longer than the search for an engine or for the
/// ledger.
constexpr int64_t kMaxRefusalMs = 9000;
constexpr size_t kMaxReportedViolations = 10;

/// Runs that the back ends recorded.
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
      for (const AttemptResult& attempt : load->attempts()) {
        checkAttempt(attempt);
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

  void checkAttempt(const AttemptResult& attempt) {
    switch (attempt.outcome) {
    case AttemptOutcome::Completed:
      ++report_.counts.completed;
      if (!attempt.key.empty()) {
        responses_by_key_[attempt.key].insert(attempt.body);
      }
      break;
    case AttemptOutcome::NotRun:
      ++report_.counts.not_run;
      checkRefusal(attempt);
      break;
    case AttemptOutcome::Unknown:
      ++report_.counts.unknown;
      break;
    case AttemptOutcome::Lost:
      ++report_.counts.lost;
      break;
    case AttemptOutcome::Rejected:
      fail("request " + attempt.id + " was rejected: " + attempt.body);
    }
  }

  void checkRefusal(const AttemptResult& attempt) {
    if (runs_.ids.contains(attempt.id)) {
      fail("request " + attempt.id + " was answered with not-run although it ran");
    }
    if (!attempt.has_retry_after) {
      fail("refusal of " + attempt.id + " has no Retry-After: " + attempt.body);
    }
    report_.counts.slowest_refusal_ms =
        std::max<uint64_t>(report_.counts.slowest_refusal_ms,
                           static_cast<uint64_t>(std::max<int64_t>(attempt.duration_ms, 0)));
    if (attempt.duration_ms > kMaxRefusalMs) {
      fail("refusal of " + attempt.id + " took " + std::to_string(attempt.duration_ms) + " ms");
    }
  }

  void checkKeys() {
    for (const auto& [key, count] : runs_.by_key) {
      if (!key.empty() && count > 1) {
        fail("key " + key + " ran " + std::to_string(count) + " times");
      }
    }
    for (const auto& [key, bodies] : responses_by_key_) {
      if (bodies.size() > 1) {
        fail("key " + key + " was answered in " + std::to_string(bodies.size()) + " ways");
      }
      if (runs_.by_key[key] != 1) {
        fail("key " + key + " was answered but does not have exactly one recorded run");
      }
    }
  }

  void checkChatTurn(const ChatTurn& chat_turn) {
    ++report_.counts.chat_turns;
    if (chat_turn.misplaced_events != 0) {
      fail("chat " + chat_turn.id +
           " received duplicate or reordered events, or events of another request");
    }
    if (chat_turn.complete && chat_turn.text != chat_turn.expected_text) {
      fail("chat " + chat_turn.id + " received another text than the expected one");
    }
    if (!chat_turn.complete) {
      fail("chat " + chat_turn.id + " did not receive a complete response");
    }
  }

  /// @return milliseconds since the epoch of a log timestamp, or zero if it is malformed.
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
        // A restarted process has no active revision.
        active_revision = 0;
      } else if (name == "configuration_in_force") {
        const uint64_t revision = event.value("revision", uint64_t{0});
        if (revision < active_revision) {
          fail(path + ": active revision decreased from " + std::to_string(active_revision));
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
  std::map<std::string, std::set<std::string>> responses_by_key_;
};

} // namespace

InvariantReport checkInvariants(const InvariantInputs& inputs) {
  return InvariantChecker(inputs).check();
}

} // namespace workshatch::scenario
