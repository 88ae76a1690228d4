/// @file
/// Stand-in for a plain service, such as bookings or tickets. Counts runs by idempotency key.
#pragma once

#include <string>

#include "adapters/http/http_server.h"
#include "standin/injected_faults.h"
#include "standin/run_record.h"

namespace workshatch::standin {

/// HTTP handler of the stand-in. Not safe for concurrent use; owned by one worker.
class PlainService {
public:
  /// @param run_log file to which each run is appended; empty for no file
  PlainService(std::string name, const std::string& run_log)
      : name_(std::move(name)), runs_(run_log) {}

  http::awaitable<void> handle(http::Exchange& exchange);

private:
  http::awaitable<void> handleRequest(http::Exchange& exchange);

  const std::string name_;
  InjectedFaults faults_;
  RunRecord runs_;
  uint64_t run_count_ = 0;
};

} // namespace workshatch::standin
