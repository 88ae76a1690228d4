/// @file
/// The serving lease, and the splitting of event streams into complete events.
#include <string>
#include <vector>

#include <doctest/doctest.h>

#include "core/relay/event_splitter.h"
#include "core/relay/serving_lease.h"

namespace workshatch::test {

TEST_CASE("A lease is valid from the sending of the confirmed renewal") {
  relay::ServingLease lease(1000);
  CHECK_FALSE(lease.holds(0));
  CHECK(lease.ageMs(500) == -1);
  const uint64_t first = lease.renewalSent(100);
  const uint64_t second = lease.renewalSent(400);
  lease.confirmed(first);
  CHECK(lease.holds(1099));
  CHECK_FALSE(lease.holds(1100));
  lease.confirmed(second);
  CHECK(lease.holds(1399));
  CHECK_FALSE(lease.holds(1400));
}

TEST_CASE("Time without a confirmation counts from the start, then from the last confirmed "
          "renewal's sending") {
  relay::ServingLease lease(1000);
  CHECK(lease.unconfirmedForMs(500, 200) == 300);
  lease.confirmed(lease.renewalSent(600));
  CHECK(lease.unconfirmedForMs(1750, 200) == 1150);
}

TEST_CASE("Late, repeated and unknown confirmations do not lengthen a lease") {
  relay::ServingLease lease(1000);
  const uint64_t first = lease.renewalSent(100);
  const uint64_t second = lease.renewalSent(400);
  lease.confirmed(second);
  lease.confirmed(first);
  lease.confirmed(second + 7);
  CHECK(lease.ageMs(400) == 0);
  CHECK_FALSE(lease.holds(1400));
}

TEST_CASE("Events are returned complete and byte for byte, in whatever pieces the bytes arrive") {
  const std::string stream = "id: 1\ndata: a\n\nevent: x\r\nid:2\r\ndata: b\r\n\r\ndata: c\n\n";
  for (size_t step = 1; step <= stream.size(); ++step) {
    relay::EventSplitter splitter(1024);
    std::string joined;
    std::vector<std::string> ids;
    for (size_t at = 0; at < stream.size(); at += step) {
      splitter.feed(std::string_view(stream).substr(at, step));
      while (const auto event = splitter.next()) {
        joined += event->bytes;
        ids.push_back(event->id);
      }
    }
    CHECK(joined == stream);
    CHECK(ids == std::vector<std::string>{"1", "2", ""});
    CHECK_FALSE(splitter.hasPartialEvent());
  }
}

TEST_CASE("An incomplete event is not returned") {
  relay::EventSplitter splitter(1024);
  splitter.feed("id: 1\ndata: a\n\nid: 2\ndata: b\n");
  CHECK(splitter.next());
  CHECK_FALSE(splitter.next());
  CHECK(splitter.hasPartialEvent());
}

TEST_CASE("An event without an end is too long once its limit is passed, however it arrives") {
  for (const size_t step : {size_t{1}, size_t{100}, size_t{5000}}) {
    CAPTURE(step);
    relay::EventSplitter splitter(1024);
    splitter.feed("id: 1\ndata: a\n\n");
    size_t fed = 0;
    while (!splitter.isTooLong()) {
      splitter.feed(std::string(step, 'x'));
      fed += step;
      while (splitter.next()) {
      }
      REQUIRE(fed <= 1024 + step);
    }
    CHECK(splitter.partialBytes() <= 1024 + step);
  }
}

} // namespace workshatch::test
