/// @file
/// The order of requests that wait, the bound of a line, and when refused callers come back.
#include <vector>

#include <doctest/doctest.h>

#include "core/relay/waiting_line.h"

namespace workshatch::test {

using relay::LinePlace;
using relay::WaitingLine;

TEST_CASE("The more urgent is called first, then who has less time left, then who came first") {
  WaitingLine line(8);
  std::vector<int> called;
  const auto join = [&](int name, uint32_t priority, int64_t deadline_ms) {
    CHECK(line.join("s", line.newPlace(priority, deadline_ms),
                    [&called, name](WaitingLine::Call) { called.push_back(name); }));
  };
  join(1, 2, 100);
  join(2, 1, 300);
  join(3, 1, 200);
  join(4, 1, 200);
  CHECK(line.hasBefore("s", 1));
  CHECK_FALSE(line.hasBefore("s", 0));
  CHECK_FALSE(line.hasBefore("t", 9));
  for (int i = 0; i < 6; ++i) {
    line.callNext("s");
  }
  CHECK(called == std::vector<int>{3, 4, 2, 1});
  CHECK(line.length("s") == 0);
}

TEST_CASE("A full line lets go of its last for one that goes first, and takes no other") {
  WaitingLine line(2);
  std::vector<WaitingLine::Call> first_told;
  std::vector<WaitingLine::Call> last_told;
  const LinePlace first = line.newPlace(1, 100);
  CHECK(line.join("s", first, [&](WaitingLine::Call call) { first_told.push_back(call); }));
  CHECK(line.join("s", line.newPlace(2, 100),
                  [&](WaitingLine::Call call) { last_told.push_back(call); }));
  CHECK_FALSE(line.join("s", line.newPlace(2, 200), [](WaitingLine::Call) {}));
  CHECK(last_told.empty());
  CHECK(line.join("s", line.newPlace(0, 500), [](WaitingLine::Call) {}));
  CHECK(last_told == std::vector<WaitingLine::Call>{WaitingLine::Call::GiveUp});
  line.leave("s", first);
  line.callNextOfEach();
  line.callNextOfEach();
  CHECK(first_told.empty());
  CHECK(line.length("s") == 0);
}

} // namespace workshatch::test
