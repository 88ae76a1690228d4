#include "adapters/http/problem.h"

#include <nlohmann/json.hpp>

namespace workshatch::http {

namespace {

constexpr uint32_t kMillisecondsPerSecond = 1000;

} // namespace

const char* nameOf(Execution execution) {
  switch (execution) {
  case Execution::Completed:
    return "completed";
  case Execution::Unknown:
    return "unknown";
  default:
    return "not-run";
  }
}

Response makeProblem(const Problem& problem) {
  nlohmann::json body = {
      {"type", "urn:workshatch:" + problem.code},
      {"title", std::string(viewOf(boost::beast::http::obsolete_reason(problem.status)))},
      {"status", static_cast<unsigned>(problem.status)},
      {"detail", problem.detail},
      {"execution", nameOf(problem.execution)},
  };
  if (!problem.request_id.empty()) {
    body["request_id"] = problem.request_id;
  }
  if (!problem.addresses.empty()) {
    body["addresses"] = problem.addresses;
  }
  if (problem.retry_after_ms != 0) {
    body["retry_after_ms"] = problem.retry_after_ms;
  }
  const auto replace = nlohmann::json::error_handler_t::replace;
  Response response =
      makeResponse(problem.status, "application/problem+json", body.dump(-1, ' ', false, replace));
  if (problem.retry_after_ms != 0) {
    const uint32_t seconds =
        (problem.retry_after_ms + kMillisecondsPerSecond - 1) / kMillisecondsPerSecond;
    response.set(Field::retry_after, std::to_string(seconds));
  }
  response.set("X-Execution", nameOf(problem.execution));
  return response;
}

} // namespace workshatch::http
