/// @file
/// Planned stops of a control replica and its services.
#include <doctest/doctest.h>

#include "unit/daemon/control/control_fixture.h"

namespace workshatch::test {

// A daemon that was told to stop did not end: its log ended with "drain_finished" and
// "leadership_lost", "stopped" never came, and who had started it waited for a minute and gave up.
TEST_CASE("A call that comes after a control replica has ended is answered") {
  const auto machine = std::make_shared<ControlMachine>();
  machine->start();
  TestOperator caller;
  REQUIRE(waitUntil([&] { return caller.isServed(); }));

  machine->replica->stop();
  constexpr std::chrono::seconds kCallersLimit{2};
  v1::StatusReply reply;
  const grpc::Status status = caller.status(kCallersLimit, reply);

  // The caller turns to another replica at once, not when its own time is over.
  CHECK((status.error_code() == grpc::StatusCode::UNAVAILABLE || reply.not_leader()));
  CHECK(endsInTime([machine] { machine->services.reset(); }));
}

} // namespace workshatch::test
