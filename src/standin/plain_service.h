/// @file
/// Stand-in for a plain service: bookings, confirmations, tickets. Counts runs by key.
#pragma once

#include <string>

#include "adapters/http/http_server.h"
#include "standin/injected_faults.h"
#include "standin/run_record.h"

namespace workshatch::standin {

/// Belongs to one worker.
class PlainService {
public:
  /// @param run_log file that each run is noted in; empty: none.
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
