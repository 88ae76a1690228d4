#include "daemon/router/decision_log.h"

#include <nlohmann/json.hpp>

#include "adapters/logging/json_log.h"

namespace workshatch::daemon {

namespace {

uint64_t microsSince(std::chrono::steady_clock::time_point start) {
  return static_cast<uint64_t>(std::chrono::duration_cast<std::chrono::microseconds>(
                                   std::chrono::steady_clock::now() - start)
                                   .count());
}

std::string hexOf(uint64_t number) {
  char text[17];
  std::snprintf(text, sizeof(text), "%016llx", static_cast<unsigned long long>(number));
  return text;
}

} // namespace

uint64_t logDecision(const RequestContext& context, const Decision& decision) {
  const uint64_t duration_us = microsSince(context.started);
  nlohmann::json skipped_engines = nlohmann::json::array();
  for (const SkippedEngine& candidate : context.skipped_engines) {
    skipped_engines.push_back({{"engine", candidate.engine}, {"reason", candidate.reason}});
  }
  logging::write(logging::Severity::Info, "routing_decision",
                 {{"request_id", context.id},
                  {"tenant", context.tenant},
                  {"session", context.session == 0 ? "" : hexOf(context.session)},
                  {"pool", context.service},
                  {"engine", decision.engine},
                  {"owner", decision.owner},
                  {"reason", decision.reason},
                  {"cost", context.cost},
                  {"passed_over", std::move(skipped_engines)},
                  {"revision", context.serving_snapshot.revision},
                  {"view", context.serving_snapshot.view->number()},
                  {"duration_us", duration_us}});
  return duration_us;
}

void logOutcome(const RequestContext& context, const std::string& engine, http::Execution execution,
                unsigned status) {
  logging::write(logging::Severity::Info, "request_outcome",
                 {{"request_id", context.id},
                  {"tenant", context.tenant},
                  {"pool", context.service},
                  {"engine", engine},
                  {"execution", http::nameOf(execution)},
                  {"status", status},
                  {"revision", context.serving_snapshot.revision},
                  {"duration_us", microsSince(context.started)}});
}

} // namespace workshatch::daemon
