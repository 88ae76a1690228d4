/// @file
/// Tests of event streams of a service whose runners have several software versions. The tests are
/// named after the failures that they guard against.
#include <algorithm>
#include <chrono>
#include <string>
#include <thread>
#include <utility>
#include <vector>

#include <doctest/doctest.h>

#include "unit/daemon/fleet/test_fleet.h"

namespace workshatch::test {

namespace {

constexpr size_t kRelays = 6;
constexpr size_t kStreams = 40;
/// Streams of a measurement that may be refused: 5 in 100.
constexpr size_t kMayBeRefused = 2;

FleetOptions twoVersions(uint16_t first_port) {
  relay::Route route = testRoute(relay::RouteKind::Streaming, 3, true);
  route.timeout_ms = 5000;
  return FleetOptions{.relays = kRelays,
                      .runners = 0,
                      .streaming_versions = {"v1", "v1", "v1", "v2", "v2", "v2"},
                      .route = std::move(route),
                      .first_port = first_port};
}

/// A caller's stream, which its next attempt takes up where the last one ended.
class Stream {
public:
  explicit Stream(TestFleet& fleet) : fleet_(fleet) {}

  /// Begins the stream at a relay, or takes it up there.
  /// @return the response, as far as it was received
  std::string attempt(size_t relay) {
    CallerRequest request{.id = fleet_.newRequestId()};
    if (received_.last_event > 0) {
      request.more_headers = "Last-Event-Id: " + std::to_string(received_.last_event) +
                             "\r\nW-Resumes: " + begun_by_ + "\r\n";
    }
    const std::string response = fleet_.sendRequest(relay, request);
    const bool first = received_.last_event == 0;
    addEvents(received_, response);
    if (first && received_.last_event > 0) {
      begun_by_ = request.id;
    }
    return response;
  }

  const ReceivedStream& received() const { return received_; }
  bool mixed() const { return received_.versions.size() > 1; }

private:
  TestFleet& fleet_;
  ReceivedStream received_;
  /// Id of the attempt that brought the first event.
  std::string begun_by_;
};

template <typename Predicate>
size_t countOf(const std::vector<Stream>& streams, Predicate predicate) {
  return static_cast<size_t>(std::count_if(streams.begin(), streams.end(), predicate));
}
size_t mixedOf(const std::vector<Stream>& streams) {
  return countOf(streams, [](const Stream& stream) { return stream.mixed(); });
}
size_t incompleteOf(const std::vector<Stream>& streams) {
  return countOf(streams, [](const Stream& stream) { return !stream.received().whole; });
}

/// Makes an attempt for each stream, all at once, at `relays` relays in turn from `first_relay` on.
/// @param meanwhile called while the attempts are in progress
template <typename Meanwhile>
void attemptAll(std::vector<Stream>& streams, size_t first_relay, size_t relays,
                Meanwhile meanwhile) {
  std::vector<std::thread> callers;
  callers.reserve(streams.size());
  for (size_t i = 0; i < streams.size(); ++i) {
    const size_t relay = first_relay + i % relays;
    callers.emplace_back([&stream = streams[i], relay] { stream.attempt(relay); });
  }
  meanwhile();
  for (std::thread& caller : callers) {
    caller.join();
  }
}

/// Begins streams at one relay, and crashes the relay in the middle of them.
std::vector<Stream> beginAtRelayThatCrashes(TestFleet& fleet, size_t relay) {
  std::vector<Stream> streams(kStreams, Stream(fleet));
  attemptAll(streams, relay, 1, [&] {
    std::this_thread::sleep_for(std::chrono::milliseconds(90));
    fleet.crashRelay(relay);
  });
  return streams;
}

} // namespace

TEST_CASE("A stream that its runner breaks off goes on at a runner of the same version") {
  TestFleet fleet(twoVersions(18700));
  // Few enough for the retry budget.
  constexpr size_t kBreaksOneOf = 8;
  for (size_t i = 0; i < fleet.streamingRunnerCount(); ++i) {
    fleet.streamingRunner(i).breakOffOneOf(kBreaksOneOf);
  }
  for (size_t round = 0; round < kBreaksOneOf; ++round) {
    std::vector<Stream> streams(kStreams, Stream(fleet));
    attemptAll(streams, 0, kRelays, [] {});
    CHECK(mixedOf(streams) == 0);
    CHECK(incompleteOf(streams) <= kMayBeRefused);
  }
}

TEST_CASE("A stream whose relay crashes is resumed at a runner of the same version") {
  TestFleet fleet(twoVersions(18720));
  for (size_t round = 0; round < 3; ++round) {
    std::vector<Stream> streams = beginAtRelayThatCrashes(fleet, round);
    CHECK(countOf(streams, [](const Stream& stream) { return stream.received().last_event > 0; }) >=
          kStreams - kMayBeRefused);
    attemptAll(streams, kRelays / 2, kRelays / 2, [] {});
    CHECK(mixedOf(streams) == 0);
    CHECK(incompleteOf(streams) <= kMayBeRefused);
  }
}

} // namespace workshatch::test
