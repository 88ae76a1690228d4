#include "core/relay/not_run_proof.h"

namespace workshatch::relay {

namespace {

constexpr unsigned kRequestTimeout = 408;
constexpr unsigned kMisdirected = 421;
constexpr unsigned kTooManyRequests = 429;
constexpr unsigned kServiceUnavailable = 503;
constexpr unsigned kFirstError = 400;

/// @return whether the response may say anything about the run of the request.
bool isRefusalOfThisRequest(const ResponseStatement& response) {
  return response.owner == ResponseOwner::ThisRequest && response.status >= kFirstError;
}

} // namespace

std::optional<NotRunProof> NotRunProof::ofUnsent(bool sent) {
  return sent ? std::nullopt : std::optional(NotRunProof(Basis::Unsent));
}

std::optional<NotRunProof> NotRunProof::ofRunner(const ResponseStatement& response) {
  if (!isRefusalOfThisRequest(response)) {
    return std::nullopt;
  }
  if (response.status == kMisdirected) {
    return NotRunProof(Basis::Misdirected);
  }
  return response.says_not_run ? std::optional(NotRunProof(Basis::Declined)) : std::nullopt;
}

std::optional<NotRunProof> NotRunProof::ofRelay(const ResponseStatement& response) {
  const bool refused = isRefusalOfThisRequest(response) && response.says_not_run;
  return refused ? std::optional(NotRunProof(Basis::RefusedByRelay)) : std::nullopt;
}

const char* nameOf(const std::optional<NotRunProof>& proof) {
  if (!proof) {
    return "none";
  }
  switch (proof->basis()) {
  case NotRunProof::Basis::Unsent:
    return "unsent";
  case NotRunProof::Basis::Declined:
    return "declined";
  case NotRunProof::Basis::Misdirected:
    return "misdirected";
  case NotRunProof::Basis::RefusedByRelay:
    return "refused_by_relay";
  }
  return "none";
}

bool promisesNotRun(unsigned status) {
  return status == kRequestTimeout || status == kMisdirected || status == kTooManyRequests ||
         status == kServiceUnavailable;
}

} // namespace workshatch::relay
