#include <doctest/doctest.h>

#include "core/relay/request_execution.h"

namespace workshatch::relay {

namespace {

ResponseStatement refusal(unsigned status, ResponseOwner owner, bool says_not_run) {
  return ResponseStatement{.status = status, .owner = owner, .says_not_run = says_not_run};
}

} // namespace

TEST_CASE("Only a refusal that names the request proves that it has not run") {
  for (const auto owner : {ResponseOwner::Unknown, ResponseOwner::OtherRequest}) {
    for (const unsigned status : {400U, 421U, 429U, 503U}) {
      CHECK_FALSE(NotRunProof::ofRunner(refusal(status, owner, true)));
      CHECK_FALSE(NotRunProof::ofRelay(refusal(status, owner, true)));
    }
  }
  const auto proof = NotRunProof::ofRunner(refusal(503, ResponseOwner::ThisRequest, true));
  REQUIRE(proof);
  CHECK(proof->basis() == NotRunProof::Basis::Declined);
}

TEST_CASE("Without the header only status 421 of a runner proves that a request has not run") {
  for (const unsigned status : {200U, 400U, 408U, 429U, 500U, 503U}) {
    CHECK_FALSE(NotRunProof::ofRunner(refusal(status, ResponseOwner::ThisRequest, false)));
  }
  CHECK(NotRunProof::ofRunner(refusal(421, ResponseOwner::ThisRequest, false)));
  CHECK_FALSE(NotRunProof::ofRelay(refusal(421, ResponseOwner::ThisRequest, false)));
}

TEST_CASE("A success proves a run whatever its header says") {
  CHECK_FALSE(NotRunProof::ofRunner(refusal(200, ResponseOwner::ThisRequest, true)));
  CHECK_FALSE(NotRunProof::ofRelay(refusal(204, ResponseOwner::ThisRequest, true)));
}

TEST_CASE("A request may have run after one attempt without a proof, whatever follows") {
  RequestExecution execution(0);
  CHECK(execution.notRun());
  execution.recordAttempt(NotRunProof::ofUnsent(false));
  CHECK(execution.notRun());
  execution.recordAttempt(NotRunProof::ofUnsent(true));
  CHECK_FALSE(execution.notRun());
  execution.recordAttempt(NotRunProof::ofUnsent(false));
  CHECK_FALSE(execution.notRun());
  CHECK(execution.possibleRuns() == 1);
  CHECK_FALSE(RequestExecution(1).notRun());
}

} // namespace workshatch::relay
