/// @file
/// Error responses as `application/problem+json` (RFC 9457), which state whether the request was
/// executed.
#pragma once

#include <string>
#include <vector>

#include "adapters/http/http_types.h"

namespace workshatch::http {

/// Whether the request of an error response was executed, as far as the sender knows.
enum class Execution { NotRun, Completed, Unknown };

/// @return the name on the wire.
const char* nameOf(Execution execution);

/// Content of an error response.
struct Problem {
  Status status = Status::internal_server_error;
  /// Stable, machine-readable name of the kind of problem.
  std::string code;
  /// Description for people; names the invalid field, if any.
  std::string detail;
  Execution execution = Execution::NotRun;
  /// Milliseconds after which a retry may succeed; zero if a retry is pointless.
  uint32_t retry_after_ms = 0;
  std::string request_id;
  /// Other addresses that may serve the request.
  std::vector<std::string> addresses;
};

/// @return the response with the headers Retry-After (in seconds, rounded up, if there is a retry
/// delay) and X-Execution.
Response makeProblem(const Problem& problem);

} // namespace workshatch::http
