/// @file
/// What is known about the execution of one request over all its attempts.
#pragma once

#include <cstdint>
#include <optional>

#include "core/relay/not_run_proof.h"

namespace workshatch::relay {

/// Shows that no attempt of a request has run it. Needed to tell its caller so. Made by
/// `RequestExecution` alone.
class RequestNotRun {
private:
  friend class RequestExecution;
  RequestNotRun() = default;
};

/// Counts the runners that may have run one request: those of all attempts without a proof of the
/// contrary. Performs no I/O. Not safe for concurrent use.
class RequestExecution {
public:
  /// @param earlier_runs runners that may have run the request before, through another relay
  explicit RequestExecution(uint32_t earlier_runs) : possible_runs_(earlier_runs) {}

  /// Records the end of an attempt.
  /// @param proof empty: the attempt may have run the request
  /// @param runs runners that may have run it then: several, if another relay made the attempt
  void recordAttempt(const std::optional<NotRunProof>& proof, uint32_t runs = 1) {
    possible_runs_ += proof ? 0 : runs;
  }

  /// Number of runners that may have run the request.
  uint32_t possibleRuns() const { return possible_runs_; }
  /// @return nullopt if an attempt may have run the request.
  std::optional<RequestNotRun> notRun() const {
    return possible_runs_ == 0 ? std::optional(RequestNotRun()) : std::nullopt;
  }

private:
  uint32_t possible_runs_;
};

} // namespace workshatch::relay
