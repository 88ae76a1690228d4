/// @file
/// Tests of the relay role with a limit of its memory. The tests are named after the failures that
/// they guard against.
#include <string>

#include <doctest/doctest.h>

#include "daemon/relay/relay_role.h"
#include "unit/daemon/list_codecs.h"
#include "unit/daemon/relay/relay_fixture.h"

namespace workshatch::test {

TEST_CASE("A body that never fits into the memory of the process is refused as if it did later") {
  constexpr uint64_t kMemoryBytes = uint64_t{16} * 1024 * 1024;
  constexpr size_t kBodyBytes = 3'000'000;
  settings::RelaySettings settings;
  settings.zone = "z";
  settings.caller_address = "127.0.0.1:18246";
  settings.runner_list_address = "127.0.0.1:1";
  settings.seeds = {"127.0.0.1:1"};
  settings.link_port = 18247;
  settings.forward_port = 18248;
  settings.memory_bytes = kMemoryBytes;
  const SystemClock clock;
  const TestDialect dialect;
  const OneRouteCodec configurations;
  const NoListCodec runner_lists;
  WorkerPool workers(1);
  daemon::RelayRole role(settings, workers, clock,
                         daemon::RelayAdapters{.dialect = dialect,
                                               .configurations = configurations,
                                               .runner_lists = runner_lists});
  REQUIRE_FALSE(isError(role.start()));
  workers.start();
  const std::string answer =
      answerTo(requestText(CallerRequest{.id = "q1", .body = std::string(kBodyBytes, 'b')}),
               settings.caller_address);
  CHECK(answer.starts_with("HTTP/1.1 413"));
  workers.stop();
}

} // namespace workshatch::test
