/// @file
/// What a leader tells of the runners: never an old list under a new version.
#include <doctest/doctest.h>

#include "core/relay/led_runner_list.h"

namespace workshatch::test {

namespace {

v1::RunnerList listOf(int count) {
  v1::RunnerList list;
  for (int i = 0; i < count; ++i) {
    list.add_runners()->set_id("r" + std::to_string(count - i));
  }
  return list;
}

} // namespace

TEST_CASE("A list that was read long before the leadership is not told") {
  relay::LeaderVersions versions;
  relay::LedRunnerList led;
  // Read at the start, when the platform listed no runner yet.
  led.readWithoutLeader(listOf(0), 1000);
  versions.begin(3);
  led.begin(versions, 9000);
  CHECK(led.list().version() == 0);
  CHECK(led.readWhileLeading(listOf(2), versions));
  CHECK(led.list().runners_size() == 2);
}

TEST_CASE("A list that was read just before the leadership is told at once") {
  relay::LeaderVersions versions;
  relay::LedRunnerList led;
  led.readWithoutLeader(listOf(3), 1000);
  versions.begin(3);
  led.begin(versions, 1500);
  CHECK(led.list().version() != 0);
  CHECK(led.list().runners_size() == 3);
  CHECK_FALSE(led.readWhileLeading(listOf(3), versions));
  const uint64_t before = led.list().version();
  CHECK(led.readWhileLeading(listOf(2), versions));
  CHECK(led.list().version() > before);
  versions.begin(4);
  led.begin(versions, 2000);
  CHECK(led.list().version() == 0);
}

} // namespace workshatch::test
